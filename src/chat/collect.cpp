#include "chat/collect.hpp"

namespace chalksail::chat {
namespace {

// Members of a delta that are whole in each chunk: a later one replaces an earlier.
bool replaces(std::string_view name) {
    return name == "role" || name == "id" || name == "type" || name == "name" || name == "finish_reason" ||
           name == "stop_reason" || name == "index";
}

json::Value copy_of(const json::Value& value, json::Document& owner) {
    json::Value out;
    out.CopyFrom(value, owner.GetAllocator());
    return out;
}

}  // namespace

json::Value& Collector::choice(int index) {
    const auto [it, fresh] = choices_.try_emplace(index);
    if (fresh) {
        it->second.SetObject();
        it->second.AddMember("index", index, all_.GetAllocator());
        it->second.AddMember("message", json::Value(rapidjson::kObjectType), all_.GetAllocator());
    }
    return it->second;
}

void Collector::merge(json::Value& into, const json::Value& from, bool text_grows, const std::string& path) {
    auto& memory = all_.GetAllocator();
    if (into.IsObject() && from.IsObject()) {
        for (const auto& m : from.GetObject()) {
            const auto it = into.FindMember(m.name);
            if (it == into.MemberEnd()) into.AddMember(copy_of(m.name, all_), copy_of(m.value, all_), memory);
            else if (!m.value.IsNull())
                merge(it->value, m.value, !replaces(json::text(m.name)), path + '/' + m.name.GetString());
        }
    } else if (into.IsArray() && from.IsArray()) {
        for (const auto& item : from.GetArray()) {
            const auto* index = json::find(item, "index");
            rapidjson::SizeType same = into.Size();
            for (rapidjson::SizeType i = 0; index != nullptr && i < into.Size(); ++i)
                if (const auto* at = json::find(into[i], "index"); at != nullptr && *at == *index) same = i;
            if (same < into.Size()) merge(into[same], item, text_grows, path + '/' + std::to_string(same));
            else into.PushBack(copy_of(item, all_), memory);
        }
    } else if (into.IsString() && from.IsString() && text_grows) {
        // Grown beside the tree: its pool frees nothing, and a copy for each chunk would square the memory.
        const auto [it, fresh] = grown_.try_emplace(path);
        if (fresh) it->second = json::text(into);
        it->second += json::text(from);
    } else {
        into.CopyFrom(from, memory);
    }
}

bool Collector::add(std::string_view chunk) {
    if ((taken_ += chunk.size()) > most_) return false;
    json::Document doc;
    if (!json::parse(chunk, doc) || !doc.IsObject()) return false;
    auto& memory = all_.GetAllocator();
    for (const auto& m : doc.GetObject()) {
        if (m.name == "choices") continue;
        const auto it = all_.FindMember(m.name);
        if (it == all_.MemberEnd()) all_.AddMember(copy_of(m.name, all_), copy_of(m.value, all_), memory);
        else if (!m.value.IsNull()) it->value.CopyFrom(m.value, memory);
    }
    const auto* list = json::find(doc, "choices");
    if (list == nullptr) return true;
    if (!list->IsArray()) return false;
    for (const auto& part : list->GetArray()) {
        const auto* index = json::find(part, "index");
        if (!part.IsObject() || (index != nullptr && !index->IsInt())) return false;
        json::Value& into = choice(index == nullptr ? 0 : index->GetInt());
        for (const auto& m : part.GetObject()) {
            if (m.name == "index") continue;
            const char* const name = m.name == "delta" ? "message" : m.name.GetString();
            const auto it = into.FindMember(name);
            if (it == into.MemberEnd()) into.AddMember(copy_of(m.name, all_), copy_of(m.value, all_), memory);
            else if (!m.value.IsNull())
                merge(it->value, m.value, !replaces(name),
                      std::to_string(into["index"].GetInt()) + '/' + name);
        }
    }
    return true;
}

void Collector::restore(json::Value& value, const std::string& path) {
    if (value.IsString()) {
        if (const auto it = grown_.find(path); it != grown_.end())
            value.SetString(it->second.data(), static_cast<rapidjson::SizeType>(it->second.size()),
                            all_.GetAllocator());
    } else if (value.IsObject()) {
        for (auto& m : value.GetObject()) restore(m.value, path + '/' + m.name.GetString());
    } else if (value.IsArray()) {
        for (rapidjson::SizeType i = 0; i < value.Size(); ++i)
            restore(value[i], path + '/' + std::to_string(i));
    }
}

std::string Collector::finish() {
    auto& memory = all_.GetAllocator();
    json::Value list(rapidjson::kArrayType);
    for (auto& [index, c] : choices_) {
        restore(c, std::to_string(index));
        // The index that orders a delta's tool calls is no member of a finished message.
        if (auto& message = c["message"]; message.HasMember("tool_calls") && message["tool_calls"].IsArray())
            for (auto& call : message["tool_calls"].GetArray())
                if (call.IsObject()) call.RemoveMember("index");
        if (!c["message"].HasMember("content")) c["message"].AddMember("content", json::Value(), memory);
        if (!c.HasMember("finish_reason")) c.AddMember("finish_reason", json::Value(), memory);
        list.PushBack(c, memory);
    }
    choices_.clear();
    all_.RemoveMember("object");
    all_.AddMember("object", "chat.completion", memory);
    all_.AddMember("choices", list, memory);
    return json::dump(all_);
}

}  // namespace chalksail::chat
