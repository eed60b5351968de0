// An embedded key-value store (LMDB): one file in a folder, one writer, values replaced as a whole. It holds
// what a program can do without but would like to find again after a restart.
//
// A file that cannot be used is renamed to "values.mdb.unusable" and replaced by an empty one. Writes block
// until the page cache has them; only flush() waits for the disk, so that after a power failure the newest
// values may be missing. Not thread-safe. Errors are StoreError.
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
        full,         // the value does not fit below the store's size limit
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
    // Creates the folder if needed. `max_bytes`: limit of the file's size. Throws StoreError when the folder
    // cannot be used or another process has the store open.
    Store(const std::string& folder, std::size_t max_bytes);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    // All keys and their values.
    [[nodiscard]] std::map<std::string, std::string> all() const;
    // Sets the value of `key`. Throws StoreError when it is not written; the former value stays then.
    void put(std::string_view key, std::string_view value);
    // Does nothing if there is no such key.
    void erase(std::string_view key);
    // Returns once everything written so far is on the disk.
    void flush();
    // True if the file that was there could not be used and was renamed.
    [[nodiscard]] bool set_aside() const { return set_aside_; }

private:
    class Database;
    void open(const std::string& file, std::size_t max_bytes);

    std::unique_ptr<Database> database_;
    bool set_aside_ = false;
};

}  // namespace chalksail::store
