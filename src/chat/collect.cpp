#include "chat/collect.hpp"

#include <algorithm>

namespace chalksail::chat {
namespace {

// Returns true for members that every chunk contains in full, so that a later value replaces an
// earlier one.
bool is_replaced(std::string_view name) {
    return name == "role" || name == "id" || name == "type" || name == "name" || name == "finish_reason" ||
           name == "stop_reason" || name == "index";
}

json::Value copy_of(const json::Value& value, json::Document& owner) {
    json::Value out;
    out.CopyFrom(value, owner.GetAllocator());
    return out;
}

// Returns the position of the element of `items` with this "index"; items.Size() if there is none.
rapidjson::SizeType position_of(const json::Value* index, const json::Value& items) {
    rapidjson::SizeType found = items.Size();
    for (rapidjson::SizeType i = 0; index != nullptr && i < items.Size(); ++i)
        if (const auto* at = json::find(items[i], "index"); at != nullptr && *at == *index) found = i;
    return found;
}

}  // namespace

json::Value& Collector::choice(int index) {
    const auto [it, added] = choices_.try_emplace(index);
    if (added) {
        it->second.SetObject();
        it->second.AddMember("index", index, completion_.GetAllocator());
        it->second.AddMember("message", json::Value(rapidjson::kObjectType), completion_.GetAllocator());
    }
    return it->second;
}

void Collector::merge_object(json::Value& into, const json::Value& from, const std::string& path) {
    for (const auto& m : from.GetObject()) {
        const auto it = into.FindMember(m.name);
        if (it == into.MemberEnd())
            into.AddMember(copy_of(m.name, completion_), copy_of(m.value, completion_),
                           completion_.GetAllocator());
        else if (!m.value.IsNull())
            merge(it->value, m.value, !is_replaced(json::text(m.name)), path + '/' + m.name.GetString());
    }
}

void Collector::merge_array(json::Value& into, const json::Value& from, bool append_text,
                            const std::string& path) {
    for (const auto& item : from.GetArray()) {
        const auto position = position_of(json::find(item, "index"), into);
        if (position < into.Size())
            merge(into[position], item, append_text, path + '/' + std::to_string(position));
        else into.PushBack(copy_of(item, completion_), completion_.GetAllocator());
    }
}

void Collector::merge(json::Value& into, const json::Value& from, bool append_text, const std::string& path) {
    if (into.IsObject() && from.IsObject()) {
        merge_object(into, from, path);
    } else if (into.IsArray() && from.IsArray()) {
        merge_array(into, from, append_text, path);
    } else if (into.IsString() && from.IsString() && append_text) {
        // Appends outside the tree: its pool allocator frees nothing, so a copy for each chunk would take
        // memory quadratic in the length of the text.
        const auto [it, added] = appended_texts_.try_emplace(path);
        if (added) it->second = json::text(into);
        it->second += json::text(from);
    } else {
        into.CopyFrom(from, completion_.GetAllocator());
    }
}

bool Collector::add_choice(const json::Value& part) {
    const auto* index = json::find(part, "index");
    if (!part.IsObject() || (index != nullptr && !index->IsInt())) return false;
    json::Value& into = choice(index == nullptr ? 0 : index->GetInt());
    for (const auto& m : part.GetObject()) {
        if (m.name == "index") continue;
        const char* const name = m.name == "delta" ? "message" : m.name.GetString();
        const auto it = into.FindMember(name);
        if (it == into.MemberEnd())
            into.AddMember(copy_of(m.name, completion_), copy_of(m.value, completion_),
                           completion_.GetAllocator());
        else if (!m.value.IsNull())
            merge(it->value, m.value, !is_replaced(name),
                  std::to_string(into["index"].GetInt()) + '/' + name);
    }
    return true;
}

bool Collector::add(std::string_view chunk) {
    if ((received_bytes_ += chunk.size()) > max_bytes_) return false;
    json::Document doc;
    if (!json::parse(chunk, doc) || !doc.IsObject()) return false;
    auto& memory = completion_.GetAllocator();
    for (const auto& m : doc.GetObject()) {
        if (m.name == "choices") continue;
        const auto it = completion_.FindMember(m.name);
        if (it == completion_.MemberEnd())
            completion_.AddMember(copy_of(m.name, completion_), copy_of(m.value, completion_), memory);
        else if (!m.value.IsNull()) it->value.CopyFrom(m.value, memory);
    }
    const auto* choices = json::find(doc, "choices");
    if (choices == nullptr) return true;
    if (!choices->IsArray()) return false;
    const auto parts = choices->GetArray();
    return std::all_of(parts.begin(), parts.end(), [this](const auto& part) { return add_choice(part); });
}

void Collector::restore(json::Value& value, const std::string& path) {
    if (value.IsString()) {
        if (const auto it = appended_texts_.find(path); it != appended_texts_.end())
            value.SetString(it->second.data(), static_cast<rapidjson::SizeType>(it->second.size()),
                            completion_.GetAllocator());
    } else if (value.IsObject()) {
        for (auto& m : value.GetObject()) restore(m.value, path + '/' + m.name.GetString());
    } else if (value.IsArray()) {
        for (rapidjson::SizeType i = 0; i < value.Size(); ++i)
            restore(value[i], path + '/' + std::to_string(i));
    }
}

std::string Collector::finish() {
    auto& memory = completion_.GetAllocator();
    json::Value list(rapidjson::kArrayType);
    for (auto& [index, c] : choices_) {
        restore(c, std::to_string(index));
        // The index that orders tool calls in deltas is not part of a complete message.
        if (auto& message = c["message"]; message.HasMember("tool_calls") && message["tool_calls"].IsArray())
            for (auto& call : message["tool_calls"].GetArray())
                if (call.IsObject()) call.RemoveMember("index");
        if (!c["message"].HasMember("content")) c["message"].AddMember("content", json::Value(), memory);
        if (!c.HasMember("finish_reason")) c.AddMember("finish_reason", json::Value(), memory);
        list.PushBack(c, memory);
    }
    choices_.clear();
    completion_.RemoveMember("object");
    completion_.AddMember("object", "chat.completion", memory);
    completion_.AddMember("choices", list, memory);
    return json::dump(completion_);
}

}  // namespace chalksail::chat
