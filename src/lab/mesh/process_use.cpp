#include "lab/mesh/process_use.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace rackroute::lab::mesh {
namespace fs = std::filesystem;

ProcessUse useOf(pid_t id) {
  ProcessUse use;
  const std::string folder = "/proc/" + std::to_string(id);
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  const std::size_t name = line.rfind(')');
  if (name == std::string::npos) return use;
  std::istringstream fields(line.substr(name + 1));
  std::string field;
  for (int i = 0; i < 11; ++i) fields >> field;  // state to cmajflt
  double user = 0;
  double system = 0;
  fields >> user >> system;
  use.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) use.rssMb = std::stod(line.substr(6)) / 1024;
    if (line.rfind("VmHWM:", 0) == 0) use.peakMb = std::stod(line.substr(6)) / 1024;
  }
  std::error_code failed;
  for (auto it = fs::directory_iterator(folder + "/fd", failed); !failed && it != fs::directory_iterator();
       it.increment(failed))
    ++use.descriptors;
  return use;
}

double machineMemoryMb() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::uint64_t raiseDescriptorLimit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace rackroute::lab::mesh
