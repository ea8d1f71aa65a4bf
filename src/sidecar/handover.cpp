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
#include "sidecar/client_side.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/exchange.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using handover::Moment;
using handover::ServerOverride;
using Poco::JSON::Object;

constexpr std::string_view kHello = "rackroute-handover 1";  // the version of all that follows on the channel
constexpr auto kPatience = 1500ms;     // for an old process; a new one has 6 s until it must be ready
constexpr auto kGoesOnWithin = 500ms;  // an old process, after the newer one died that had taken over from it
constexpr auto kAskAgain = 5ms;
constexpr Span kAgreed = 600ms;  // for the other process to keep a word; the operator is owed it in 1 s
constexpr std::size_t kLongestState = 8 << 20;  // bytes; some ten thousand servers
constexpr auto kBackTold = 60s;  // a server put back is a fresh one; above any time that lists are late
constexpr int kBacklog = 4;

/// A listening socket that another process made.
class GivenSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  explicit GivenSocketImpl(int descriptor) { reset(descriptor); }
};
class GivenSocket : public Poco::Net::ServerSocket {
 public:
  explicit GivenSocket(int descriptor) : ServerSocket(new GivenSocketImpl(descriptor), true) {}
};

Poco::Net::StreamSocket stream(int descriptor) {
  return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
}

bool place(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.data(), path.size());
  return true;
}

template <class Address>
const sockaddr* generic(const Address& address) {
  return reinterpret_cast<const sockaddr*>(&address);  // what the system's calls take
}

// Guards against another user's process that would take the clients' address over.
bool ownUser(int descriptor) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

union Rights {  // room for one descriptor, aligned as the system wants it
  cmsghdr header;
  std::array<char, CMSG_SPACE(sizeof(int))> room;
};

/// Whether some process listens there.
bool isServed(const Poco::Net::SocketAddress& address) {
  const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (probe < 0) return false;
  const int yes = 1;  // what is left of ended connections is no listener
  ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const bool taken = ::bind(probe, address.addr(), address.length()) != 0 && errno == EADDRINUSE;
  ::close(probe);
  return taken;
}

bool sendDescriptor(int channel, int descriptor) {
  char byte = 'L';
  iovec piece{&byte, 1};
  Rights rights{};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = rights.room.data();
  message.msg_controllen = rights.room.size();
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
  Rights rights{};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = rights.room.data();
  message.msg_controllen = rights.room.size();
  if (::recvmsg(channel, &message, MSG_CMSG_CLOEXEC) != 1 || byte != 'L') return -1;
  const cmsghdr* const header = CMSG_FIRSTHDR(&message);
  if (header == nullptr || header->cmsg_type != SCM_RIGHTS) return -1;
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  return descriptor;
}

bool comes(int channel, std::chrono::steady_clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
  pollfd one{channel, POLLIN, 0};
  return left > 0ms && ::poll(&one, 1, static_cast<int>(left.count())) == 1;
}

/// The old process's answer: the descriptor, then one line. Throws what is wrong with it.
Inherited readAnswer(int channel) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  if (!comes(channel, until)) throw std::runtime_error("it says nothing");
  const int listener = receiveDescriptor(channel);
  if (listener < 0) throw std::runtime_error("it gives no listening socket");
  Inherited made{GivenSocket(listener), nullptr};
  std::string line;
  std::array<char, 4096> bytes{};
  while (line.empty() || line.back() != '\n') {
    if (!comes(channel, until)) throw std::runtime_error("its state does not come whole");
    const auto size = ::recv(channel, bytes.data(), bytes.size(), 0);
    if (size <= 0 || line.size() > kLongestState) throw std::runtime_error("its state ends");
    line.append(bytes.data(), static_cast<std::size_t>(size));
  }
  made.state = Poco::JSON::Parser().parse(line).extract<Object::Ptr>();
  return made;
}

}  // namespace

/// The channel to the other process: one line a word.
class HandoverPeer : public Connection {
 public:
  HandoverPeer(Handover& handover, Poco::Net::StreamSocket socket)
      : Connection(handover.loop_, "handover", std::move(socket), "-"), handover_(handover) {
    local_ = true;
  }
  void start() {
    open();
    readNow();
  }
  void say(const std::string& line) {
    http::GatherBuffer pieces;
    pieces.text(line + '\n');
    send(std::move(pieces));
  }
  bool give(const Poco::Net::ServerSocket& listener) {
    return sendDescriptor(descriptor(), listener.impl()->sockfd());
  }
  std::set<std::uint64_t> owed;  // turns of words that it has not kept yet

 protected:
  void received() override {
    for (std::size_t end; !ended() && (end = in_.find('\n')) != std::string::npos;) {
      const std::string line = in_.substr(0, end);
      in_.erase(0, end + 1);
      ++messages_;
      if (!read(line)) return this->end(Reason::badMessage);
    }
    if (in_.size() > 4096) end(Reason::badMessage);
  }
  void gone(Reason) override { handover_.ended(*this); }

