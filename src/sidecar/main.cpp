// Starts the sidecar from what it is told, and ends it when asked. It owns the parts and their order, and
// turns signals into calls: TERM and INT stop it, USR1 prints the counters. It must never start half told.

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>

#include "sidecar/client_side.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/exchange.hpp"
#include "sidecar/log.hpp"
#include "sidecar/loop.hpp"
#include "sidecar/server_side.hpp"
#include "terms/told.hpp"

namespace rackroute::sidecar {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

int signalEnds[2] = {-1, -1};

void onSignal(int number) {
  const char byte = static_cast<char>(number);
  [[maybe_unused]] const auto written = ::write(signalEnds[1], &byte, 1);
}

/// Signals as bytes on a socket, so that they come in a turn of the loop like all else.
class Signals {
 public:
  Signals(Loop& loop, std::function<void()> stop) : loop_(loop), stop_(std::move(stop)) {
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, signalEnds) != 0)
      throw std::runtime_error("no socket for signals");
    socket_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(signalEnds[0]));
    socket_.setBlocking(false);
    loop_.addEventHandler(socket_,
                          Poco::Observer<Signals, Poco::Net::ReadableNotification>(*this, &Signals::read));
    struct sigaction action {};
    action.sa_handler = onSignal;
    action.sa_flags = SA_RESTART;
    for (const int number : {SIGTERM, SIGINT, SIGUSR1}) ::sigaction(number, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
  }

 private:
  void read(Poco::Net::ReadableNotification* event) {
    event->release();
    loop_.guarded([this] {
      char number = 0;
      if (socket_.receiveBytes(&number, 1) != 1) return;
      if (number != SIGUSR1) return stop_();
      std::ostringstream text;
      loop_.counters.print(text);
      Line(Level::asked) << text.str();
    });
  }

  Loop& loop_;
  std::function<void()> stop_;
  Poco::Net::StreamSocket socket_;
};

void flatten(const std::string& path, const Var& value, told::Pairs& pairs) {
  if (value.isEmpty()) return;
  if (value.type() == typeid(Object::Ptr)) {
    for (const auto& [name, inner] : *value.extract<Object::Ptr>())
      flatten(path.empty() ? name : path + '.' + name, inner, pairs);
  } else if (value.type() == typeid(Array::Ptr)) {
    const auto& list = *value.extract<Array::Ptr>();
    pairs[path + ".count"] = std::to_string(list.size());
    for (std::size_t i = 0; i < list.size(); ++i)
      flatten(path + '.' + std::to_string(i), list.get(static_cast<unsigned>(i)), pairs);
  } else {
    pairs[path] = value.convert<std::string>();
  }
}

Var needed(const Object& document, const std::string& name) {
  const Var value = document.get(name);
  if (value.isEmpty()) throw std::runtime_error("the configuration lacks " + name);
  return value;
}

int run() {
  if (const char* level = std::getenv("RACKROUTE_LOG"); level != nullptr && !setLevel(level))
    throw std::runtime_error("RACKROUTE_LOG is not a level: " + std::string(level));
  const char* const path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw std::runtime_error("LB_CONFIG is not set");
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(std::string("cannot read ") + path);
  const auto document = Poco::JSON::Parser().parse(text.str()).extract<Object::Ptr>();

  const auto seedText = needed(*document, "seed").convert<std::string>();
  std::uint64_t seed = 0;
  const auto read = std::from_chars(seedText.data(), seedText.data() + seedText.size(), seed, 16);
  if (read.ec != std::errc{} || read.ptr != seedText.data() + seedText.size())
    told::malformed("seed", seedText);
  told::Pairs pairs;
  flatten("", needed(*document, "settings"), pairs);
  told::Told told(seed, pairs);
  told.terms.discoveryOnRequest = true;  // here discovery only ever answers

  // Guards against more descriptors than the machine is given: the system itself then says no.
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  const auto limits = document->getObject("limits");
  if (limits)
    descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_cur, limits->optValue("sockets", 1024U));
  ::setrlimit(RLIMIT_NOFILE, &descriptors);

  Loop loop;
  Exchange exchange(loop);
  ClientSide clients(loop, exchange, told);
  ServerSide servers(loop, exchange, told);
  std::uint64_t index = 0;
  Listed known = readList(needed(*document, "known"), told.zones, loop, index);
  known.listing = Listing::persisted;
  Discovery discovery(loop, exchange, told.zones,
                      numericAddress(needed(*document, "discovery").convert<std::string>()), index);
  const Signals signals(loop, [&] {
    Line(Level::info) << "stopping";
    clients.stop([&] { loop.stop(); });
  });
  const auto listen = needed(*document, "listen").convert<std::string>();
  clients.listen(numericAddress(listen));
  exchange.start(told, clients, servers, discovery, known);
  Line(Level::info) << "listening name=" << document->optValue<std::string>("name", "-")
                    << " address=" << listen << " servers=" << known.servers.size();
  loop.run();

  std::ostringstream counters;
  loop.counters.print(counters);
  Line(Level::info) << counters.str();
  Line(Level::info) << "stopped";
  return 0;
}

}  // namespace
}  // namespace rackroute::sidecar

int main() {
  try {
    return rackroute::sidecar::run();
  } catch (const Poco::Exception& error) {
    std::cerr << "rackroute: " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "rackroute: " << error.what() << '\n';
  }
  return 1;
}
