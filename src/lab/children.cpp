#include "lab/children.hpp"

#include <Poco/TemporaryFile.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace rackroute::lab {
namespace {

using namespace std::chrono_literals;

constexpr auto kShutdownTimeout = 5s;  // from SIGTERM to SIGKILL
constexpr rlim_t kMaxDescriptors = 16'384;

volatile std::sig_atomic_t interruptRequested = 0;
void breakOff(int) { interruptRequested = 1; }

}  // namespace

void Children::prepare() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, kMaxDescriptors);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGINT, breakOff);
  std::signal(SIGTERM, breakOff);
}

bool Children::interrupted() { return interruptRequested != 0; }

Children::Children(std::size_t places) : children_(places) {}

Children::~Children() {
  for (const Child& child : children_) {
    if (child.id > 0) ::kill(child.id, SIGCONT);
    if (child.id > 0) ::kill(child.id, SIGTERM);
  }
  const auto last = std::chrono::steady_clock::now() + kShutdownTimeout;
  for (Child& child : children_) {
    while (child.id > 0 && ::waitpid(child.id, nullptr, WNOHANG) == 0) {
      if (std::chrono::steady_clock::now() > last) ::kill(child.id, SIGKILL);
      std::this_thread::sleep_for(5ms);
    }
    child.id = 0;
  }
}

void Children::start(std::size_t place, const Start& how) {
  Child& child = children_[place];
  reap(child);
  // A process that is still shutting down would keep the address in use.
  if (child.id > 0) ::kill(child.id, SIGKILL);
  if (child.id > 0) ::waitpid(child.id, nullptr, 0);
  child.id = 0;
  if (!child.file) child.file = std::make_unique<Poco::TemporaryFile>();
  std::ofstream(child.file->path()) << how.settings;
  std::vector<std::string> words = how.arguments;
  words.insert(words.begin(), how.program);
  std::vector<std::string> variables = how.more;
  variables.push_back(how.variable + '=' + child.file->path());
  std::vector<char*> arguments;
  std::vector<char*> environment;
  for (std::string& word : words) arguments.push_back(word.data());
  for (std::string& variable : variables) environment.push_back(variable.data());
  arguments.push_back(nullptr);
  environment.push_back(nullptr);
  const std::string log = how.log.empty() ? "/dev/null" : how.log;
  const pid_t parent = ::getpid();
  const pid_t id = ::fork();
  if (id < 0) throw std::runtime_error("cannot start a process: fork failed");
  if (id == 0) {
    // Only async-signal-safe calls between fork and exec.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out >= 0) ::dup2(out, STDOUT_FILENO);
    if (out >= 0) ::dup2(out, STDERR_FILENO);
    ::signal(SIGINT, SIG_IGN);
    ::execve(how.program.c_str(), arguments.data(), environment.data());
    ::_exit(1);
  }
  child.id = id;
  child.terminating = false;
}

void Children::signal(std::size_t place, int number) {
  Child& child = children_[place];
  if (child.id <= 0) return;
  ::kill(child.id, number);
  if (number == SIGTERM) child.terminating = true;
  if (number != SIGKILL) return;
  ::waitpid(child.id, nullptr, 0);
  child.id = 0;
}

bool Children::reap(Child& child) {
  if (child.id <= 0 || ::waitpid(child.id, nullptr, WNOHANG) != child.id) return false;
  child.id = 0;
  return true;
}

std::vector<std::size_t> Children::takeUnexpectedExits() {
  std::vector<std::size_t> ended;
  for (std::size_t place = 0; place < children_.size(); ++place) {
    if (reap(children_[place]) && !children_[place].terminating) ended.push_back(place);
  }
  return ended;
}

bool Children::gone(std::size_t place) {
  reap(children_[place]);
  return children_[place].id == 0;
}

}  // namespace rackroute::lab
