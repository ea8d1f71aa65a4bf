#include "sidecar/handover.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "handover/snapshot_text.hpp"
#include "sidecar/client_listener.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/dispatcher.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using handover::Moment;
using handover::ServerOverride;
using Poco::JSON::Object;

constexpr std::string_view kHello = "rackroute-handover 1";  // protocol name and version
constexpr auto kStateTimeout = 1500ms;
constexpr auto kDialRetryTime = 500ms;  // for the old process to listen again after its successor died
constexpr auto kDialRetryInterval = 5ms;
constexpr Span kAcknowledgeTimeout = 600ms;  // operators expect a reply within 1 s
constexpr std::size_t kMaxStateBytes = 8 << 20;
constexpr auto kEnabledRetention = 60s;  // how long records of enabled servers are kept
constexpr int kListenBacklog = 4;

/// A listening socket created by another process.
class InheritedSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  explicit InheritedSocketImpl(int descriptor) { reset(descriptor); }
};
class InheritedSocket : public Poco::Net::ServerSocket {
 public:
  explicit InheritedSocket(int descriptor) : ServerSocket(new InheritedSocketImpl(descriptor), true) {}
};

Poco::Net::StreamSocket stream(int descriptor) {
  return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
}

bool setSocketPath(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.data(), path.size());
  return true;
}

template <class Address>
const sockaddr* sockaddrOf(const Address& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// A process of another user must not take over the clients' address.
bool isSameUser(int descriptor) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

union DescriptorControl {  // control message with room for one descriptor
  cmsghdr header;
  std::array<char, CMSG_SPACE(sizeof(int))> room;
};

/// Whether a process listens on the address.
bool isPortInUse(const Poco::Net::SocketAddress& address) {
  const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (probe < 0) return false;
  const int yes = 1;  // connections in TIME_WAIT do not count
  ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const bool taken = ::bind(probe, address.addr(), address.length()) != 0 && errno == EADDRINUSE;
  ::close(probe);
  return taken;
}

bool sendDescriptor(int channel, int descriptor) {
  char byte = 'L';
  iovec piece{&byte, 1};
  DescriptorControl control{};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = control.room.data();
  message.msg_controllen = control.room.size();
  cmsghdr* const header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  return ::sendmsg(channel, &message, MSG_NOSIGNAL) == 1;
}

int receiveDescriptor(int channel) {
  char byte = 0;
  iovec piece{&byte, 1};
  DescriptorControl control{};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = control.room.data();
  message.msg_controllen = control.room.size();
  if (::recvmsg(channel, &message, MSG_CMSG_CLOEXEC) != 1 || byte != 'L') return -1;
  const cmsghdr* const header = CMSG_FIRSTHDR(&message);
  if (header == nullptr || header->cmsg_type != SCM_RIGHTS) return -1;
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  return descriptor;
}

bool waitReadable(int channel, std::chrono::steady_clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
  pollfd request{channel, POLLIN, 0};
  return left > 0ms && ::poll(&request, 1, static_cast<int>(left.count())) == 1;
}

/// Reads the old process's reply: the descriptor, followed by one line of JSON. Throws if it is malformed.
Inherited receiveState(int channel) {
  const auto deadline = std::chrono::steady_clock::now() + kStateTimeout;
  if (!waitReadable(channel, deadline)) throw std::runtime_error("no reply from the old process");
  const int listener = receiveDescriptor(channel);
  if (listener < 0) throw std::runtime_error("the old process sent no listening socket");
  Inherited result{InheritedSocket(listener), nullptr};
  std::string line;
  std::array<char, 4096> bytes{};
  while (line.empty() || line.back() != '\n') {
    if (!waitReadable(channel, deadline))
      throw std::runtime_error("timed out while receiving the old process's state");
    const auto size = ::recv(channel, bytes.data(), bytes.size(), 0);
    if (size <= 0 || line.size() > kMaxStateBytes)
      throw std::runtime_error("the old process's state is truncated or too long");
    line.append(bytes.data(), static_cast<std::size_t>(size));
  }
  result.state = Poco::JSON::Parser().parse(line).extract<Object::Ptr>();
  return result;
}

}  // namespace