 private:
  bool read(std::string_view line) {
    if (line == kHello) return handover_.inherit(*this), true;
    if (line == "ready") return handover_.yieldTo(*this), true;
    const std::size_t space = line.find(' ');
    std::uint64_t turn = 0;
    if (space == std::string_view::npos) return false;
    const std::string_view rest = line.substr(space + 1);
    const auto number = std::from_chars(rest.data(), rest.data() + rest.size(), turn);
    if (number.ec != std::errc{}) return false;
    if (line.substr(0, space) == "kept") {
      if (owed.erase(turn) > 0) handover_.kept(turn);
      return true;
    }
    ServerId server;
    ServerOverride word;
    if (line.substr(0, space) != "keep" || number.ptr == rest.data() + rest.size() ||
        !handover::parseOverride({number.ptr + 1, rest.data() + rest.size()}, server, word))
      return false;
    handover_.apply(server, word);
    say("kept " + std::to_string(turn));
    return true;
  }

  Handover& handover_;
};

Handover::Handover(Loop& loop, std::string folder, const std::string& listen)
    : loop_(loop), clientsAddress_(numericAddress(listen)) {
  sockaddr_un address{};
  if (folder.empty()) return;
  path_ = std::move(folder) + "/rackroute-" + listen;
  if (place(path_ + ".new", address)) return;
  Line(Level::warning) << "no_handover what=\"the path is too long\"";
  path_.clear();
}

Handover::~Handover() = default;

std::optional<Poco::Net::StreamSocket> Handover::dial() const {
  sockaddr_un address{};
  if (path_.empty() || !place(path_, address)) return std::nullopt;
  const auto until = std::chrono::steady_clock::now() + kGoesOnWithin;
  for (;;) {
    const int channel = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (channel < 0) return std::nullopt;
    Poco::Net::StreamSocket socket = stream(channel);
    socket.setBlocking(false);  // a full queue at an old process that hangs must not hold this one
    if (::connect(channel, generic(address), sizeof address) == 0)
      return ownUser(channel) ? std::optional(socket) : std::nullopt;
    // Guards against a start in the moment in which a newer process has died: the name is the dead one's
    // until the old process, which still serves, has noticed.
    const bool old = errno == ECONNREFUSED && isServed(clientsAddress_);
    if (!old || std::chrono::steady_clock::now() >= until) return std::nullopt;
    std::this_thread::sleep_for(kAskAgain);
  }
}

std::optional<Inherited> Handover::ask() {
  std::optional<Poco::Net::StreamSocket> dialled = dial();
  if (!dialled) return std::nullopt;
  Poco::Net::StreamSocket& socket = *dialled;
  const int channel = socket.impl()->sockfd();
  socket.setBlocking(true);
  // Guards against an old process that hangs or speaks another version: this one then starts from what its
  // configuration says.
  try {
    const std::string hello = std::string(kHello) + '\n';
    socket.sendBytes(hello.data(), static_cast<int>(hello.size()));
    Inherited made = readAnswer(channel);
    socket.setBlocking(false);
    asked_ = socket;
    return made;
  } catch (const Poco::Exception& error) {
    Line(Level::warning) << "no_handover what=\"" << error.displayText() << '"';
  } catch (const std::exception& error) {
    Line(Level::warning) << "no_handover what=\"" << error.what() << '"';
  }
  return std::nullopt;
}

void Handover::start(Exchange& exchange, ClientSide& clients, Discovery& discovery,
                     std::function<void()> ready, std::function<void()> shared) {
  exchange_ = &exchange;
  clients_ = &clients;
  discovery_ = &discovery;
  shared_ = std::move(shared);
  if (path_.empty()) return ready();
  if (std::ifstream file(path_ + ".said"); file) {
    std::ostringstream text;
    text << file.rdbuf();
    if (const auto read = handover::ServerOverrides::parse(text.str())) {
      for (const auto& [server, word] : read->all()) {
        // One put back lately was away, which this process has not seen.
        if (!word.disabled) apply(server, {true, word.at});
        apply(server, word);
      }
    } else {
      Line(Level::warning) << "no_handover what=\"the file of servers out by hand can't be read\"";
    }
  }
  listen();
  if (!asked_) return ready();
  const auto made = std::make_shared<HandoverPeer>(*this, *asked_);
  asked_.reset();
  peers_.emplace(made.get(), made);
  shared_();
  made->start();
  if (made->ended()) return ready();
  made->say("ready");
  // The yes waits until the old process has stepped back, but not for one that hangs.
  made->owed.insert(0);
  Waiting& waiting = waiting_[0];
  waiting.missing = 1;
  waiting.all = std::move(ready);
  waiting.timer = loop_.in(kAgreed, [this] {
    waiting_[0].missing = 1;
    kept(0);
  });
}

