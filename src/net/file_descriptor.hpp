// An owning file descriptor, closed on destruction.
#pragma once

#include <unistd.h>

#include <utility>

namespace chalksail::net {

class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept {
        reset(other.release());
        return *this;
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    [[nodiscard]] int get() const { return descriptor_; }
    [[nodiscard]] bool valid() const { return descriptor_ >= 0; }
    // Returns the descriptor and gives up its ownership.
    [[nodiscard]] int release() { return std::exchange(descriptor_, kNone); }
    void reset(int descriptor = kNone) {
        if (valid()) ::close(descriptor_);
        descriptor_ = descriptor;
    }

private:
    static constexpr int kNone = -1;
    int descriptor_ = kNone;
};

}  // namespace chalksail::net
