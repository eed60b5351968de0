// The buffer into which all connections of one owner read; its bytes are processed before the next read.
//
// A connection that has filled the buffer has more to read, and continues in the next turn of the loop: no
// peer can make the others wait by sending faster than its bytes are processed, nor make one turn collect
// more than one buffer of each connection. One loop, one thread. No errors.
#pragma once

#include <uv.h>

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "net/loop_handles.hpp"

namespace chalksail::net {

class ReadBuffer {
public:
    // A connection that waits to be read again.
    struct Reader {
        virtual ~Reader() = default;
        virtual void continue_reading() = 0;
    };

    ReadBuffer(uv_loop_t& loop, std::size_t size) : bytes_(size), next_turn_(loop, [this] { run(); }) {}

    [[nodiscard]] uv_buf_t bytes() {
        return uv_buf_init(bytes_.data(), static_cast<unsigned>(bytes_.size()));
    }
    [[nodiscard]] std::size_t size() const { return bytes_.size(); }
    // Calls continue_reading() once, in the next turn. The reader must exist until then, or be removed.
    void postpone(Reader& reader) {
        postponed_.insert(&reader);
        next_turn_.start();
    }
    void remove(Reader& reader) { postponed_.erase(&reader); }

private:
    void run() {
        next_turn_.stop();
        for (Reader* const reader : std::exchange(postponed_, {})) reader->continue_reading();
    }

    std::vector<char> bytes_;
    std::set<Reader*> postponed_;
    IdleHandle next_turn_;  // active while a reader waits, so that the loop does not wait for I/O
};

}  // namespace chalksail::net