void Handover::listen() {
  sockaddr_un address{};
  const std::string made = path_ + ".new";
  ::unlink(made.c_str());
  const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  // One after the other: bound, listening, and only then under the name that others look for.
  if (descriptor < 0 || !place(made, address) || ::bind(descriptor, generic(address), sizeof address) != 0 ||
      ::chmod(made.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(descriptor, kBacklog) != 0 ||
      std::rename(made.c_str(), path_.c_str()) != 0) {
    Line(Level::warning) << "no_handover what=\"" << std::strerror(errno) << '"';
    if (descriptor >= 0) ::close(descriptor);
    return;
  }
  listener_ = std::make_unique<GivenSocket>(descriptor);
  loop_.addEventHandler(*listener_,
                        Poco::Observer<Handover, Poco::Net::ReadableNotification>(*this, &Handover::accept));
}

void Handover::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.guarded([this] {
    if (!listener_) return;
    const int descriptor =
        ::accept4(listener_->impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    const Poco::Net::StreamSocket socket = stream(descriptor);
    if (!ownUser(descriptor) || stopped_) return;
    const auto made = std::make_shared<HandoverPeer>(*this, socket);
    peers_.emplace(made.get(), made);
    made->start();
  });
}

// A new process asks for what it is to go on with.
void Handover::inherit(HandoverPeer& peer) {
  if (stopped_ || !peer.give(clients_->listener())) return peer.end(Reason::refused);
  peer.say(state());
  Line(Level::info) << "handover asked";
  shared_();
}

void Handover::yieldTo(HandoverPeer& peer) {
  Line(Level::info) << "handover ready";
  successor_ = &peer;
  if (listener_) {
    loop_.removeEventHandler(
        *listener_, Poco::Observer<Handover, Poco::Net::ReadableNotification>(*this, &Handover::accept));
    listener_.reset();
  }
  clients_->yield(true);
  if (fleetYields_) fleetYields_(true);
  peer.say("kept 0");
}

// Guards against a new process that dies, before it was ready or after: this one goes on as before.
void Handover::ended(HandoverPeer& peer) {
  const bool succeeded = std::exchange(successor_, successor_ == &peer ? nullptr : successor_) == &peer;
  const auto owed = std::exchange(peer.owed, {});
  peers_.erase(&peer);
  for (const std::uint64_t turn : owed) kept(turn);
  shared_();
  if (!succeeded || stopped_) return;
  clients_->yield(false);
  if (fleetYields_) fleetYields_(false);
  listen();
}

void Handover::say(ServerId server, bool out, std::function<void(bool)> said) {
  const ServerOverride word{out,
                            std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())};
  apply(server, word);
  if (!remember()) return said(false);
  if (peers_.empty()) return said(true);
  const std::uint64_t turn = ++lastTurn_;
  Waiting& waiting = waiting_[turn];
  waiting.missing = peers_.size();
  waiting.all = [said = std::move(said)] { said(true); };
  // Guards against another process that hangs: it reads the file, or is killed.
  waiting.timer = loop_.in(kAgreed, [this, turn] {
    waiting_[turn].missing = 1;
    kept(turn);
  });
  const auto peers = peers_;
  for (const auto& [at, peer] : peers) {
    peer->owed.insert(turn);
    peer->say("keep " + std::to_string(turn) + ' ' + handover::formatOverride(server, word));
  }
}

void Handover::kept(std::uint64_t turn) {
  const auto at = waiting_.find(turn);
  if (at == waiting_.end() || --at->second.missing > 0) return;
  loop_.cancel(at->second.timer);
  const auto all = std::move(at->second.all);
  waiting_.erase(at);
  all();
}

void Handover::apply(ServerId server, ServerOverride word) {
  if (!said_.record(server, word)) Line(Level::warning) << "too many servers out by hand";
  exchange_->learn(server);
  if (word.disabled) return exchange_->takeOut(server);
  exchange_->putBack(server, loop_.sinceStart(word.at));
}

bool Handover::remember() {
  said_.dropEnabledBefore(std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()) -
                          kBackTold);
  if (path_.empty()) return true;
  const std::string made = path_ + ".said.new";
  std::ofstream file(made, std::ios::trunc);
  file << said_.text() << std::flush;
  if (file && std::rename(made.c_str(), (path_ + ".said").c_str()) == 0) return true;
  Line(Level::warning) << "no_handover what=\"servers out by hand can't be written\"";
  return false;
}

std::string Handover::state() const {
  Object::Ptr state = new Object;
  state->set("list", discovery_->state());
  Poco::JSON::Array::Ptr ever = new Poco::JSON::Array;
  for (const ServerId server : exchange_->everListed()) ever->add(std::to_string(server.value));
  state->set("ever", ever);
  state->set("learned", handover::formatSnapshot(exchange_->learned()));
  if (fleetState_) state->set("fleet", fleetState_());
  std::ostringstream text;
  state->stringify(text);
  return text.str();
}

void Handover::stop() {
  stopped_ = true;
  if (path_.empty() || !peers_.empty()) return;  // the name is the other's
  ::unlink(path_.c_str());
}

}  // namespace rackroute::sidecar
