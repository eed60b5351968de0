// The connections whose buffered input is parsed in the next turn of the event loop. A client that pipelines
// requests gets one of them parsed in each turn, and the sockets of all others are read in between.
// One loop, one thread. No errors.
#pragma once

#include <uv.h>

#include <functional>
#include <utility>
#include <vector>

#include "net/client_connection.hpp"
#include "net/loop_handles.hpp"

namespace chalksail::net {

class DeferredInput {
public:
    // Calls `parse` in the next turn, before its sockets are read, once for each call of defer().
    DeferredInput(uv_loop_t& loop, std::function<void(ClientConnection::Id)> parse)
        : parse_(std::move(parse)), next_turn_(loop, [this] { run(); }) {}

    void defer(ClientConnection::Id id) {
        deferred_.push_back(id);
        next_turn_.start();
    }

private:
    void run() {
        next_turn_.stop();
        for (const auto id : std::exchange(deferred_, {})) parse_(id);
    }

    std::function<void(ClientConnection::Id)> parse_;
    std::vector<ClientConnection::Id> deferred_;
    IdleHandle next_turn_;  // active while a connection is deferred, so that the loop does not wait
};

}  // namespace chalksail::net
