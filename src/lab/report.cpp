#include "lab/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <stdexcept>

namespace rackroute::lab {
namespace {

constexpr double kWidth = 860;  // of a chart, in CSS pixels
constexpr double kHeight = 150;
constexpr double kLeft = 48;  // margin for the labels of the vertical axis
constexpr double kBottom = 20;

std::string number(double value, int digits = 3) {
  std::array<char, 48> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.*f", digits, value);
  return buffer.data();
}

std::string escaped(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    if (c == '<')
      safe += "&lt;";
    else if (c == '>')
      safe += "&gt;";
    else if (c == '&')
      safe += "&amp;";
    else if (c == '"')
      safe += "&quot;";
    else
      safe += c;
  }
  return safe;
}

std::string svg(double height, const std::string& inside) {
  return "<svg viewBox='0 0 " + number(kWidth, 0) + ' ' + number(height, 0) + "' role='img'>" + inside +
         "</svg>\n";
}

std::string label(double x, double y, const std::string& text, const char* anchor = "start") {
  return "<text x='" + number(x, 1) + "' y='" + number(y, 1) + "' text-anchor='" + anchor + "'>" +
         escaped(text) + "</text>";
}

std::string line(double x1, double y1, double x2, double y2, const char* css) {
  return "<line x1='" + number(x1, 1) + "' y1='" + number(y1, 1) + "' x2='" + number(x2, 1) + "' y2='" +
         number(y2, 1) + "' class='" + css + "'/>";
}

std::string box(double x, double y, double width, double height, const std::string& style) {
  return "<rect x='" + number(x, 1) + "' y='" + number(y, 1) + "' width='" + number(width, 1) + "' height='" +
         number(height, 1) + "' " + style + "/>";
}

struct Curve {
  std::string css;
  std::vector<double> values;
};

/// Line chart of values per second; the vertical axis starts at 0.
std::string curves(const std::vector<Curve>& all, double most) {
  std::size_t count = 1;
  for (const Curve& curve : all) {
    count = std::max(count, curve.values.size());
    for (const double value : curve.values) most = std::max(most, value);
  }
  most = std::max(most, 1e-9);
  const auto x = [&](std::size_t i) {
    return kLeft + (kWidth - kLeft - 8) * static_cast<double>(i) /
                       static_cast<double>(std::max<std::size_t>(count - 1, 1));
  };
  const auto y = [&](double value) { return 8 + (kHeight - kBottom - 8) * (1 - value / most); };
  std::string inside = line(kLeft, y(0), kWidth - 8, y(0), "axis") +
                       line(kLeft, y(most), kWidth - 8, y(most), "grid") +
                       label(kLeft - 4, y(most) + 4, number(most, most < 10 ? 2 : 0), "end") +
                       label(kLeft - 4, y(0) + 4, "0", "end") + label(kLeft, kHeight - 4, "0 s") +
                       label(kWidth - 8, kHeight - 4, std::to_string(count - 1) + " s", "end");
  for (const Curve& curve : all) {
    std::string points;
    for (std::size_t i = 0; i < curve.values.size(); ++i)
      points += number(x(i), 1) + ',' + number(y(curve.values[i]), 1) + ' ';
    inside += "<polyline class='" + curve.css + "' points='" + points + "'/>";
  }
  return svg(kHeight, inside);
}

std::vector<double> values(const Json& array) { return array.get<std::vector<double>>(); }

/// Heat map of executions in flight: a row per server, a cell per second; red while the server is down.
std::string heat(const Json& inFlight) {
  std::size_t servers = 0;
  double most = 1;
  for (const Json& second : inFlight) {
    servers = std::max(servers, second.size());
    for (const Json& value : second) most = std::max(most, value.get<double>());
  }
  if (servers == 0) return "";
  const double row = std::clamp(400.0 / static_cast<double>(servers), 2.0, 14.0);
  const double cell = (kWidth - kLeft - 8) / static_cast<double>(inFlight.size());
  std::string inside;
  for (std::size_t at = 0; at < inFlight.size(); ++at) {
    for (std::size_t server = 0; server < inFlight[at].size(); ++server) {
      const double value = inFlight[at][server].get<double>();
      if (value == 0) continue;
      const std::string style =
          value < 0 ? "class='down'" : "class='load' opacity='" + number(0.15 + 0.85 * value / most, 2) + "'";
      inside +=
          box(kLeft + cell * static_cast<double>(at), row * static_cast<double>(server), cell, row, style);
    }
  }
  const double height = row * static_cast<double>(servers) + kBottom;
  inside += label(kLeft - 4, 12, std::to_string(servers), "end") + label(kLeft, height - 4, "0 s") +
            label(kWidth - 8, height - 4,
                  std::to_string(inFlight.size()) + " s; darkest: " + number(most, 0) + " in flight", "end");
  return svg(height, inside);
}

struct Bar {
  std::string name;
  double value = 0;
  double half = 0;
  bool bad = false;
};

std::string bars(const std::vector<Bar>& all, double most, const std::string& unit) {
  constexpr double row = 22;
  constexpr double names = 190;
  for (const Bar& bar : all) most = std::max(most, bar.value + bar.half);
  const double scale = (kWidth - names - 90) / std::max(most, 1e-9);
  std::string inside;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Bar& bar = all[i];
    const double y = row * static_cast<double>(i);
    inside +=
        label(names - 6, y + 15, bar.name, "end") +
        box(names, y + 4, std::max(bar.value * scale, 0.5), row - 8, bar.bad ? "class='bad'" : "class='bar'");
    if (bar.half > 0)
      inside += line(names + (bar.value - bar.half) * scale, y + row / 2,
                     names + (bar.value + bar.half) * scale, y + row / 2, "whisker");
    inside += label(names + (bar.value + bar.half) * scale + 6, y + 15, number(bar.value, 3) + unit);
  }
  return svg(row * static_cast<double>(all.size()) + 6, inside);
}

