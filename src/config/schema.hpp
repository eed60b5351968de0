// Typed reading of KDL nodes: each block names the settings it knows, and all that is left over is an error
// with its place and the nearest name that would have been right. Errors are gathered, so that one check
// shows them all.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.hpp"
#include "config/kdl/kdl.hpp"

namespace chalksail::config {

struct Problem {
    std::string file;
    kdl::Place place;
    std::string text;
};
// "file:line:column: text"
[[nodiscard]] std::string format(const Problem& problem);

class Problems {
public:
    explicit Problems(std::string file) : file_(std::move(file)) {}
    void add(kdl::Place place, std::string text) { all_.push_back({file_, place, std::move(text)}); }
    [[nodiscard]] const std::vector<Problem>& all() const { return all_; }

private:
    std::string file_;
    std::vector<Problem> all_;
};

// The name in `known` that is nearest to `wrong`; empty if none is near.
[[nodiscard]] std::string nearest(std::string_view wrong, const std::set<std::string>& known);

enum class Need { optional, required };

// Reads the children of one node (or the nodes of a document). Call done() last.
class Block {
public:
    Block(const std::vector<kdl::Node>& nodes, kdl::Place place, std::string where, Problems& problems);

    // A child with exactly one argument: `name value`.
    bool text(const char* name, std::string& out, Need need = Need::optional);
    bool flag(const char* name, bool& out);
    bool duration(const char* name, Duration& out, Need need = Need::optional);
    bool size(const char* name, std::size_t& out);
    bool whole(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most,
               Need need = Need::optional);
    bool real(const char* name, double& out, double least, double most, Need need = Need::optional);
    bool address(const char* name, Address& out, Need need = Need::optional);
    // A child with one argument out of the words.
    bool word(const char* name, const std::vector<std::string>& words, std::size_t& out,
              Need need = Need::optional);
    // A child with any number of whole numbers.
    bool wholes(const char* name, std::vector<int>& out, std::int64_t least, std::int64_t most);
    // Each child of that name; `read` reads the rest of it. `arguments`: how many strings it must have.
    void each(const char* name, std::size_t arguments, const std::function<void(const kdl::Node&)>& read);
    // Complains of all that was not asked for.
    void done();

private:
    const kdl::Node* only(const char* name, Need need);
    const kdl::Value* value(const char* name, Need need);
    void wrong(const kdl::Value& value, const char* name, const std::string& wanted);

    const std::vector<kdl::Node>& nodes_;
    kdl::Place place_;
    std::string where_;
    Problems& problems_;
    std::set<std::string> known_;
};

// The properties of a node, each a string; complains of names that are not in `known`, and of arguments
// beyond `arguments`.
class Properties {
public:
    Properties(const kdl::Node& node, std::set<std::string> known, std::size_t arguments, Problems& problems);
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] bool has(const char* name) const;
    bool duration(const char* name, Duration& out) const;
    bool whole(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most) const;
    bool real(const char* name, double& out, double least, double most) const;

private:
    [[nodiscard]] const kdl::Property* find(const char* name) const;
    const kdl::Node& node_;
    Problems& problems_;
};

}  // namespace chalksail::config
