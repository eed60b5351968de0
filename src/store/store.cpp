#include "store/store.hpp"

#include <lmdb.h>

#include <filesystem>
#include <stdexcept>
#include <utility>

namespace chalksail::store {
namespace {

constexpr std::size_t kNameMost = 500;  // LMDB's keys are at most 511

void must(int rc, const char* what) {
    if (rc != MDB_SUCCESS) throw std::runtime_error(std::string("store: ") + what + ": " + mdb_strerror(rc));
}
MDB_val value_of(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string text_of(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

// Ends with the scope; what was not committed did not happen.
class Transaction {
public:
    Transaction(MDB_env* env, unsigned flags) { must(mdb_txn_begin(env, nullptr, flags, &txn_), "begin"); }
    ~Transaction() {
        if (txn_ != nullptr) mdb_txn_abort(txn_);
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    void commit() { must(mdb_txn_commit(std::exchange(txn_, nullptr)), "commit"); }
    [[nodiscard]] MDB_txn* get() const { return txn_; }

private:
    MDB_txn* txn_ = nullptr;
};

}  // namespace

class Store::Impl {
public:
    Impl(const std::string& file, std::size_t bytes_most) {
        try {
            must(mdb_env_create(&env_), "create");
            must(mdb_env_set_mapsize(env_, bytes_most), "size");
            must(mdb_env_open(env_, file.c_str(), MDB_NOSUBDIR | MDB_NOSYNC | MDB_NOTLS, 0600), "open");
            Transaction t(env_, 0);
            must(mdb_dbi_open(t.get(), nullptr, 0, &values_), "open");
            t.commit();
        } catch (...) {
            mdb_env_close(env_);
            throw;
        }
    }
    ~Impl() { mdb_env_close(env_); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    MDB_env* env_ = nullptr;
    MDB_dbi values_ = 0;
};

Store::Store(const std::string& folder, std::size_t bytes_most) {
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    if (failed) throw std::runtime_error("store: " + folder + ": " + failed.message());
    const std::string file = folder + "/values.mdb";
    const auto open = [&] {
        impl_ = std::make_unique<Impl>(file, bytes_most);
        // Guards against a file that was cut short: reading a page that is not there would end the process.
        MDB_envinfo info{};
        MDB_stat stat{};
        must(mdb_env_info(impl_->env_, &info), "size");
        must(mdb_env_stat(impl_->env_, &stat), "size");
        if (std::filesystem::file_size(file) < (info.me_last_pgno + 1) * stat.ms_psize)
            throw std::runtime_error("store: the file is cut short");
        (void)all();  // reads it all: a damaged file shows here
    };
    try {
        open();
    } catch (const std::exception&) {
        impl_.reset();
        std::filesystem::rename(file, file + ".unusable", failed);
        if (failed) throw;
        std::filesystem::remove(file + "-lock", failed);
        open();
        set_aside_ = true;
    }
}
Store::~Store() = default;

std::map<std::string, std::string> Store::all() const {
    std::map<std::string, std::string> out;
    const Transaction t(impl_->env_, MDB_RDONLY);
    MDB_cursor* cursor = nullptr;
    must(mdb_cursor_open(t.get(), impl_->values_, &cursor), "read");
    MDB_val name, value;
    int rc = MDB_SUCCESS;
    while ((rc = mdb_cursor_get(cursor, &name, &value, MDB_NEXT)) == MDB_SUCCESS)
        out.emplace(text_of(name), text_of(value));
    mdb_cursor_close(cursor);
    if (rc != MDB_NOTFOUND) must(rc, "read");
    return out;
}

void Store::put(std::string_view name, std::string_view value) {
    if (name.empty() || name.size() > kNameMost) throw std::runtime_error("store: a name of a wrong length");
    Transaction t(impl_->env_, 0);
    MDB_val key = value_of(name), data = value_of(value);
    must(mdb_put(t.get(), impl_->values_, &key, &data, 0), "write");
    t.commit();
}

void Store::erase(std::string_view name) {
    Transaction t(impl_->env_, 0);
    MDB_val key = value_of(name);
    const int rc = mdb_del(t.get(), impl_->values_, &key, nullptr);
    if (rc == MDB_NOTFOUND) return;
    must(rc, "erase");
    t.commit();
}

void Store::flush() { must(mdb_env_sync(impl_->env_, 1), "flush"); }

}  // namespace chalksail::store
