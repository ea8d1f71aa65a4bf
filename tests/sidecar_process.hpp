#pragma once

// Runs the sidecar as a child process. The tests play its clients, servers and discovery service by hand on
// loopback sockets.

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/TemporaryFile.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

namespace rackroute::program {

inline const Poco::Timespan kTimeout(20, 0);  // also sufficient with sanitizers

/// An unused address. It is on a loopback address specific to this test process, so that outgoing connections
/// of tests running in parallel cannot take the port before the program binds it.
inline SocketAddress unusedAddress() {
  const auto id = static_cast<unsigned>(::getpid());
  const std::string own =
      "127." + std::to_string(100 + id / 256 % 100) + '.' + std::to_string(id % 256) + ".1";
  return ServerSocket(SocketAddress(own, 0)).address();
}

/// The remote end of one of the sidecar's connections.
class Peer {
 public:
  explicit Peer(const StreamSocket& socket) : socket_(socket) { socket_.setReceiveTimeout(kTimeout); }
  void send(const std::string& text) { socket_.sendBytes(text.data(), static_cast<int>(text.size())); }
  /// Reads up to and including this text; fails if it does not arrive.
  std::string readUntil(const std::string& end) {
    while (in_.find(end) == std::string::npos) REQUIRE(receiveMore());
    return takeInput(in_.find(end) + end.size());
  }
  /// Reads one message with Content-Length.
  std::string readMessage() {
    std::string head = readUntil("\r\n\r\n");
    const std::size_t at = head.find("Content-Length: ");
    const std::size_t size = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
    while (in_.size() < size) REQUIRE(receiveMore());
    return head + takeInput(size);
  }
  /// Reads and discards so many bytes; returns how many arrived before the connection ended.
  std::size_t discard(std::size_t size) {
    std::size_t all = in_.size();
    in_.clear();
    try {
      while (all < size && receiveMore()) all += std::exchange(in_, {}).size();
    } catch (const Poco::Net::NetException&) {
    }
    return all;
  }
  /// Sends until the peer accepts no more for a while; returns the number of bytes sent.
  std::size_t sendUntilBlocked(const std::string& text, std::size_t limit) {
    std::size_t all = 0;
    while (all < limit && socket_.poll(Poco::Timespan(0, 700000), StreamSocket::SELECT_WRITE))
      all += static_cast<std::size_t>(
          socket_.sendBytes(text.data(), static_cast<int>(text.size()), MSG_DONTWAIT));
    return all;
  }
  /// Whether the sidecar closes the connection without sending more.
  bool closedByPeer() {
    try {
      return in_.empty() && !receiveMore();
    } catch (const Poco::Net::NetException&) {
      return true;
    }
  }
  /// Whether nothing arrives for a short while.
  [[nodiscard]] bool staysSilent() {
    return in_.empty() && !socket_.poll(Poco::Timespan(0, 200000), StreamSocket::SELECT_READ);
  }
  void close() { socket_.close(); }
  void reset() {
    socket_.setLinger(true, 0);
    socket_.close();
  }

 private:
  bool receiveMore() {
    char bytes[4096];
    const int size = socket_.receiveBytes(bytes, sizeof bytes);
    if (size > 0) in_.append(bytes, static_cast<std::size_t>(size));
    return size > 0;
  }
  std::string takeInput(std::size_t size) {
    std::string first = in_.substr(0, size);
    in_.erase(0, size);
    return first;
  }
  StreamSocket socket_;
  std::string in_;
};

inline Peer accept(ServerSocket& listener) {
  REQUIRE(listener.poll(kTimeout, StreamSocket::SELECT_READ));
  return Peer(listener.acceptConnection());
}

inline std::string endpointEntry(const std::string& name, const ServerSocket& at,
                                 const std::string& status = "up") {
  return R"({"name":")" + name + R"(","address":")" + at.address().toString() +
         R"(","zone":"a","type":"m","group":0,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
}

inline std::string chunk(const std::string& data) {
  std::ostringstream size;
  size << std::hex << data.size();
  return size.str() + "\r\n" + data + "\r\n";
}

/// The sidecar process with its servers, discovery service and configuration.
class Sidecar {
 public:
  ServerSocket discovery{SocketAddress("127.0.0.1", 0)};
  std::vector<ServerSocket> servers;
  SocketAddress address = unusedAddress();
  std::string bounds = R"("conn_idle_ms":60000)";
  std::string descriptorLimit = "256";
  std::string extraConfig;  // appended to the configuration
  Poco::Process::Env environment;

