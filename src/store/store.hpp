// An embedded store of named values (LMDB): one file in a folder, one writer, values replaced whole. For what
// a program would like to find again after a restart, and can do without: a file that can't be used is set
// aside and begun anew, and after a loss of power the newest values may be missing. Blocks for a write to the
// page cache; nothing is flushed to the disk before flush(). Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace chalksail::store {

class Store {
public:
    // Creates the folder. `bytes_most`: of the file. Throws std::runtime_error when the folder can't be used,
    // or another process has it open.
    Store(const std::string& folder, std::size_t bytes_most);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    [[nodiscard]] std::map<std::string, std::string> all() const;
    // Throws std::runtime_error when the store is full, the name is empty or over 500 bytes, or the disk
    // fails; the former value stays then.
    void put(std::string_view name, std::string_view value);
    void erase(std::string_view name);  // nothing if there is none
    void flush();
    // The file that was there could not be used, and lies beside the new one.
    [[nodiscard]] bool set_aside() const { return set_aside_; }

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
    bool set_aside_ = false;
};

}  // namespace chalksail::store