std::string cellOf(const std::string& text, bool head = false) {
  return (head ? "<th>" : "<td>") + text + (head ? "</th>" : "</td>");
}

std::string row(const std::vector<std::string>& cells, bool head = false) {
  std::string html = "<tr>";
  for (const std::string& cell : cells) html += cellOf(cell, head);
  return html + "</tr>\n";
}

std::string of(const Json& interval, int digits = 3) {
  const double half = interval["half"].get<double>();
  return number(interval["mean"].get<double>(), digits) + (half > 0 ? " ± " + number(half, digits) : "");
}

std::string heading(const Json& result, const std::string& what) {
  return "<section><h2>" + escaped(result["scenario"].get<std::string>()) + ": " + escaped(what) +
         "</h2><p>" + escaped(result["about"].get<std::string>()) + "</p>\n";
}

std::string runHtml(const Json& result) {
  const Json& figures = result["figures"];
  std::string page =
      heading(result, result["policy"].get<std::string>() + ", " + result["clock"].get<std::string>() +
                          " clock, seed " + std::to_string(result["seed"].get<std::uint64_t>()));
  page += "<p>" + std::to_string(result["balancers"].get<int>()) + " balancers, " +
          std::to_string(result["servers"].get<int>()) + " servers, " +
          number(result["queries_per_s"].get<double>(), 0) +
          " queries per second. Goodput by importance <b>" + number(figures["goodput"].get<double>()) +
          "</b>, worst 10 s " + number(figures["worst_10_s"].get<double>()) + ". Rules broken: <b>" +
          std::to_string(result["broken"].get<std::uint64_t>()) + "</b> of " +
          std::to_string(result["judged"].get<std::uint64_t>()) + " queries checked.</p>\n";
  page += "<h3>Importance requested (grey) and served in time (green), per second</h3>" +
          curves({{"asked", values(figures["seconds"]["asked"])},
                  {"served", values(figures["seconds"]["served"])}},
                 0);
  page += "<h3>By use case</h3><table>" + row({"use case", "importance", "in time", "late", "rejected",
                                               "failed", "left", "p50 ms", "p90 ms", "p99 ms"},
                                              true);
  for (const Json& use : figures["use_cases"]) {
    std::vector<std::string> cells = {escaped(use["name"].get<std::string>()),
                                      number(use["importance"].get<double>(), 1)};
    for (const char* fate : {"in_time", "late", "rejected", "failed", "left"})
      cells.push_back(std::to_string(use[fate].get<std::uint64_t>()));
    for (const char* part : {"p50_ms", "p90_ms", "p99_ms"})
      cells.push_back(number(use[part].get<double>(), 1));
    page += row(cells);
  }
  page += "</table>\n<h3>Executions in flight at each server, per second (red: down)</h3>" +
          heat(figures["seconds"]["held"]);
  page += "<h3>Ejected share of all pools</h3>" +
          curves({{"ejected", values(figures["seconds"]["ejected"])}}, 0.05);
  if (!result["cold_starts"].empty()) {
    std::vector<Bar> all;
    for (const Json& cold : result["cold_starts"]) {
      const double peak = cold["peak"].get<double>();
      all.push_back({"started at " + number(cold["started_s"].get<double>(), 1) + " s", peak, 0, peak > 1});
    }
    page += "<h3>Cold starts: peak work received, relative to the overload limit</h3>" + bars(all, 1, "");
  }
  if (!result["drains"].empty()) {
    std::vector<Bar> all;
    const double grace = result["drain_grace_ms"].get<double>();
    for (const Json& drain : result["drains"]) {
      const double latest = drain["latest_ms"].get<double>();
      all.push_back({"server " + std::to_string(drain["server"].get<std::uint64_t>() % 100000), latest, 0,
                     latest > grace});
    }
    page += "<h3>Drains: last execution after the notice to a balancer, grace period " + number(grace, 0) +
            " ms</h3>" + bars(all, grace, " ms");
  }
  for (const Json& breach : result["breaches"]) {
    page += "<h3 class='broken'>Broken: " + escaped(breach["rule"].get<std::string>()) + ", " +
            escaped(breach["subject"].get<std::string>()) + "</h3><pre>";
    for (const Json& told : breach["timeline"]) page += escaped(told.get<std::string>()) + '\n';
    page += "</pre>";
  }
  return page + "</section>\n";
}

