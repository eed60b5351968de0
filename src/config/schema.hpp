// Typed reading of KDL nodes. The reader of a block asks for each setting it knows; what is left over is an
// error with its place and the nearest known name. Errors are collected, so that one check reports all of
// them.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "base/units.hpp"
#include "config/kdl/kdl.hpp"

namespace chalksail::config {

// One error in a settings file.
struct Problem {
    std::string file;
    kdl::SourcePosition position;
    std::string text;
};
// "file:line:column: text"
[[nodiscard]] std::string format(const Problem& problem);

// Collects the errors of one file. Not thread-safe.
class Problems {
public:
    explicit Problems(std::string file) : file_(std::move(file)) {}
    void add(kdl::SourcePosition position, std::string text) {
        all_.push_back({file_, position, std::move(text)});
    }
    [[nodiscard]] const std::vector<Problem>& all() const { return all_; }

private:
    std::string file_;
    std::vector<Problem> all_;
};

// The name in `known` with the smallest edit distance to `wrong`; empty if none is close.
[[nodiscard]] std::string nearest(std::string_view wrong, const std::set<std::string>& known);
// "; did you mean 'name'?" with the nearest name, or nothing.
[[nodiscard]] std::string did_you_mean(std::string_view wrong, const std::set<std::string>& known);

enum class Need { optional, required };

// Reads the children of one node, or the nodes of a document, each a setting. Call done() last.
//
// The functions that read one setting return true and set `out` if the setting is there and valid. They leave
// `out` as it is if the setting is missing, which is a problem only for Need::required, or invalid, which
// always is one.
class Block {
public:
    // `where`: names the block in problems. `nodes` and `problems` must outlive the block.
    Block(const std::vector<kdl::Node>& nodes, kdl::SourcePosition position, std::string where,
          Problems& problems);

    // A setting with exactly one value: `name value`.
    bool text(const char* name, std::string& out, Need need = Need::optional);
    bool boolean(const char* name, bool& out);
    bool duration(const char* name, Duration& out, Need need = Need::optional);
    bool size(const char* name, std::size_t& out);
    bool integer(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most,
                 Need need = Need::optional);
    bool real(const char* name, double& out, double least, double most, Need need = Need::optional);
    bool address(const char* name, Address& out, Need need = Need::optional);
    // A setting with one of these words; `out` is the word's place among them.
    bool word(const char* name, const std::vector<std::string>& words, std::size_t& out,
              Need need = Need::optional);
    // The same for an enum whose values are named by the words, in order from 0.
    template <class Enum>
    requires std::is_enum_v<Enum>
    bool word(const char* name, const std::vector<std::string>& words, Enum& out,
              Need need = Need::optional) {
        std::size_t position = 0;
        if (!word(name, words, position, need)) return false;
        out = static_cast<Enum>(position);
        return true;
    }
    // A setting with any number of whole numbers.
    bool wholes(const char* name, std::vector<int>& out, std::int64_t least, std::int64_t most);
    // Calls `read` for each setting of that name that has exactly `arguments` strings; any other is a
    // problem.
    void each(const char* name, std::size_t arguments, const std::function<void(const kdl::Node&)>& read);
    // Adds a problem for each setting that was not asked for.
    void done();

private:
    const kdl::Node* only(const char* name, Need need);
    const kdl::Value* value(const char* name, Need need);
    void wrong(const kdl::Value& value, const char* name, const std::string& wanted);

    const std::vector<kdl::Node>& nodes_;
    kdl::SourcePosition position_;
    std::string where_;
    Problems& problems_;
    std::set<std::string> known_;
};

// Reads the properties of one node, each a string. A missing one leaves `out` as it is.
class Properties {
public:
    // Adds a problem for each property whose name is not in `known`, and for arguments beyond `arguments`.
    Properties(const kdl::Node& node, const std::set<std::string>& known, std::size_t arguments,
               Problems& problems);
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] bool has(const char* name) const;
    bool duration(const char* name, Duration& out) const;
    bool integer(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most) const;
    bool real(const char* name, double& out, double least, double most) const;

private:
    [[nodiscard]] const kdl::Property* find(const char* name) const;
    const kdl::Node& node_;
    Problems& problems_;
};

}  // namespace chalksail::config
