// The embedded store: values survive a restart, and an unusable file is replaced.
#include "store/store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>

namespace chalksail::store {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

class StoreTest : public ::testing::Test {
protected:
    StoreTest()
        : folder(std::filesystem::temp_directory_path() / ("chalksail-store-" + std::to_string(getpid()))) {
        std::filesystem::remove_all(folder);
    }
    ~StoreTest() override { std::filesystem::remove_all(folder); }
    [[nodiscard]] std::filesystem::path file() const { return folder / "values.mdb"; }
    std::filesystem::path folder;
};

TEST_F(StoreTest, ValuesSurviveARestart) {
    {
        Store s(folder, kMaxBytes);
        EXPECT_TRUE(s.all().empty());
        s.put("a", "one");
        s.put("b", std::string("t\0wo", 5));
        s.put("a", "another");
        s.put("c", "gone");
        s.erase("c");
        s.erase("never there");
        s.flush();
    }
    Store s(folder, kMaxBytes);
    EXPECT_FALSE(s.set_aside());
    const std::map<std::string, std::string> wanted{{"a", "another"}, {"b", std::string("t\0wo", 5)}};
    EXPECT_EQ(s.all(), wanted);
}

TEST_F(StoreTest, FailedWriteKeepsThePreviousValue) {
    Store s(folder, kMaxBytes);
    s.put("a", "small");
    const auto error_of = [&](const std::string& key, const std::string& value) {
        std::optional<StoreError::Kind> kind;
        try {
            s.put(key, value);
        } catch (const StoreError& error) {
            kind = error.kind();
        }
        return kind;
    };
    EXPECT_EQ(error_of("a", std::string(2 * kMaxBytes, 'x')), StoreError::Kind::full);
    EXPECT_EQ(error_of("", "x"), StoreError::Kind::invalid_key);
    EXPECT_EQ(error_of(std::string(600, 'n'), "x"), StoreError::Kind::invalid_key);
    EXPECT_EQ(s.all().at("a"), "small");
    s.put("b", "goes on");
    EXPECT_EQ(s.all().size(), 2U);
}

TEST_F(StoreTest, InvalidFileIsReplaced) {
    std::filesystem::create_directories(folder);
    std::ofstream(file()) << std::string(20'000, 'z');
    Store s(folder, kMaxBytes);
    EXPECT_TRUE(s.set_aside());
    EXPECT_TRUE(s.all().empty());
    s.put("a", "one");
    EXPECT_TRUE(std::filesystem::exists(file().string() + ".unusable"));
}

// Reading a page past the end of the file would kill the process by SIGBUS.
TEST_F(StoreTest, TruncatedFileIsReplaced) {
    {
        Store s(folder, kMaxBytes);
        for (int i = 0; i < 100; ++i) s.put("name" + std::to_string(i), std::string(3000, 'v'));
        s.flush();
    }
    std::filesystem::resize_file(file(), std::filesystem::file_size(file()) / 2);
    Store s(folder, kMaxBytes);
    EXPECT_TRUE(s.set_aside());
    EXPECT_TRUE(s.all().empty());
}

TEST_F(StoreTest, UnusableFolderIsAnError) {
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "plain") << "a file";
    EXPECT_THROW(Store((folder / "plain").string(), kMaxBytes), StoreError);
}

}  // namespace
}  // namespace chalksail::store