std::string tableOf(const Json& all, const char* first) {
  std::string html = "<table>" + row({first, "policy", "goodput", "worst 10 s", "p99 ms", "work wasted",
                                      "executions per query", "broken", "module ahead by"},
                                     true);
  for (const Json& one : all) {
    html += row({one.contains("value") ? escaped(one["value"].get<std::string>()) : "",
                 escaped(one["policy"].get<std::string>()), of(one["goodput"]), of(one["worst_10_s"]),
                 of(one["p99_ms"], 0), of(one["wasted_share"]), of(one["executions_per_query"], 2),
                 std::to_string(one["broken"].get<std::uint64_t>()),
                 one.contains("first_ahead")
                     ? of(one["first_ahead"]) + ", " + escaped(one["verdict"].get<std::string>())
                     : ""});
  }
  return html + "</table>\n";
}

std::string seedsOf(const Json& result) { return std::to_string(result["seeds"].size()) + " seeds"; }

std::string compareHtml(const Json& result) {
  std::vector<Bar> all;
  for (const Json& one : result["policies"])
    all.push_back({one["policy"].get<std::string>(), one["goodput"]["mean"].get<double>(),
                   one["goodput"]["half"].get<double>(), one["broken"].get<std::uint64_t>() > 0});
  return heading(result, "comparison over " + seedsOf(result)) +
         "<p>Goodput by importance, with its 95% interval; red: rules broken.</p>" + bars(all, 1, "") +
         tableOf(result["policies"], "") + "</section>\n";
}

std::string sweepHtml(const Json& result) {
  std::vector<Bar> all;
  for (const Json& one : result["points"])
    all.push_back({one["value"].get<std::string>() + " (" + one["policy"].get<std::string>() + ")",
                   one["goodput"]["mean"].get<double>(), one["goodput"]["half"].get<double>(),
                   one["broken"].get<std::uint64_t>() > 0});
  const std::string key = result["over"].get<std::string>();
  return heading(result, "sweep over " + key + ", " + seedsOf(result)) + bars(all, 1, "") +
         tableOf(result["points"], escaped(key).c_str()) + "</section>\n";
}

constexpr const char* kStyle = R"(
body { font: 15px/1.45 system-ui, sans-serif; max-width: 900px; margin: 2em auto; padding: 0 1em; color: #1c2430; }
h1 { font-size: 1.5em; } h2 { font-size: 1.2em; margin-top: 2.2em; border-top: 1px solid #d5dbe3; padding-top: 1em; }
h3 { font-size: 1em; margin: 1.4em 0 .3em; } h3.broken { color: #b3261e; }
table { border-collapse: collapse; font-size: 13px; font-variant-numeric: tabular-nums; }
td, th { padding: .25em .7em; text-align: right; border-bottom: 1px solid #e6eaf0; }
td:first-child, th:first-child { text-align: left; }
svg { width: 100%; height: auto; } svg text { font: 11px system-ui, sans-serif; fill: #4a5666; }
polyline { fill: none; stroke-width: 1.6; } .asked { stroke: #9aa5b4; } .served { stroke: #1e7d4f; } .ejected { stroke: #b3261e; }
.axis { stroke: #4a5666; } .grid { stroke: #dfe4ea; } .whisker { stroke: #1c2430; stroke-width: 1.5; }
.bar { fill: #3f7fbf; } .bad, .down { fill: #c9463d; } .load { fill: #1f4e79; }
pre { background: #f5f7fa; padding: .7em; overflow-x: auto; font-size: 12px; }
)";

}  // namespace

std::string reportHtml(const std::vector<Json>& results) {
  std::string page = std::string(
                         "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'><title>rackroute "
                         "lab</title><style>") +
                     kStyle + "</style></head><body><h1>rackroute lab</h1>\n";
  for (const Json& result : results) {
    if (!result.is_object() || result.value("format", 0) != 1)
      throw std::runtime_error("not a result file of rackroute-lab");
    const std::string kind = result.value("kind", "run");
    page += kind == "compare" ? compareHtml(result) : kind == "sweep" ? sweepHtml(result) : runHtml(result);
  }
  return page + "</body></html>\n";
}

}  // namespace rackroute::lab