/// The channel to the other process, one message per line.
class HandoverPeer : public Connection {
 public:
  HandoverPeer(Handover& handover, Poco::Net::StreamSocket socket)
      : Connection(handover.loop_, "handover", std::move(socket), "-"), handover_(handover) {
    unixSocket_ = true;
  }
  void start() {
    open();
    readNow();
  }
  void sendLine(const std::string& line) {
    http::GatherBuffer pieces;
    pieces.text(line + '\n');
    send(std::move(pieces));
  }
  bool sendListener(const Poco::Net::ServerSocket& listener) {
    return sendDescriptor(descriptor(), listener.impl()->sockfd());
  }
  std::set<std::uint64_t> pendingAcks;  // sequence numbers

 protected:
  void received() override {
    for (std::size_t end; !ended() && (end = in_.find('\n')) != std::string::npos;) {
      const std::string line = in_.substr(0, end);
      in_.erase(0, end + 1);
      ++messages_;
      if (!handleLine(line)) return this->end(CloseReason::badMessage);
    }
    if (in_.size() > 4096) end(CloseReason::badMessage);
  }
  void closed(CloseReason) override { handover_.peerEnded(*this); }

 private:
  bool handleLine(std::string_view line) {
    if (line == kHello) return handover_.sendState(*this), true;
    if (line == "ready") return handover_.yieldTo(*this), true;
    const std::size_t space = line.find(' ');
    std::uint64_t sequence = 0;
    if (space == std::string_view::npos) return false;
    const std::string_view rest = line.substr(space + 1);
    const auto number = std::from_chars(rest.data(), rest.data() + rest.size(), sequence);
    if (number.ec != std::errc{}) return false;
    if (line.substr(0, space) == "kept") {
      if (pendingAcks.erase(sequence) > 0) handover_.acknowledged(sequence);
      return true;
    }
    ServerId server;
    ServerOverride entry;
    if (line.substr(0, space) != "keep" || number.ptr == rest.data() + rest.size() ||
        !handover::parseOverride({number.ptr + 1, rest.data() + rest.size()}, server, entry))
      return false;
    handover_.apply(server, entry);
    sendLine("kept " + std::to_string(sequence));
    return true;
  }

  Handover& handover_;
};

Handover::Handover(Loop& loop, std::string folder, const std::string& listen)
    : loop_(loop), clientAddress_(numericAddress(listen)) {
  sockaddr_un address{};
  if (folder.empty()) return;
  socketPath_ = std::move(folder) + "/rackroute-" + listen;
  if (setSocketPath(socketPath_ + ".new", address)) return;
  LogLine(Level::warning) << "no_handover what=\"socket path too long\"";
  socketPath_.clear();
}

Handover::~Handover() = default;

std::optional<Poco::Net::StreamSocket> Handover::dial() const {
  sockaddr_un address{};
  if (socketPath_.empty() || !setSocketPath(socketPath_, address)) return std::nullopt;
  const auto deadline = std::chrono::steady_clock::now() + kDialRetryTime;
  for (;;) {
    const int channel = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (channel < 0) return std::nullopt;
    Poco::Net::StreamSocket socket = stream(channel);
    socket.setBlocking(false);  // must not block if an old process hangs with a full queue
    if (::connect(channel, sockaddrOf(address), sizeof address) == 0)
      return isSameUser(channel) ? std::optional(socket) : std::nullopt;
    // If a successor has just died, the path is unserved until the old process notices and listens again.
    const bool oldRunning = errno == ECONNREFUSED && isPortInUse(clientAddress_);
    if (!oldRunning || std::chrono::steady_clock::now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kDialRetryInterval);
  }
}

