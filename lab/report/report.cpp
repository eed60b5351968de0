#include "report/report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <kainjow/mustache.hpp>
#include <utility>
#include <vector>

#include "base/units.hpp"
#include "report/template.hpp"

namespace chalksail::lab {
namespace {

using kainjow::mustache::data;
constexpr double kWidth = 900, kHeight = 160;

std::string number(double v, const char* how = "%.3g") {
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), how, v);
    return out.data();
}
std::string number(std::size_t v) { return std::to_string(v); }

// From left to right, the highest at the top of `height`.
std::string points(const std::vector<double>& values, double most, double width, double height) {
    std::string out;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double x = width * (static_cast<double>(i) + 0.5) / static_cast<double>(values.size());
        const double y = height - (most > 0 ? values[i] / most * height : 0);
        out += number(x, "%.1f") + "," + number(y, "%.1f") + " ";
    }
    return out;
}

struct Line {
    std::string label;
    std::string colour;
    std::function<double(const Account::Second&)> value;
};

data plot(const std::string& title, const Scenario& s, const std::vector<Account::Second>& seconds,
          const std::vector<Line>& lines) {
    const auto all = static_cast<double>(std::max<std::size_t>(1, seconds.size()));
    double most = 0;
    std::vector<std::vector<double>> values(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
        for (const auto& second : seconds) {
            values[i].push_back(lines[i].value(second));
            most = std::max(most, values[i].back());
        }
    data out;
    out.set("title", title);
    out.set("width", number(kWidth, "%.0f"));
    out.set("height", number(kHeight, "%.0f"));
    out.set("base", number(kHeight - 2, "%.0f"));
    out.set("most", number(most));
    out.set("end", number(seconds.size()));
    out.set("end_x", number(kWidth - 40, "%.0f"));
    data drawn{data::type::list};
    for (std::size_t i = 0; i < lines.size(); ++i) {
        data line;
        line.set("label", lines[i].label);
        line.set("colour", lines[i].colour);
        line.set("points", points(values[i], most, kWidth, kHeight));
        line.set("label_x", number(80 + 130 * static_cast<double>(i), "%.0f"));
        drawn << line;
    }
    out.set("lines", drawn);
    data marks{data::type::list};
    for (const auto& t : s.faults) {
        const auto seconds_of = [](Duration d) { return std::chrono::duration<double>(d).count(); };
        data mark;
        mark.set("x", number(kWidth * seconds_of(t.at) / all, "%.1f"));
        mark.set("w", number(kWidth * seconds_of(t.lasts) / all, "%.1f"));
        mark.set("h", number(kHeight, "%.0f"));
        mark.set("text", to_kdl(t));
        marks << mark;
    }
    out.set("troubles", marks);
    return out;
}

data counts(const std::string& name, const Counts& c) {
    data out;
    out.set("name", name);
    out.set("asked", number(c.requests));
    out.set("served", number(c.served));
    out.set("in_time", number(c.in_time));
    out.set("refused", number(c.refused));
    out.set("failed", number(c.failed));
    out.set("gone", number(c.disconnected));
    out.set("worth", number(c.weight_share(), "%.3f"));
    return out;
}

}  // namespace

std::string html_report(const Scenario& s, const Account& account, const RuleReport& rule_report,
                        bool simulated) {
    data page;
    page.set("name", s.name);
    page.set("kind", simulated ? "Simulated, in virtual time:" : "On sockets:");
    page.set("engines", number(s.engines.size()));
    page.set("edges", std::to_string(s.edges));
    page.set("clients", std::to_string(s.clients));
    page.set("length", format_duration(s.length));
    page.set("seed", std::to_string(s.seed));
    data broken{data::type::list};
    for (std::size_t i = 0; i < rule_report.breaches.size() && i < 20; ++i)
        broken << data(format(rule_report.breaches[i]));
    page.set("broken", broken);
    data classes{data::type::list};
    classes << counts("all", account.all());
    for (const auto& [name, c] : account.by_class()) classes << counts(name, c);
    page.set("classes", classes);
    const auto& first = account.first_token_ms();
    page.set("p50", number(first.quantile(0.5), "%.0f"));
    page.set("p90", number(first.quantile(0.9), "%.0f"));
    page.set("p99", number(first.quantile(0.99), "%.0f"));
    page.set("attempts", number(static_cast<double>(account.attempts()) /
                                    static_cast<double>(std::max<std::size_t>(1, account.all().requests)),
                                "%.2f"));
    page.set("waste", number(account.waste(), "%.3f"));

    const auto quantile = [](double part) {
        return [part](const Account::Second& x) { return x.first_token_ms.quantile(part); };
    };
    const auto count = [](std::size_t Counts::*of) {
        return [of](const Account::Second& x) { return static_cast<double>(x.counts.*of); };
    };
    data plots{data::type::list};
    plots << plot("Worth of what was asked in each second, of what it could be", s, account.seconds(),
                  {{"worth", "#275", [](const auto& x) { return x.counts.weight_share(); }}});
    plots << plot(
        "First token, ms", s, account.seconds(),
        {{"p50", "#357", quantile(0.5)}, {"p90", "#a60", quantile(0.9)}, {"p99", "#b00", quantile(0.99)}});
    plots << plot("Requests", s, account.seconds(),
                  {{"asked", "#888", count(&Counts::requests)},
                   {"in time", "#275", count(&Counts::in_time)},
                   {"refused", "#a60", count(&Counts::refused)},
                   {"failed", "#b00", count(&Counts::failed)}});
    plots << plot("Attempts that reached engines", s, account.seconds(),
                  {{"attempts", "#357", [](const auto& x) { return static_cast<double>(x.attempts); }}});
    page.set("plots", plots);

    data faults{data::type::list};
    for (const auto& t : s.faults) faults << data(to_kdl(t));
    page.set("all_troubles", faults);
    data servers{data::type::list};
    for (const auto& [name, v] : account.servers()) {
        data one;
        one.set("name", name);
        one.set("attempts", number(v.attempts));
        one.set("done", number(v.done));
        one.set("not_run", number(v.not_run));
        one.set("errors", number(v.errors));
        one.set("cut", number(v.cut));
        one.set("left", number(v.left));
        std::vector<double> values(v.by_second.begin(), v.by_second.end());
        values.resize(account.seconds().size());
        const double most = values.empty() ? 0 : *std::max_element(values.begin(), values.end());
        one.set("points", points(values, most, 240, 18));
        servers << one;
    }
    page.set("servers", servers);
    return kainjow::mustache::mustache(kReportTemplate).render(page);
}

}  // namespace chalksail::lab