  explicit Sidecar(std::size_t count = 2) {
    for (std::size_t i = 0; i < count; ++i) servers.emplace_back(SocketAddress("127.0.0.1", 0));
  }
  ~Sidecar() {
    if (!process_) return;
    signal(SIGKILL);
    waitForExit();
  }
  std::string configuration() {
    std::string list;
    for (std::size_t i = 0; i < servers.size(); ++i)
      list.append(i == 0 ? "" : ",")
          .append(endpointEntry(std::string("s-").append(std::to_string(i)), servers[i]));
    return R"({"name":"n0","listen":")" + address.toString() + R"(","discovery":")" +
           discovery.address().toString() + R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" +
           descriptorLimit + R"(},"known":{"index":41,"snapshot":true,"endpoints":[)" + list +
           R"(]},"settings":{"locality":"a","granularity_ms":5.0,"registry_mode":"on_request","use_cases":[
           {"name":"read","effect":"retryable","group":"all","slo_time_ms":400.0},
           {"name":"pay","effect":"fragile","group":"all","slo_time_ms":400.0},
           {"name":"book","effect":"dedup","group":"zone","window_ms":2000.0,"slo_time_ms":400.0}],
           "bounds":{"max_executions":4,"dial_timeout_ms":250.0,"retry_after":true,"max_retry_after_ms":1500.0,)" +
           bounds + R"(},"rules":{"drain_grace_ms":500.0}})" + extraConfig + "}";
  }
  void writeConfig(const std::string& config) { std::ofstream(file_.path()) << config; }
  void launch(const std::string& config, bool setVariable = true) {
    writeConfig(config);
    Poco::Process::Env env = environment;
    env["LB_CONFIG"] = setVariable ? file_.path() : "";
    env["RACKROUTE_LOG"] = "debug";
    process_ = Poco::Process::launch(RACKROUTE_PROGRAM, {}, nullptr, nullptr, &errors_, env);
  }
  Sidecar& start() { return start(configuration()); }
  Sidecar& start(const std::string& config) {
    launch(config);
    for (int tries = 0; tries < 400; ++tries) {
      std::this_thread::sleep_for(20ms);
      try {
        Peer client = connect();
        client.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n");
        REQUIRE(client.readMessage().find("HTTP/1.1 200 ") == 0);
        return *this;
      } catch (const Poco::Net::NetException&) {
        continue;  // not yet listening
      }
    }
    FAIL("the sidecar did not start serving");
    return *this;
  }
  Peer connect() { return Peer(StreamSocket(address)); }
  /// Accepts the next connection to any server; `index` receives which.
  Peer acceptServer(std::size_t* index = nullptr) {
    for (int tries = 0; tries < 4000; ++tries) {
      for (std::size_t i = 0; i < servers.size(); ++i) {
        if (!servers[i].poll(Poco::Timespan(0, 2000), StreamSocket::SELECT_READ)) continue;
        if (index != nullptr) *index = i;
        return Peer(servers[i].acceptConnection());
      }
    }
    FAIL("the sidecar connected to no server");
    return connect();
  }
  bool noServerDialled() {
    std::this_thread::sleep_for(100ms);
    for (ServerSocket& server : servers) {
      if (server.poll(Poco::Timespan(0), StreamSocket::SELECT_READ)) return false;
    }
    return true;
  }
  void signal(int number) { ::kill(process_->id(), number); }
  /// Returns the exit code, or -1 if the process does not exit by itself within 20 s.
  int waitForExit() {
    const int id = std::exchange(process_, std::nullopt)->id();
    int status = 0;
    for (int tries = 0; tries < 1000; ++tries) {
      if (::waitpid(id, &status, WNOHANG) == id) return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      std::this_thread::sleep_for(20ms);
    }
    ::kill(id, SIGKILL);
    ::waitpid(id, &status, 0);
    return -1;
  }
  /// The complete log; may be called once, after the process has exited.
  std::string log() {
    errors_.close(Poco::Pipe::CLOSE_WRITE);
    Poco::PipeInputStream stream(errors_);
    return {std::istreambuf_iterator<char>(stream), {}};
  }

 private:
  Poco::TemporaryFile file_;
  Poco::Pipe errors_;
  std::optional<Poco::ProcessHandle> process_;
};

inline std::string query(const std::string& useCase, const std::string& fields = "",
                         const std::string& deadline = "2000") {
  static int count = 0;
  const std::string head = "/" + useCase + "/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Request-Id: 9b1f" +
                           std::to_string(++count) + "\r\nX-Class: " + useCase +
                           "\r\nX-Deadline-Ms: " + deadline + "\r\n" + fields;
  return useCase == "read" ? "GET " + head + "\r\n" : "POST " + head + "Content-Length: 4\r\n\r\nbody";
}

inline std::string okResponse(const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace rackroute::program
