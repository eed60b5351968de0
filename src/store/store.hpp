// An embedded key-value store (LMDB): one file in a folder, one writer, values replaced as a whole. Intended
// for data that a program can do without but benefits from after a restart.
//
// An unusable file is renamed to "values.mdb.unusable" and replaced by an empty one. Writes block until they
// are in the page cache; only flush() waits for the disk, so the newest values may be missing after a power
// failure. Not thread-safe. Errors are StoreError.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace chalksail::store {

class StoreError : public std::runtime_error {
public:
    enum class Kind {
        unusable,     // the folder or the file cannot be opened
        full,         // the value would exceed the store's size limit
        invalid_key,  // empty, or over kMaxKeyBytes
        io,           // reading, writing or flushing failed
    };
    StoreError(Kind kind, const std::string& text) : std::runtime_error("store: " + text), kind_(kind) {}
    [[nodiscard]] Kind kind() const { return kind_; }

private:
    Kind kind_;
};

// Longest key, in bytes: LMDB's own limit is 511.
inline constexpr std::size_t kMaxKeyBytes = 500;

class Store {
public:
    // Creates the folder if needed. `max_bytes` is the maximum size of the file. Throws StoreError when the
    // folder cannot be used or another process has the store open.
    Store(const std::string& folder, std::size_t max_bytes);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // Returns all keys and their values.
    [[nodiscard]] std::map<std::string, std::string> all() const;
    // Sets the value of `key`. Throws StoreError if the write fails; the previous value is kept then.
    void put(std::string_view key, std::string_view value);
    // Removes `key`; does nothing if it does not exist.
    void erase(std::string_view key);
    // Blocks until all earlier writes are on the disk.
    void flush();
    // Returns true if the existing file was unusable and has been renamed.
    [[nodiscard]] bool set_aside() const { return set_aside_; }

private:
    class Database;
    void open(const std::string& file, std::size_t max_bytes);

    std::unique_ptr<Database> database_;
    bool set_aside_ = false;
};

}  // namespace chalksail::store
