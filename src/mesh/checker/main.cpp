// The checker of configurations: reads one, or the one in force from a running mesh, and explains. It owns no
// rule of its own. Exit codes: 0 sound, 1 can't be read, 2 invalid or no route, 3 sound with doubts.

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "mesh/checker/explain.hpp"
#include "mesh/transport/process_start.hpp"

namespace rackroute::mesh {
namespace {

using nlohmann::json;

constexpr int kSound = 0;
constexpr int kUnreadable = 1;
constexpr int kWrong = 2;
constexpr int kDoubtful = 3;
constexpr int kPatience = 5;  // seconds for a running mesh to answer

std::string fileText(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string inForceAt(const std::string& address) {
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  session.setTimeout(Poco::Timespan(kPatience, 0));
  Poco::Net::HTTPRequest request("GET", "/rackroute/config", "HTTP/1.1");
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::istream& body = session.receiveResponse(response);
  const std::string text{std::istreambuf_iterator<char>(body), std::istreambuf_iterator<char>()};
  if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    throw std::runtime_error(address + ": answered " + std::to_string(response.getStatus()) + ' ' + text);
  return text;
}

Items itemsOf(const std::vector<Item>& list) {
  Items items;
  for (const Item& item : list) items.merge(item);
  return items;
}

int tell(const std::vector<Remark>& remarks, bool asJson) {
  static constexpr const char* kNames[] = {"", "doubtful", "wrong"};
  Weighs most = Weighs::plain;
  json all = json::array();
  for (const Remark& remark : remarks) {
    most = std::max(most, remark.weighs);
    if (asJson) {
      all.push_back({{"item", remark.item},
                     {"what", remark.what},
                     {"weighs", kNames[static_cast<int>(remark.weighs)]}});
    } else {
      std::cout << (remark.weighs == Weighs::plain      ? "  "
                    : remark.weighs == Weighs::doubtful ? "? "
                                                        : "! ")
                << remark.item << ' ' << remark.what << '\n';
    }
  }
  if (asJson) std::cout << all.dump(1) << '\n';
  return most == Weighs::wrong ? kWrong : most == Weighs::doubtful ? kDoubtful : kSound;
}

int run(int count, char** words) {
  CLI::App app("Checks and explains configurations of a rackroute mesh.", "rackroute-check");
  app.set_version_flag("--version", kVersionText);
  app.require_subcommand(1);
  std::string file;
  std::string from;
  std::string against;
  std::string host;
  std::string path;
  bool asJson = false;
  app.add_flag("--json", asJson, "for scripts");
  app.fallthrough();
  const auto source = [&](CLI::App* command) {
    auto* group = command->add_option_group("source");
    group->add_option("--file", file, "a change, or all items as they are read back");
    group->add_option("--from", from, "ip:port of a control, for what is in force");
    group->require_option(1);
  };
  CLI::App* checking = app.add_subcommand("check", "what is invalid or doubtful, and why");
  source(checking);
  CLI::App* routing = app.add_subcommand("route", "which route a request takes, and why");
  source(routing);
  routing->add_option("HOST", host)->required();
  routing->add_option("PATH", path)->required();
  CLI::App* comparing = app.add_subcommand("change", "what a change would alter in what is in force");
  comparing->add_option("CHANGE", against, "the file with the change")->required();
  source(comparing);
  CLI11_PARSE(app, count, words);
  const auto read = readPlan(from.empty() ? fileText(file) : inForceAt(from));
  if (!read) {
    std::cerr << (from.empty() ? file : from) << ": " << read.error().line() << '\n';
    return kWrong;
  }
  const Items items = itemsOf(read.value());
  if (*checking) return tell(remarksOn(items), asJson);
  if (*comparing) {
    const auto change = readPlan(fileText(against));
    if (!change) {
      std::cerr << against << ": " << change.error().line() << '\n';
      return kWrong;
    }
    return tell(alterations(items, change.value()), asJson);
  }
  bool found = false;
  const std::vector<std::string> steps = wayOf(items, host, path, found);
  if (asJson) std::cout << json(steps).dump(1) << '\n';
  if (!asJson) {
    for (const std::string& step : steps) std::cout << step << '\n';
  }
  return found ? kSound : kWrong;
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** words) {
  return rackroute::mesh::guardedMain("rackroute-check", [&] { return rackroute::mesh::run(count, words); });
}
