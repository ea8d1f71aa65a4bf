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

constexpr const char* kUsualPlace = "/etc/rackroute/node.json";

}  // namespace

std::string settingsPath(const std::string& given) {
  if (!given.empty()) return given;
  const char* told = std::getenv("RACKROUTE_CONFIG");
  return told != nullptr && *told != '\0' ? told : kUsualPlace;
}

Result<Settings> readSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return failure("settings", "can't be read", path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  Result<Settings> settings = readSettings(text);
  if (!settings) {
    Error wrong = settings.error();
    wrong.peer = path;
    return wrong;
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
  // Guards against word of new settings that comes before its handler is there, and would end the process.
  // The program reads the settings anew once it is.
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
