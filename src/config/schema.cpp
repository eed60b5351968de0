#include "config/schema.hpp"

#include <algorithm>
#include <numeric>

namespace chalksail::config {
namespace {

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] == b[j - 1] ? 0 : 1)});
            corner = above;
        }
    }
    return row.back();
}
std::string did_you_mean(std::string_view wrong, const std::set<std::string>& known) {
    const std::string near = nearest(wrong, known);
    return near.empty() ? "" : "; did you mean '" + near + "'?";
}
std::string range(double least, double most) {
    const auto show = [](double d) {
        std::string text = std::to_string(d);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.ends_with('.')) text.pop_back();
        return text;
    };
    return " from " + show(least) + " to " + show(most);
}
// A number, whole or not.
const double* as_real(const kdl::Scalar& scalar, double& store) {
    if (const auto* whole = std::get_if<std::int64_t>(&scalar)) store = static_cast<double>(*whole);
    else if (const auto* real = std::get_if<double>(&scalar)) store = *real;
    else return nullptr;
    return &store;
}

}  // namespace

std::string format(const Problem& p) {
    return p.file + ":" + std::to_string(p.place.line) + ":" + std::to_string(p.place.column) + ": " + p.text;
}

std::string nearest(std::string_view wrong, const std::set<std::string>& known) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, wrong.size() / 3) + 1;
    for (const auto& name : known)
        if (const auto d = distance(wrong, name); d < least) {
            least = d;
            best = name;
        }
    return best;
}

Block::Block(const std::vector<kdl::Node>& nodes, kdl::Place place, std::string where, Problems& problems)
    : nodes_(nodes), place_(place), where_(std::move(where)), problems_(problems) {}

const kdl::Node* Block::only(const char* name, Need need) {
    known_.insert(name);
    const kdl::Node* found = nullptr;
    for (const auto& n : nodes_) {
        if (n.name != name) continue;
        if (found != nullptr) problems_.add(n.place, "'" + n.name + "' is given twice");
        found = &n;
    }
    if (found == nullptr && need == Need::required) problems_.add(place_, where_ + " needs '" + name + "'");
    return found;
}
const kdl::Value* Block::value(const char* name, Need need) {
    const kdl::Node* node = only(name, need);
    if (node == nullptr) return nullptr;
    if (node->arguments.size() != 1 || !node->properties.empty() || !node->children.empty()) {
        problems_.add(node->place, "'" + node->name + "' wants exactly one value");
        return nullptr;
    }
    return &node->arguments.front();
}
void Block::wrong(const kdl::Value& value, const char* name, const std::string& wanted) {
    problems_.add(value.place, std::string("'") + name + "' wants " + wanted);
}

