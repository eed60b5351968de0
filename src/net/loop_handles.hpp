// Owning wrappers for libuv handles. libuv needs a handle's memory until its close callback has run in a
// later loop iteration. Each wrapper keeps the handle and its callback on the heap until then, so a wrapper
// may be destroyed at any time, also from within its own callback. The callback is not called after that.
//
// One loop, one thread. The loop must outlive the wrappers and run once more after the last of them is
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

// A libuv handle, such as uv_timer_t or uv_check_t, with its callback.
template <typename Handle>
class LoopHandle {
public:
    LoopHandle(const LoopHandle&) = delete;
    LoopHandle& operator=(const LoopHandle&) = delete;
    LoopHandle(LoopHandle&&) = delete;
    LoopHandle& operator=(LoopHandle&&) = delete;

    // Lets the loop end although this handle is active.
    void unref() { uv_unref(reinterpret_cast<uv_handle_t*>(raw())); }

protected:
    explicit LoopHandle(LoopCallback&& callback) : state_(std::make_unique<State>()) {
        state_->callback = std::move(callback);
        state_->handle.data = state_.get();
    }
    ~LoopHandle() { close(std::move(state_)); }

    [[nodiscard]] Handle* raw() { return &state_->handle; }
    // The callback to pass to libuv.
    static void run_callback(Handle* handle) { static_cast<State*>(handle->data)->callback(); }
    // Drops a handle that could not be initialized and so must not be closed.
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

// Calls back once after a delay, or repeatedly.
class Timer : public LoopHandle<uv_timer_t> {
public:
    Timer(uv_loop_t& loop, LoopCallback on_expiry) : LoopHandle(std::move(on_expiry)) {
        uv_timer_init(&loop, raw());
    }
    // Replaces an earlier start.
    void start_once(std::chrono::milliseconds delay) { start(delay, std::chrono::milliseconds(0)); }
    void start_repeating(std::chrono::milliseconds interval) { start(interval, interval); }
    void stop() { uv_timer_stop(raw()); }

private:
    void start(std::chrono::milliseconds delay, std::chrono::milliseconds repeat) {
        uv_timer_start(raw(), &run_callback, static_cast<std::uint64_t>(delay.count()),
                       static_cast<std::uint64_t>(repeat.count()));
    }
};

// Calls back in each loop iteration, after the sockets were read. Active after construction.
class CheckHandle : public LoopHandle<uv_check_t> {
public:
    CheckHandle(uv_loop_t& loop, LoopCallback after_reads) : LoopHandle(std::move(after_reads)) {
        uv_check_init(&loop, raw());
        uv_check_start(raw(), &run_callback);
    }
};

// Calls back in each loop iteration, and keeps the loop from blocking for I/O while it is active.
class IdleHandle : public LoopHandle<uv_idle_t> {
public:
    IdleHandle(uv_loop_t& loop, LoopCallback on_iteration) : LoopHandle(std::move(on_iteration)) {
        uv_idle_init(&loop, raw());
    }
    void start() { uv_idle_start(raw(), &run_callback); }
    void stop() { uv_idle_stop(raw()); }
};

// Calls back each time the process receives a given signal. Active after construction.
class SignalHandle : public LoopHandle<uv_signal_t> {
public:
    SignalHandle(uv_loop_t& loop, int number, LoopCallback on_signal) : LoopHandle(std::move(on_signal)) {
        uv_signal_init(&loop, raw());
        uv_signal_start(
            raw(), [](uv_signal_t* signal, int) { run_callback(signal); }, number);
    }
};

// Calls back while a descriptor is readable. Does not own the descriptor.
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
