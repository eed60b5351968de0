// What a client has received for one request: its status, its text, and whether it is complete. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "chat/sse.hpp"
#include "workload/client_workload.hpp"

namespace chalksail::lab {

// The response to one request.
class Transcript {
public:
    void head(int status, std::int64_t retry_after_ms) {
        status_ = status;
        retry_after_ms_ = retry_after_ms;
    }
    // Bytes of the answer. Returns true if its first token came with them.
    bool body(const ClientCall& client_call, std::string_view bytes);
    // The answer has ended, or its connection broke: served, refused, rejected or failed.
    struct End {
        std::string termination;
        bool intact = true;  // the text is the one that the prompt gives
    };
    [[nodiscard]] End end(const ClientCall& client_call);
    [[nodiscard]] const std::string& text() const { return text_; }
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] std::int64_t retry_after_ms() const { return retry_after_ms_; }

private:
    int status_ = 0;
    std::int64_t retry_after_ms_ = 0;
    std::string body_;
    std::string text_;
    bool started_ = false;
    bool done_ = false;   // [DONE] came
    bool error_ = false;  // an error event came
    bool usage_ = false;
    chat::SseReader events_{8 * 1024 * 1024};
};

}  // namespace chalksail::lab
