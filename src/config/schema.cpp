#include "config/schema.hpp"

#include <algorithm>
#include <numeric>
#include <optional>

namespace chalksail::config {
namespace {

// Returns the Levenshtein distance. Keeps only one row of the dynamic-programming table.
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

std::string format_number(double number) {
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) text.pop_back();
    return text;
}

std::string range(double minimum, double maximum) {
    return " from " + format_number(minimum) + " to " + format_number(maximum);
}

// The next three functions return the scalar's value, or nullopt if it has another type, is out of range or
// is malformed.
std::optional<std::int64_t> integer_within(const kdl::Scalar& scalar, std::int64_t minimum,
                                           std::int64_t maximum) {
    const auto* number = std::get_if<std::int64_t>(&scalar);
    if (number == nullptr || *number < minimum || *number > maximum) return std::nullopt;
    return *number;
}
std::optional<double> real_within(const kdl::Scalar& scalar, double minimum, double maximum) {
    double number = 0;
    if (const auto* whole = std::get_if<std::int64_t>(&scalar)) number = static_cast<double>(*whole);
    else if (const auto* real = std::get_if<double>(&scalar)) number = *real;
    else return std::nullopt;
    if (!(number >= minimum && number <= maximum)) return std::nullopt;
    return number;
}
std::optional<Duration> as_duration(const kdl::Scalar& scalar) {
    const auto* text = std::get_if<std::string>(&scalar);
    return text == nullptr ? std::nullopt : parse_duration(*text);
}

std::string integer_range(std::int64_t minimum, std::int64_t maximum) {
    return range(static_cast<double>(minimum), static_cast<double>(maximum));
}

bool is_nonempty_text(const kdl::Value& value) {
    const auto* text = std::get_if<std::string>(&value.scalar);
    return text != nullptr && !text->empty();
}

}  // namespace

std::string format(const Problem& p) {
    return p.file + ":" + std::to_string(p.position.line) + ":" + std::to_string(p.position.column) + ": " +
           p.text;
}

std::string nearest(std::string_view wrong, const std::set<std::string>& known) {
    std::string best;
    std::size_t minimum = std::max<std::size_t>(2, wrong.size() / 3) + 1;
    for (const auto& name : known)
        if (const auto d = distance(wrong, name); d < minimum) {
            minimum = d;
            best = name;
        }
    return best;
}

std::string did_you_mean(std::string_view wrong, const std::set<std::string>& known) {
    const std::string near = nearest(wrong, known);
    return near.empty() ? "" : "; did you mean '" + near + "'?";
}

Block::Block(const std::vector<kdl::Node>& nodes, kdl::SourcePosition position, std::string where,
             Problems& problems)
    : nodes_(nodes), position_(position), where_(std::move(where)), problems_(problems) {}

const kdl::Node* Block::only(const char* name, Need need) {
    known_.insert(name);
    const kdl::Node* found = nullptr;
    for (const auto& n : nodes_) {
        if (n.name != name) continue;
        if (found != nullptr) problems_.add(n.position, "'" + n.name + "' is given twice");
        found = &n;
    }
    if (found == nullptr && need == Need::required)
        problems_.add(position_, where_ + " needs '" + name + "'");
    return found;
}

const kdl::Value* Block::value(const char* name, Need need) {
    const kdl::Node* node = only(name, need);
    if (node == nullptr) return nullptr;
    if (node->arguments.size() != 1 || !node->properties.empty() || !node->children.empty()) {
        problems_.add(node->position,
                      "'" + node->name + "' must have exactly one value, and no properties or children");
        return nullptr;
    }
    return &node->arguments.front();
}

void Block::wrong(const kdl::Value& value, const char* name, const std::string& wanted) {
    problems_.add(value.position, std::string("'") + name + "' must be " + wanted);
}

bool Block::text(const char* name, std::string& out, Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto* text = std::get_if<std::string>(&found->scalar);
    if (text == nullptr || text->empty()) return wrong(*found, name, "a non-empty string"), false;
    out = *text;
    return true;
}

bool Block::boolean(const char* name, bool& out) {
    const auto* found = value(name, Need::optional);
    if (found == nullptr) return false;
    const auto* flag = std::get_if<bool>(&found->scalar);
    if (flag == nullptr) return wrong(*found, name, "#true or #false"), false;
    out = *flag;
    return true;
}

bool Block::duration(const char* name, Duration& out, Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto parsed = as_duration(found->scalar);
    if (!parsed) return wrong(*found, name, "a duration such as \"250ms\" or \"5s\""), false;
    out = *parsed;
    return true;
}

bool Block::size(const char* name, std::size_t& out) {
    const auto* found = value(name, Need::optional);
    if (found == nullptr) return false;
    const auto* text = std::get_if<std::string>(&found->scalar);
    const auto parsed = text == nullptr ? std::nullopt : parse_size(*text);
    if (!parsed || *parsed == 0) return wrong(*found, name, "a size such as \"64KiB\" or \"8MiB\""), false;
    out = *parsed;
    return true;
}

