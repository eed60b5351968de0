// Owning wrappers for libuv handles. libuv needs a handle's memory until its close callback has run, in a
// later turn of the loop; each wrapper keeps the handle and its callback on the heap until then, so that a
// wrapper may be destroyed at any time, from within its own callback too. The callback is not called after
// that.
//
// One loop, one thread; the loop outlives the wrappers, and has to run once more after the last of them is
// destroyed. Errors: Poll's constructor throws std::runtime_error; the other handles can't fail.
#pragma once

#include <uv.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

namespace chalksail::net {

using LoopCallback = std::function<void()>;

// A handle of type `Handle` with the callback that it calls. `Handle` is a libuv handle: uv_timer_t,
// uv_check_t ...
template <typename Handle>
class LoopHandle {
public:
    LoopHandle(const LoopHandle&) = delete;
    LoopHandle& operator=(const LoopHandle&) = delete;
    LoopHandle(LoopHandle&&) = delete;
    LoopHandle& operator=(LoopHandle&&) = delete;

    // The loop does not go on for this handle alone.
    void unref() { uv_unref(reinterpret_cast<uv_handle_t*>(raw())); }

protected:
    explicit LoopHandle(LoopCallback&& callback) : state_(std::make_unique<State>()) {
        state_->callback = std::move(callback);
        state_->handle.data = state_.get();
    }
    ~LoopHandle() { close(std::move(state_)); }

    [[nodiscard]] Handle* raw() { return &state_->handle; }
    // What libuv calls.
    static void run_callback(Handle* handle) { static_cast<State*>(handle->data)->callback(); }
    // The handle was not initialized: there is nothing to close.
    void abandon() { state_.reset(); }

private:
    struct State {
        Handle handle{};
        LoopCallback callback;
    };
    static void close(std::unique_ptr<State> state) {
        if (state == nullptr) return;
        auto* const handle = reinterpret_cast<uv_handle_t*>(&state.release()->handle);
        uv_close(handle, [](uv_handle_t* closed) {
            const std::unique_ptr<State> owned(static_cast<State*>(closed->data));
        });
    }

    std::unique_ptr<State> state_;
};

// Calls back once, or again and again, after a time.
class Timer : public LoopHandle<uv_timer_t> {
public:
    Timer(uv_loop_t& loop, LoopCallback on_expiry) : LoopHandle(std::move(on_expiry)) {
        uv_timer_init(&loop, raw());
    }
    // Replaces what was started before.
    void start_once(std::chrono::milliseconds delay) { start(delay, std::chrono::milliseconds(0)); }
    void start_repeating(std::chrono::milliseconds interval) { start(interval, interval); }
    void stop() { uv_timer_stop(raw()); }

private:
    void start(std::chrono::milliseconds delay, std::chrono::milliseconds repeat) {
        uv_timer_start(raw(), &run_callback, static_cast<std::uint64_t>(delay.count()),
                       static_cast<std::uint64_t>(repeat.count()));
    }
};

// Calls back in each turn of the loop, behind the reads of its sockets. Active from the start.
class CheckHandle : public LoopHandle<uv_check_t> {
public:
    CheckHandle(uv_loop_t& loop, LoopCallback behind_reads) : LoopHandle(std::move(behind_reads)) {
        uv_check_init(&loop, raw());
        uv_check_start(raw(), &run_callback);
    }
};

// While it is active the loop does not wait for its sockets, and calls back in each turn.
class IdleHandle : public LoopHandle<uv_idle_t> {
public:
    IdleHandle(uv_loop_t& loop, LoopCallback each_turn) : LoopHandle(std::move(each_turn)) {
        uv_idle_init(&loop, raw());
    }
    void start() { uv_idle_start(raw(), &run_callback); }
    void stop() { uv_idle_stop(raw()); }
};

// Calls back for each signal of one number. Active from the start.
class SignalHandle : public LoopHandle<uv_signal_t> {
public:
    SignalHandle(uv_loop_t& loop, int number, LoopCallback on_signal) : LoopHandle(std::move(on_signal)) {
        uv_signal_init(&loop, raw());
        uv_signal_start(
            raw(), [](uv_signal_t* signal, int) { run_callback(signal); }, number);
    }
};

// Calls back while a descriptor is readable. The descriptor is its owner's.
class Poll : public LoopHandle<uv_poll_t> {
public:
    Poll(uv_loop_t& loop, int descriptor, LoopCallback on_readable) : LoopHandle(std::move(on_readable)) {
        const int error = uv_poll_init(&loop, raw(), descriptor);
        if (error == 0) return;
        abandon();
        throw std::runtime_error(uv_strerror(error));
    }
    void start() {
        uv_poll_start(raw(), UV_READABLE, [](uv_poll_t* poll, int, int) { run_callback(poll); });
    }
    void stop() { uv_poll_stop(raw()); }
};

}  // namespace chalksail::net
