// Typed reading of KDL nodes. The caller reads each setting that it supports from a block; every other
// setting is reported as an error with its position and the most similar supported name. Errors are
// collected, so that one check reports all of them.
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
// Formats a problem as "file:line:column: text".
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

// Returns the name in `known` with the smallest edit distance to `wrong`, or "" if none is similar.
[[nodiscard]] std::string nearest(std::string_view wrong, const std::set<std::string>& known);
// Returns "; did you mean 'name'?" with the nearest name, or "" if there is none.
[[nodiscard]] std::string did_you_mean(std::string_view wrong, const std::set<std::string>& known);

enum class Need { optional, required };

// Reads the children of one node, or the nodes of a document, each a setting. Call done() last.
//
// The functions that read one setting return true and set `out` if the setting is present and valid.
// Otherwise they return false and do not change `out`. They add a problem if the setting is invalid, or if it
// is missing and Need::required.
class Block {
public:
    // `where` is the name of the block in problems. `nodes` and `problems` must outlive the block.
    Block(const std::vector<kdl::Node>& nodes, kdl::SourcePosition position, std::string where,
          Problems& problems);

    // Read a setting with exactly one value: `name value`.
    bool text(const char* name, std::string& out, Need need = Need::optional);
    bool boolean(const char* name, bool& out);
    bool duration(const char* name, Duration& out, Need need = Need::optional);
    bool size(const char* name, std::size_t& out);
    bool integer(const char* name, std::int64_t& out, std::int64_t minimum, std::int64_t maximum,
                 Need need = Need::optional);
    bool real(const char* name, double& out, double minimum, double maximum, Need need = Need::optional);
    bool address(const char* name, Address& out, Need need = Need::optional);
    // Reads a setting whose value is one of `words`. Sets `out` to the index of the word.
    bool word(const char* name, const std::vector<std::string>& words, std::size_t& out,
              Need need = Need::optional);
    // Reads an enum. `words` are the names of its values, in order from 0.
    template <class Enum>
    requires std::is_enum_v<Enum>
    bool word(const char* name, const std::vector<std::string>& words, Enum& out,
              Need need = Need::optional) {
        std::size_t position = 0;
        if (!word(name, words, position, need)) return false;
        out = static_cast<Enum>(position);
        return true;
    }
    // Appends the values of a setting with any number of integers. Adds a problem for each invalid value and
    // skips it. Returns false only if the setting is missing.
    bool integers(const char* name, std::vector<int>& out, std::int64_t minimum, std::int64_t maximum);
    // Calls `read` for each setting of that name with exactly `arguments` non-empty strings. Adds a problem
    // for each other setting of that name.
    void each(const char* name, std::size_t arguments, const std::function<void(const kdl::Node&)>& read);
    // Adds a problem for each setting whose name was not passed to any of the functions above.
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

// Reads the properties of one node. The functions leave `out` unchanged if the property is missing or
// invalid; an invalid one is a problem.
class Properties {
public:
    // Adds a problem for each property whose name is not in `known`, and for arguments beyond `arguments`.
    Properties(const kdl::Node& node, const std::set<std::string>& known, std::size_t arguments,
               Problems& problems);
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] bool has(const char* name) const;
    bool duration(const char* name, Duration& out) const;
    bool integer(const char* name, std::int64_t& out, std::int64_t minimum, std::int64_t maximum) const;
    bool real(const char* name, double& out, double minimum, double maximum) const;

private:
    [[nodiscard]] const kdl::Property* find(const char* name) const;
    const kdl::Node& node_;
    Problems& problems_;
};

}  // namespace chalksail::config
