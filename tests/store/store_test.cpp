// The embedded store: what is put is there after a restart, and a file that is no good is no reason to stop.
#include "store/store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace chalksail::store {
namespace {

constexpr std::size_t kRoom = 1 << 20;

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

TEST_F(StoreTest, KeepsValuesOverARestart) {
    {
        Store s(folder, kRoom);
        EXPECT_TRUE(s.all().empty());
        s.put("a", "one");
        s.put("b", std::string("t\0wo", 5));
        s.put("a", "another");
        s.put("c", "gone");
        s.erase("c");
        s.erase("never there");
        s.flush();
    }
    Store s(folder, kRoom);
    EXPECT_FALSE(s.set_aside());
    const std::map<std::string, std::string> wanted{{"a", "another"}, {"b", std::string("t\0wo", 5)}};
    EXPECT_EQ(s.all(), wanted);
}

TEST_F(StoreTest, FullStoreSaysSoAndKeepsTheFormerValue) {
    Store s(folder, kRoom);
    s.put("a", "small");
    EXPECT_THROW(s.put("a", std::string(2 * kRoom, 'x')), std::runtime_error);
    EXPECT_THROW(s.put("", "x"), std::runtime_error);
    EXPECT_THROW(s.put(std::string(600, 'n'), "x"), std::runtime_error);
    EXPECT_EQ(s.all().at("a"), "small");
    s.put("b", "goes on");
    EXPECT_EQ(s.all().size(), 2U);
}

TEST_F(StoreTest, FileThatIsNoneIsSetAside) {
    std::filesystem::create_directories(folder);
    std::ofstream(file()) << std::string(20'000, 'z');
    Store s(folder, kRoom);
    EXPECT_TRUE(s.set_aside());
    EXPECT_TRUE(s.all().empty());
    s.put("a", "one");
    EXPECT_TRUE(std::filesystem::exists(file().string() + ".unusable"));
}

// Reading a page past the end of the file would end the process by a signal.
TEST_F(StoreTest, FileCutShortIsSetAside) {
    {
        Store s(folder, kRoom);
        for (int i = 0; i < 100; ++i) s.put("name" + std::to_string(i), std::string(3000, 'v'));
        s.flush();
    }
    std::filesystem::resize_file(file(), std::filesystem::file_size(file()) / 2);
    Store s(folder, kRoom);
    EXPECT_TRUE(s.set_aside());
    EXPECT_TRUE(s.all().empty());
}

TEST_F(StoreTest, FolderThatCannotBeIsAnError) {
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "plain") << "a file";
    EXPECT_THROW(Store((folder / "plain").string(), kRoom), std::runtime_error);
}

}  // namespace
}  // namespace chalksail::store
