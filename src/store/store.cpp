#include "store/store.hpp"

#include <lmdb.h>

#include <filesystem>
#include <utility>

namespace chalksail::store {
namespace {

constexpr mdb_mode_t kFileMode = 0600;

// Throws StoreError for every LMDB return code except success.
void check(int code, const char* operation, StoreError::Kind kind = StoreError::Kind::io) {
    if (code == MDB_SUCCESS) return;
    if (code == MDB_MAP_FULL) kind = StoreError::Kind::full;
    throw StoreError(kind, std::string(operation) + ": " + mdb_strerror(code));
}
MDB_val to_value(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string to_string(const MDB_val& value) {
    return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// An LMDB transaction that is aborted at the end of its scope unless it was committed.
class Transaction {
public:
    Transaction(MDB_env* environment, unsigned flags) {
        check(mdb_txn_begin(environment, nullptr, flags, &transaction_), "begin");
    }
    ~Transaction() {
        if (transaction_ != nullptr) mdb_txn_abort(transaction_);
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    void commit() { check(mdb_txn_commit(std::exchange(transaction_, nullptr)), "commit"); }
    [[nodiscard]] MDB_txn* get() const { return transaction_; }

private:
    MDB_txn* transaction_ = nullptr;
};

}  // namespace

// Owns the LMDB environment and the handle of its one table.
class Store::Database {
public:
    Database(const std::string& file, std::size_t max_bytes) {
        constexpr auto kUnusable = StoreError::Kind::unusable;
        try {
            check(mdb_env_create(&environment_), "create", kUnusable);
            check(mdb_env_set_mapsize(environment_, max_bytes), "size", kUnusable);
            constexpr unsigned kFlags = MDB_NOSUBDIR | MDB_NOSYNC | MDB_NOTLS;
            check(mdb_env_open(environment_, file.c_str(), kFlags, kFileMode), "open", kUnusable);
            Transaction transaction(environment_, 0);
            check(mdb_dbi_open(transaction.get(), nullptr, 0, &table_), "open", kUnusable);
            transaction.commit();
        } catch (...) {
            mdb_env_close(environment_);
            throw;
        }
    }
    ~Database() { mdb_env_close(environment_); }
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    [[nodiscard]] MDB_env* environment() const { return environment_; }
    [[nodiscard]] MDB_dbi table() const { return table_; }
    // Returns the number of bytes that the pages in use occupy in the file.
    [[nodiscard]] std::size_t bytes_in_use() const {
        MDB_envinfo info{};
        MDB_stat stat{};
        check(mdb_env_info(environment_, &info), "size");
        check(mdb_env_stat(environment_, &stat), "size");
        return (info.me_last_pgno + 1) * stat.ms_psize;
    }

private:
    MDB_env* environment_ = nullptr;
    MDB_dbi table_ = 0;
};

Store::Store(const std::string& folder, std::size_t max_bytes) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) throw StoreError(StoreError::Kind::unusable, folder + ": " + error.message());
    const std::string file = folder + "/values.mdb";
    try {
        open(file, max_bytes);
    } catch (const std::exception&) {
        database_.reset();
        std::filesystem::rename(file, file + ".unusable", error);
        if (error) throw;
        std::filesystem::remove(file + "-lock", error);
        open(file, max_bytes);
        set_aside_ = true;
    }
}
Store::~Store() = default;

void Store::open(const std::string& file, std::size_t max_bytes) {
    database_ = std::make_unique<Database>(file, max_bytes);
    // Guards against a truncated file: reading a page beyond its end would kill the process by SIGBUS.
    if (std::filesystem::file_size(file) < database_->bytes_in_use())
        throw StoreError(StoreError::Kind::unusable, "the file is truncated");
    (void)all();  // reads every value, so that a damaged file is detected here
}

std::map<std::string, std::string> Store::all() const {
    std::map<std::string, std::string> values;
    const Transaction transaction(database_->environment(), MDB_RDONLY);
    MDB_cursor* cursor = nullptr;
    check(mdb_cursor_open(transaction.get(), database_->table(), &cursor), "read");
    MDB_val key, value;
    int code = MDB_SUCCESS;
    while ((code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == MDB_SUCCESS)
        values.emplace(to_string(key), to_string(value));
    mdb_cursor_close(cursor);
    if (code != MDB_NOTFOUND) check(code, "read");
    return values;
}

void Store::put(std::string_view key, std::string_view value) {
    if (key.empty() || key.size() > kMaxKeyBytes)
        throw StoreError(StoreError::Kind::invalid_key, "the key is empty or longer than 500 bytes");
    Transaction transaction(database_->environment(), 0);
    MDB_val key_bytes = to_value(key);
    MDB_val value_bytes = to_value(value);
    check(mdb_put(transaction.get(), database_->table(), &key_bytes, &value_bytes, 0), "write");
    transaction.commit();
}

void Store::erase(std::string_view key) {
    Transaction transaction(database_->environment(), 0);
    MDB_val key_bytes = to_value(key);
    const int code = mdb_del(transaction.get(), database_->table(), &key_bytes, nullptr);
    if (code == MDB_NOTFOUND) return;
    check(code, "erase");
    transaction.commit();
}

void Store::flush() { check(mdb_env_sync(database_->environment(), 1), "flush"); }

}  // namespace chalksail::store
