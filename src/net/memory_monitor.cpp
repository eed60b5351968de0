#include "net/memory_monitor.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace chalksail::net {
namespace {

// Returns the second number of /proc/self/statm: the resident pages.
std::size_t resident_pages(std::string_view statistics) {
    const auto space = statistics.find(' ');
    if (space == std::string_view::npos) return 0;
    statistics.remove_prefix(space + 1);
    std::size_t pages = 0;
    const auto [end, error] =
        std::from_chars(statistics.data(), statistics.data() + statistics.size(), pages);
    return error == std::errc{} ? pages : 0;
}

}  // namespace

MemoryMonitor::MemoryMonitor(std::size_t limit_bytes)
    : limit_(limit_bytes), statistics_(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC)) {}

std::size_t MemoryMonitor::resident_bytes() const {
    if (!statistics_.valid()) return 0;
    std::array<char, 128> text{};
    const auto size = ::pread(statistics_.get(), text.data(), text.size(), 0);
    if (size <= 0) return 0;
    const auto page = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return resident_pages({text.data(), static_cast<std::size_t>(size)}) * page;
}

std::optional<MemoryMonitor::Report> MemoryMonitor::poll(Time now) {
    if (limit_ == 0 || (polled_at_ && now < *polled_at_ + kPollInterval)) return std::nullopt;
    polled_at_ = now;
    const std::size_t resident = resident_bytes();
    peak_ = std::max(peak_, resident);
    if (!update(resident)) return std::nullopt;
    return Report{level_, resident, peak_, limit_};
}

bool MemoryMonitor::update(std::size_t resident) {
    const Level level = resident > limit_ / 2 ? Level::high : Level::normal;
    const bool changed = level != level_;
    const bool grew = level == Level::high && resident > reported_ + limit_ / kReportStep;
    if (!changed && !grew) return false;
    level_ = level;
    reported_ = resident;
    return true;
}

}  // namespace chalksail::net
