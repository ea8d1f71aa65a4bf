// rackroute-check: reads a configuration from a file or from a running mesh, and checks and explains it. Exit
// codes: 0 valid, 1 unreadable, 2 invalid or no route, 3 valid with warnings.

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

constexpr int kExitOk = 0;
constexpr int kExitUnreadable = 1;
constexpr int kExitInvalid = 2;
constexpr int kExitWarnings = 3;
constexpr int kHttpTimeoutSeconds = 5;

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string fetchConfiguration(const std::string& address) {
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  session.setTimeout(Poco::Timespan(kHttpTimeoutSeconds, 0));
  Poco::Net::HTTPRequest request("GET", "/rackroute/config", "HTTP/1.1");
  session.sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::istream& body = session.receiveResponse(response);
  const std::string text{std::istreambuf_iterator<char>(body), std::istreambuf_iterator<char>()};
  if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    throw std::runtime_error(address + ": responded with status " + std::to_string(response.getStatus()) +
                             ' ' + text);
  return text;
}

Items itemsOf(const std::vector<Item>& list) {
  Items items;
  for (const Item& item : list) items.merge(item);
  return items;
}

int printFindings(const std::vector<Finding>& findings, bool asJson) {
  static constexpr const char* kNames[] = {"", "doubtful", "wrong"};
  Severity highest = Severity::info;
  json all = json::array();
  for (const Finding& finding : findings) {
    highest = std::max(highest, finding.severity);
    if (asJson) {
      all.push_back({{"item", finding.item},
                     {"what", finding.what},
                     {"weighs", kNames[static_cast<int>(finding.severity)]}});
    } else {
      std::cout << (finding.severity == Severity::info      ? "  "
                    : finding.severity == Severity::warning ? "? "
                                                            : "! ")
                << finding.item << ' ' << finding.what << '\n';
    }
  }
  if (asJson) std::cout << all.dump(1) << '\n';
  return highest == Severity::error ? kExitInvalid : highest == Severity::warning ? kExitWarnings : kExitOk;
}

int run(int count, char** arguments) {
  CLI::App app("Checks and explains configurations of a rackroute mesh.", "rackroute-check");
  app.set_version_flag("--version", kVersionText);
  app.require_subcommand(1);
  std::string file;
  std::string address;
  std::string changeFile;
  std::string host;
  std::string path;
  bool asJson = false;
  app.add_flag("--json", asJson, "Print JSON");
  app.fallthrough();
  const auto source = [&](CLI::App* command) {
    auto* group = command->add_option_group("source");
    group->add_option("--file", file, "A change, or a configuration as returned by GET /rackroute/config");
    group->add_option("--from", address,
                      "Address (ip:port) of a control process, for the configuration in force");
    group->require_option(1);
  };
  CLI::App* checkCommand = app.add_subcommand("check", "Report errors and warnings");
  source(checkCommand);
  CLI::App* routeCommand = app.add_subcommand("route", "Explain which route a request takes");
  source(routeCommand);
  routeCommand->add_option("HOST", host)->required();
  routeCommand->add_option("PATH", path)->required();
  CLI::App* changeCommand =
      app.add_subcommand("change", "Describe the effects of a change on a configuration");
  changeCommand->add_option("CHANGE", changeFile, "File with the change")->required();
  source(changeCommand);
  CLI11_PARSE(app, count, arguments);
  const auto configuration =
      parseConfiguration(address.empty() ? readFile(file) : fetchConfiguration(address));
  if (!configuration) {
    std::cerr << (address.empty() ? file : address) << ": " << configuration.error().line() << '\n';
    return kExitInvalid;
  }
  const Items items = itemsOf(configuration.value());
  if (*checkCommand) return printFindings(findIssues(items), asJson);
  if (*changeCommand) {
    const auto change = parseConfiguration(readFile(changeFile));
    if (!change) {
      std::cerr << changeFile << ": " << change.error().line() << '\n';
      return kExitInvalid;
    }
    return printFindings(describeChange(items, change.value()), asJson);
  }
  bool found = false;
  const std::vector<std::string> steps = explainRoute(items, host, path, found);
  if (asJson) std::cout << json(steps).dump(1) << '\n';
  if (!asJson) {
    for (const std::string& step : steps) std::cout << step << '\n';
  }
  return found ? kExitOk : kExitInvalid;
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** arguments) {
  return rackroute::mesh::guardedMain("rackroute-check",
                                      [&] { return rackroute::mesh::run(count, arguments); });
}