std::optional<Inherited> Handover::requestState() {
  std::optional<Poco::Net::StreamSocket> channelSocket = dial();
  if (!channelSocket) return std::nullopt;
  Poco::Net::StreamSocket& socket = *channelSocket;
  const int channel = socket.impl()->sockfd();
  socket.setBlocking(true);
  // If the old process hangs or uses another protocol version, this one starts from its configuration.
  try {
    const std::string hello = std::string(kHello) + '\n';
    socket.sendBytes(hello.data(), static_cast<int>(hello.size()));
    Inherited result = receiveState(channel);
    socket.setBlocking(false);
    oldProcess_ = socket;
    return result;
  } catch (const Poco::Exception& error) {
    LogLine(Level::warning) << "no_handover what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    LogLine(Level::warning) << "no_handover what=\"" << error.what() << '"';
  }
  return std::nullopt;
}

void Handover::start(Dispatcher& dispatcher, ClientListener& clients, Discovery& discovery,
                     std::function<void()> ready, std::function<void()> sharedChanged) {
  dispatcher_ = &dispatcher;
  clients_ = &clients;
  discovery_ = &discovery;
  sharedChanged_ = std::move(sharedChanged);
  if (socketPath_.empty()) return ready();
  if (std::ifstream file(socketPath_ + ".said"); file) {
    std::ostringstream text;
    text << file.rdbuf();
    if (const auto read = handover::ServerOverrides::parse(text.str())) {
      for (const auto& [server, entry] : read->all()) {
        // A recently enabled server is disabled first, so that it counts as just started.
        if (!entry.disabled) apply(server, {true, entry.at});
        apply(server, entry);
      }
    } else {
      LogLine(Level::warning) << "no_handover what=\"the file of servers out by hand can't be read\"";
    }
  }
  listen();
  if (!oldProcess_) return ready();
  const auto peer = std::make_shared<HandoverPeer>(*this, *oldProcess_);
  oldProcess_.reset();
  peers_.emplace(peer.get(), peer);
  sharedChanged_();
  peer->start();
  if (peer->ended()) return ready();
  peer->sendLine("ready");
  // Readiness waits until the old process has yielded, or for a bounded time if it hangs.
  peer->pendingAcks.insert(0);
  PendingChange& pending = pendingChanges_[0];
  pending.acksMissing = 1;
  pending.onComplete = std::move(ready);
  pending.timer = loop_.after(kAcknowledgeTimeout, [this] {
    pendingChanges_[0].acksMissing = 1;
    acknowledged(0);
  });
}

void Handover::listen() {
  sockaddr_un address{};
  const std::string temporary = socketPath_ + ".new";
  ::unlink(temporary.c_str());
  const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  // Renamed only once it is listening, so that others never connect to a socket that is not.
  if (descriptor < 0 || !setSocketPath(temporary, address) ||
      ::bind(descriptor, sockaddrOf(address), sizeof address) != 0 ||
      ::chmod(temporary.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(descriptor, kListenBacklog) != 0 ||
      std::rename(temporary.c_str(), socketPath_.c_str()) != 0) {
    LogLine(Level::warning) << "no_handover what=\"" << std::strerror(errno) << '"';
    if (descriptor >= 0) ::close(descriptor);
    return;
  }
  listener_ = std::make_unique<InheritedSocket>(descriptor);
  loop_.addEventHandler(*listener_,
                        Poco::Observer<Handover, Poco::Net::ReadableNotification>(*this, &Handover::accept));
}

void Handover::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] {
    if (!listener_) return;
    const int descriptor =
        ::accept4(listener_->impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    const Poco::Net::StreamSocket socket = stream(descriptor);
    if (!isSameUser(descriptor) || stopped_) return;
    const auto peer = std::make_shared<HandoverPeer>(*this, socket);
    peers_.emplace(peer.get(), peer);
    peer->start();
  });
}

// Sends the listening socket and the state to a new process.
void Handover::sendState(HandoverPeer& peer) {
  if (stopped_ || !peer.sendListener(clients_->listener())) return peer.end(CloseReason::refused);
  peer.sendLine(state());
  LogLine(Level::info) << "handover asked";
  sharedChanged_();
}

