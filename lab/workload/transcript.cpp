#include "workload/transcript.hpp"

#include "base/json.hpp"
#include "model/text.hpp"

namespace chalksail::lab {

bool Transcript::body(const ClientCall& client_call, std::string_view bytes) {
    if (!client_call.stream || status_ != 200) {
        body_ += bytes;
        return false;
    }
    const bool before = started_;
    for (const auto& data : events_.feed(bytes)) {
        if (data == chat::kDone) {
            done_ = true;
            continue;
        }
        json::Document doc;
        if (!json::parse(data, doc) || !doc.IsObject() || json::find(doc, "error") != nullptr) {
            error_ = true;
            continue;
        }
        started_ = true;
        if (json::find(doc, "usage") != nullptr) usage_ = true;
        const auto* choices = json::find(doc, "choices");
        if (choices == nullptr || !choices->IsArray() || choices->Empty()) continue;
        if (const auto* delta = json::find((*choices)[0], "delta"))
            text_ += json::text(json::find(*delta, "content"));
    }
    return started_ && !before;
}

Transcript::End Transcript::end(const ClientCall& client_call) {
    if (status_ != 200) {
        const bool refused = status_ == 503 || status_ == 429;
        return {refused ? "refused" : status_ >= 400 && status_ < 500 ? "rejected" : "failed", true};
    }
    const std::string wanted = answer_text(client_call.key, client_call.tokens);
    if (client_call.stream) {
        const bool whole = done_ && !error_;
        return {whole ? "served" : "failed", !whole || (text_ == wanted && usage_)};
    }
    json::Document doc;
    if (json::parse(body_, doc) && doc.IsObject())
        if (const auto* choices = json::find(doc, "choices");
            choices != nullptr && choices->IsArray() && !choices->Empty())
            if (const auto* message = json::find((*choices)[0], "message"))
                text_ = json::text(json::find(*message, "content"));
    return {"served", text_ == wanted};
}

}  // namespace chalksail::lab
