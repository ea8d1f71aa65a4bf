#include "mesh/transport/process_start.hpp"

#include <Poco/Exception.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace rackroute::mesh {
namespace {

constexpr const char* kDefaultPath = "/etc/rackroute/node.json";

}  // namespace

std::string settingsPath(const std::string& given) {
  if (!given.empty()) return given;
  const char* fromEnvironment = std::getenv("RACKROUTE_CONFIG");
  return fromEnvironment != nullptr && *fromEnvironment != '\0' ? fromEnvironment : kDefaultPath;
}

Result<Settings> readSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return failure("settings", "cannot be opened", path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  Result<Settings> settings = readSettings(text);
  if (!settings) {
    Error withPath = settings.error();
    withPath.peer = path;
    return withPath;
  }
  return settings;
}

void limitDescriptors(const Settings& settings) {
  if (settings.descriptors == 0) return;
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, settings.descriptors);
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

int guardedMain(const char* program, const std::function<int()>& body) {
  // A SIGHUP before its handler is installed would end the process. The program reloads the settings once the
  // handler is installed, so ignoring the signal until then loses nothing.
  std::signal(SIGHUP, SIG_IGN);
  try {
    return body();
  } catch (const Poco::Exception& error) {
    std::cerr << program << ": " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << '\n';
  }
  return 1;
}

}  // namespace rackroute::mesh