void Handover::yieldTo(HandoverPeer& peer) {
  LogLine(Level::info) << "handover ready";
  successor_ = &peer;
  if (listener_) {
    loop_.removeEventHandler(
        *listener_, Poco::Observer<Handover, Poco::Net::ReadableNotification>(*this, &Handover::accept));
    listener_.reset();
  }
  clients_->setYielding(true);
  if (yieldFleet_) yieldFleet_(true);
  peer.sendLine("kept 0");
}

// If the successor dies, before or after it became ready, this process resumes service.
void Handover::peerEnded(HandoverPeer& peer) {
  const bool succeeded = std::exchange(successor_, successor_ == &peer ? nullptr : successor_) == &peer;
  const auto pendingAcks = std::exchange(peer.pendingAcks, {});
  peers_.erase(&peer);
  for (const std::uint64_t sequence : pendingAcks) acknowledged(sequence);
  sharedChanged_();
  if (!succeeded || stopped_) return;
  clients_->setYielding(false);
  if (yieldFleet_) yieldFleet_(false);
  listen();
}

void Handover::setServerDisabled(ServerId server, bool disabled, std::function<void(bool)> done) {
  const ServerOverride entry{disabled,
                             std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())};
  apply(server, entry);
  if (!saveOverrides()) return done(false);
  if (peers_.empty()) return done(true);
  const std::uint64_t sequence = ++lastSequence_;
  PendingChange& pending = pendingChanges_[sequence];
  pending.acksMissing = peers_.size();
  pending.onComplete = [done = std::move(done)] { done(true); };
  // A process that hangs is not waited for; it reads the file when it restarts.
  pending.timer = loop_.after(kAcknowledgeTimeout, [this, sequence] {
    pendingChanges_[sequence].acksMissing = 1;
    acknowledged(sequence);
  });
  const auto peers = peers_;
  for (const auto& [key, peer] : peers) {
    peer->pendingAcks.insert(sequence);
    peer->sendLine("keep " + std::to_string(sequence) + ' ' + handover::formatOverride(server, entry));
  }
}

void Handover::acknowledged(std::uint64_t sequence) {
  const auto at = pendingChanges_.find(sequence);
  if (at == pendingChanges_.end() || --at->second.acksMissing > 0) return;
  loop_.cancel(at->second.timer);
  const auto onComplete = std::move(at->second.onComplete);
  pendingChanges_.erase(at);
  onComplete();
}

void Handover::apply(ServerId server, ServerOverride entry) {
  if (!overrides_.record(server, entry)) LogLine(Level::warning) << "too many servers disabled by hand";
  dispatcher_->recordListed(server);
  if (entry.disabled) return dispatcher_->disableServer(server);
  dispatcher_->enableServer(server, loop_.sinceStart(entry.at));
}

bool Handover::saveOverrides() {
  overrides_.dropEnabledBefore(
      std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()) - kEnabledRetention);
  if (socketPath_.empty()) return true;
  const std::string temporary = socketPath_ + ".said.new";
  std::ofstream file(temporary, std::ios::trunc);
  file << overrides_.text() << std::flush;
  if (file && std::rename(temporary.c_str(), (socketPath_ + ".said").c_str()) == 0) return true;
  LogLine(Level::warning) << "no_handover what=\"cannot write the file of disabled servers\"";
  return false;
}

std::string Handover::state() const {
  Object::Ptr state = new Object;
  state->set("list", discovery_->state());
  Poco::JSON::Array::Ptr everListed = new Poco::JSON::Array;
  for (const ServerId server : dispatcher_->everListed()) everListed->add(std::to_string(server.value));
  state->set("ever", everListed);
  state->set("learned", handover::formatSnapshot(dispatcher_->snapshot()));
  if (fleetState_) state->set("fleet", fleetState_());
  std::ostringstream text;
  state->stringify(text);
  return text.str();
}

void Handover::stop() {
  stopped_ = true;
  if (socketPath_.empty() || !peers_.empty()) return;  // the path belongs to the other process
  ::unlink(socketPath_.c_str());
}

}  // namespace rackroute::sidecar