bool Block::text(const char* name, std::string& out, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    const auto* s = std::get_if<std::string>(&v->scalar);
    if (s == nullptr || s->empty()) return wrong(*v, name, "a string"), false;
    out = *s;
    return true;
}
bool Block::flag(const char* name, bool& out) {
    const auto* v = value(name, Need::optional);
    if (v == nullptr) return false;
    const auto* b = std::get_if<bool>(&v->scalar);
    if (b == nullptr) return wrong(*v, name, "#true or #false"), false;
    out = *b;
    return true;
}
bool Block::duration(const char* name, Duration& out, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    const auto* s = std::get_if<std::string>(&v->scalar);
    const auto parsed = s == nullptr ? std::nullopt : parse_duration(*s);
    if (!parsed) return wrong(*v, name, "a time such as \"250ms\" or \"5s\""), false;
    out = *parsed;
    return true;
}
bool Block::size(const char* name, std::size_t& out) {
    const auto* v = value(name, Need::optional);
    if (v == nullptr) return false;
    const auto* s = std::get_if<std::string>(&v->scalar);
    const auto parsed = s == nullptr ? std::nullopt : parse_size(*s);
    if (!parsed || *parsed == 0) return wrong(*v, name, "a size such as \"64KiB\" or \"8MiB\""), false;
    out = *parsed;
    return true;
}
bool Block::whole(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    const auto* n = std::get_if<std::int64_t>(&v->scalar);
    if (n == nullptr || *n < least || *n > most)
        return wrong(*v, name,
                     "a whole number" + range(static_cast<double>(least), static_cast<double>(most))),
               false;
    out = *n;
    return true;
}
bool Block::real(const char* name, double& out, double least, double most, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    double store = 0;
    const double* n = as_real(v->scalar, store);
    if (n == nullptr || !(*n >= least && *n <= most))
        return wrong(*v, name, "a number" + range(least, most)), false;
    out = *n;
    return true;
}
bool Block::address(const char* name, Address& out, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    const auto* s = std::get_if<std::string>(&v->scalar);
    const auto parsed = s == nullptr ? std::nullopt : parse_address(*s);
    if (!parsed)
        return wrong(*v, name, "an IP address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\""), false;
    out = *parsed;
    return true;
}
bool Block::word(const char* name, const std::vector<std::string>& words, std::size_t& out, Need need) {
    const auto* v = value(name, need);
    if (v == nullptr) return false;
    const auto* s = std::get_if<std::string>(&v->scalar);
    const auto it = s == nullptr ? words.end() : std::find(words.begin(), words.end(), *s);
    if (it == words.end()) {
        std::string wanted = "one of";
        for (const auto& w : words) wanted += " " + w;
        if (s != nullptr) wanted += did_you_mean(*s, {words.begin(), words.end()});
        return wrong(*v, name, wanted), false;
    }
    out = static_cast<std::size_t>(it - words.begin());
    return true;
}
bool Block::wholes(const char* name, std::vector<int>& out, std::int64_t least, std::int64_t most) {
    const kdl::Node* node = only(name, Need::optional);
    if (node == nullptr) return false;
    if (!node->properties.empty() || !node->children.empty())
        problems_.add(node->place, "'" + node->name + "' wants values only");
    for (const auto& v : node->arguments) {
        const auto* n = std::get_if<std::int64_t>(&v.scalar);
        if (n == nullptr || *n < least || *n > most)
            wrong(v, name, "whole numbers" + range(static_cast<double>(least), static_cast<double>(most)));
        else out.push_back(static_cast<int>(*n));
    }
    return true;
}
void Block::each(const char* name, std::size_t arguments, const std::function<void(const kdl::Node&)>& read) {
    known_.insert(name);
    for (const auto& n : nodes_) {
        if (n.name != name) continue;
        const bool texts = std::all_of(n.arguments.begin(), n.arguments.end(), [](const kdl::Value& v) {
            const auto* s = std::get_if<std::string>(&v.scalar);
            return s != nullptr && !s->empty();
        });
        if (n.arguments.size() != arguments || !texts) {
            problems_.add(n.place, std::string("'") + name + "' wants " + std::to_string(arguments) +
                                       (arguments == 1 ? " name" : " names"));
            continue;
        }
        read(n);
    }
}
void Block::done() {
    for (const auto& n : nodes_)
        if (!known_.contains(n.name))
            problems_.add(n.place,
                          "unknown setting '" + n.name + "' in " + where_ + did_you_mean(n.name, known_));
}

Properties::Properties(const kdl::Node& node, std::set<std::string> known, std::size_t arguments,
                       Problems& problems)
    : node_(node), problems_(problems) {
    for (const auto& p : node.properties)
        if (!known.contains(p.name))
            problems.add(p.place,
                         "'" + node.name + "' has no '" + p.name + "'" + did_you_mean(p.name, known));
    if (node.arguments.size() > arguments)
        problems.add(node.arguments[arguments].place, "'" + node.name + "' wants no more values");
}
const kdl::Property* Properties::find(const char* name) const {
    for (const auto& p : node_.properties)
        if (p.name == name) return &p;
    return nullptr;
}
bool Properties::has(const char* name) const { return find(name) != nullptr; }
std::string Properties::text(const char* name) const {
    const auto* p = find(name);
    if (p == nullptr) return {};
    if (const auto* s = std::get_if<std::string>(&p->value.scalar)) return *s;
    problems_.add(p->place, "'" + p->name + "' wants a string");
    return {};
}
bool Properties::duration(const char* name, Duration& out) const {
    const auto* p = find(name);
    if (p == nullptr) return false;
    const auto* s = std::get_if<std::string>(&p->value.scalar);
    const auto parsed = s == nullptr ? std::nullopt : parse_duration(*s);
    if (!parsed) return problems_.add(p->place, "'" + p->name + "' wants a time such as \"250ms\""), false;
    out = *parsed;
    return true;
}
bool Properties::whole(const char* name, std::int64_t& out, std::int64_t least, std::int64_t most) const {
    const auto* p = find(name);
    if (p == nullptr) return false;
    const auto* n = std::get_if<std::int64_t>(&p->value.scalar);
    if (n == nullptr || *n < least || *n > most) {
        problems_.add(p->place, "'" + p->name + "' wants a whole number" +
                                    range(static_cast<double>(least), static_cast<double>(most)));
        return false;
    }
    out = *n;
    return true;
}
bool Properties::real(const char* name, double& out, double least, double most) const {
    const auto* p = find(name);
    if (p == nullptr) return false;
    double store = 0;
    const double* n = as_real(p->value.scalar, store);
    if (n == nullptr || !(*n >= least && *n <= most)) {
        problems_.add(p->place, "'" + p->name + "' wants a number" + range(least, most));
        return false;
    }
    out = *n;
    return true;
}

}  // namespace chalksail::config