bool Block::integer(const char* name, std::int64_t& out, std::int64_t minimum, std::int64_t maximum,
                    Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto number = integer_within(found->scalar, minimum, maximum);
    if (!number) return wrong(*found, name, "an integer" + integer_range(minimum, maximum)), false;
    out = *number;
    return true;
}

bool Block::real(const char* name, double& out, double minimum, double maximum, Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto number = real_within(found->scalar, minimum, maximum);
    if (!number) return wrong(*found, name, "a number" + range(minimum, maximum)), false;
    out = *number;
    return true;
}

bool Block::address(const char* name, Address& out, Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto* text = std::get_if<std::string>(&found->scalar);
    const auto parsed = text == nullptr ? std::nullopt : parse_address(*text);
    if (!parsed)
        return wrong(*found, name, "an IP address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\""),
               false;
    out = *parsed;
    return true;
}

bool Block::word(const char* name, const std::vector<std::string>& words, std::size_t& out, Need need) {
    const auto* found = value(name, need);
    if (found == nullptr) return false;
    const auto* text = std::get_if<std::string>(&found->scalar);
    const auto it = text == nullptr ? words.end() : std::find(words.begin(), words.end(), *text);
    if (it == words.end()) {
        std::string wanted = "one of:";
        for (const auto& w : words) wanted += " " + w;
        if (text != nullptr) wanted += did_you_mean(*text, {words.begin(), words.end()});
        return wrong(*found, name, wanted), false;
    }
    out = static_cast<std::size_t>(it - words.begin());
    return true;
}

bool Block::integers(const char* name, std::vector<int>& out, std::int64_t minimum, std::int64_t maximum) {
    const kdl::Node* node = only(name, Need::optional);
    if (node == nullptr) return false;
    if (!node->properties.empty() || !node->children.empty())
        problems_.add(node->position,
                      "'" + node->name + "' must have only values, no properties or children");
    for (const auto& v : node->arguments) {
        if (const auto number = integer_within(v.scalar, minimum, maximum))
            out.push_back(static_cast<int>(*number));
        else wrong(v, name, "a list of integers" + integer_range(minimum, maximum));
    }
    return true;
}

void Block::each(const char* name, std::size_t arguments, const std::function<void(const kdl::Node&)>& read) {
    known_.insert(name);
    for (const auto& n : nodes_) {
        if (n.name != name) continue;
        const bool texts = std::all_of(n.arguments.begin(), n.arguments.end(), is_nonempty_text);
        if (n.arguments.size() != arguments || !texts) {
            problems_.add(n.position,
                          std::string("'") + name + "' must have exactly " + std::to_string(arguments) +
                              (arguments == 1 ? " non-empty string value" : " non-empty string values"));
            continue;
        }
        read(n);
    }
}

void Block::done() {
    for (const auto& n : nodes_)
        if (!known_.contains(n.name))
            problems_.add(n.position,
                          "unknown setting '" + n.name + "' in " + where_ + did_you_mean(n.name, known_));
}

Properties::Properties(const kdl::Node& node, const std::set<std::string>& known, std::size_t arguments,
                       Problems& problems)
    : node_(node), problems_(problems) {
    for (const auto& p : node.properties)
        if (!known.contains(p.name))
            problems.add(p.position, "'" + node.name + "' has no property '" + p.name + "'" +
                                         did_you_mean(p.name, known));
    if (node.arguments.size() > arguments)
        problems.add(node.arguments[arguments].position, "'" + node.name + "' has too many values");
}

const kdl::Property* Properties::find(const char* name) const {
    for (const auto& p : node_.properties)
        if (p.name == name) return &p;
    return nullptr;
}

bool Properties::has(const char* name) const { return find(name) != nullptr; }
std::string Properties::text(const char* name) const {
    const auto* property = find(name);
    if (property == nullptr) return {};
    if (const auto* text = std::get_if<std::string>(&property->value.scalar)) return *text;
    problems_.add(property->position, "'" + property->name + "' must be a string");
    return {};
}

bool Properties::duration(const char* name, Duration& out) const {
    const auto* property = find(name);
    if (property == nullptr) return false;
    const auto parsed = as_duration(property->value.scalar);
    if (!parsed)
        return problems_.add(property->position,
                             "'" + property->name + "' must be a duration such as \"250ms\""),
               false;
    out = *parsed;
    return true;
}

bool Properties::integer(const char* name, std::int64_t& out, std::int64_t minimum,
                         std::int64_t maximum) const {
    const auto* property = find(name);
    if (property == nullptr) return false;
    const auto number = integer_within(property->value.scalar, minimum, maximum);
    if (!number) {
        problems_.add(property->position,
                      "'" + property->name + "' must be an integer" + integer_range(minimum, maximum));
        return false;
    }
    out = *number;
    return true;
}

bool Properties::real(const char* name, double& out, double minimum, double maximum) const {
    const auto* property = find(name);
    if (property == nullptr) return false;
    const auto number = real_within(property->value.scalar, minimum, maximum);
    if (!number) {
        problems_.add(property->position,
                      "'" + property->name + "' must be a number" + range(minimum, maximum));
        return false;
    }
    out = *number;
    return true;
}

}  // namespace chalksail::config
