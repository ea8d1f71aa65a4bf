#include "lab/fleet/relay.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Observer.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "sidecar/connection.hpp"

namespace rackroute::lab {
namespace {

using Poco::Net::ReadableNotification;
using Poco::Net::SocketAddress;
using sidecar::CloseReason;
using sidecar::Connection;

constexpr std::uint16_t kPort = 7946;
constexpr int kBatchSize = 256;  // datagrams per read event
constexpr int kBacklog = 256;
constexpr std::size_t kLongest = 65536;  // bytes; maximum size of a datagram

}  // namespace

/// One side of a relayed connection.
class RelayLink : public Connection {
 public:
  RelayLink(Relay& relay, Poco::Net::StreamSocket socket, std::uint32_t from, std::uint32_t to,
            std::function<bool()> allowed)
      : Connection(relay.loop_, "relay", std::move(socket), ""),
        relay_(relay),
        from_(from),
        to_(to),
        allowed_(std::move(allowed)) {}
  [[nodiscard]] bool passes() const {
    return allowed_ ? allowed_() : relay_.drillNetwork_.connectDelay(from_, to_).has_value();
  }
  void start() {
    open();
    readNow();
  }
  std::weak_ptr<RelayLink> other;

 protected:
  // Data that arrives during a cut is dropped; the connection stays open but never delivers data again.
  void received() override {
    std::string bytes = std::exchange(in_, {});
    if (!passes()) silent_ = true;
    if (silent_ && allowed_) relay_.lastLoss_[from_] = loop_.now();
    const auto there = other.lock();
    if (silent_ || !there || there->ended()) return;
    if (!allowed_) relay_.sent_(from_, to_, bytes.size());
    if (!allowed_) relay_.received_(from_, to_, bytes.size());
    http::GatherBuffer pieces;
    pieces.text(std::move(bytes));
    there->send(std::move(pieces));
  }
  void closed(CloseReason) override {
    const auto there = other.lock();
    if (there && !silent_) there->finish(CloseReason::done);
    if (there && silent_) there->end(CloseReason::done);
    relay_.links_.erase(this);
  }

 private:
  Relay& relay_;
  std::uint32_t from_;
  std::uint32_t to_;
  std::function<bool()> allowed_;  // set for outside addresses; from and to are then equal
  bool silent_ = false;
};

Relay::Relay(sidecar::Loop& loop, DrillNetwork& drillNetwork, std::uint32_t network, std::uint32_t members,
             std::uint32_t places, TrafficObserver sent, TrafficObserver received)
    : loop_(loop),
      drillNetwork_(drillNetwork),
      network_(network),
      members_(members),
      sent_(std::move(sent)),
      received_(std::move(received)),
      lastLoss_(members, Span::min()) {
  for (std::uint32_t i = 0; i < places; ++i) {
    auto place = std::make_unique<Place>();
    const SocketAddress address(advertisedAddress(i));
    place->datagrams.bind(address, true);
    place->datagrams.setBlocking(false);
    place->listener.bind(address, true, false);
    place->listener.listen(kBacklog);
    place->listener.setBlocking(false);
    watch(place->datagrams, i, Kind::datagrams);
    watch(place->listener, i, Kind::exchanges);
    places_.push_back(std::move(place));
  }
}

void Relay::watch(const Poco::Net::Socket& socket, std::uint32_t place, Kind kind) {
  sockets_[socket.impl()->sockfd()] = {place, kind};
  loop_.addEventHandler(socket, Poco::Observer<Relay, ReadableNotification>(*this, &Relay::readable));
}

Relay::~Relay() {
  const Poco::Observer<Relay, ReadableNotification> readable(*this, &Relay::readable);
  for (const auto& place : places_) {
    loop_.removeEventHandler(place->datagrams, readable);
    loop_.removeEventHandler(place->listener, readable);
  }
  for (const auto& [descriptor, forward] : forwards_) loop_.removeEventHandler(forward->listener, readable);
  const auto links = links_;
  for (const auto& [at, link] : links) link->end(CloseReason::shutdown);
}

std::string Relay::listenAddress(std::uint32_t place, std::uint16_t port) const {
  return std::string("127.") + std::to_string(network_) + ".1." + std::to_string(place + 1) + ':' +
         std::to_string(port);
}

std::string Relay::advertisedAddress(std::uint32_t place) const {
  return std::string("127.") + std::to_string(network_) + ".2." + std::to_string(place + 1) + ':' +
         std::to_string(kPort);
}

void Relay::readable(ReadableNotification* event) {
  const int descriptor = event->socket().impl()->sockfd();
  event->release();
  loop_.runGuarded([this, descriptor] {
    const auto at = sockets_.find(descriptor);
    if (at == sockets_.end()) return;
    const auto [place, kind] = at->second;
    if (kind == Kind::datagrams) return read(place);
    kind == Kind::exchanges ? accept(place) : acceptForward(*forwards_.at(descriptor));
  });
}

void Relay::read(std::uint32_t place) {
  std::string bytes(kLongest, '\0');
  const int descriptor = places_[place]->datagrams.impl()->sockfd();
  for (int i = 0; i < kBatchSize; ++i) {
    sockaddr_in source{};
    socklen_t length = sizeof source;
    const auto size =
        ::recvfrom(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&source),
                   &length);  // required by recvfrom()
    if (size < 0) return;
    const std::uint32_t last = ntohl(source.sin_addr.s_addr) & 0xffU;
    if (last == 0 || last > places_.size()) continue;
    const std::uint32_t from = memberOf(last - 1);
    sent_(from, memberOf(place), static_cast<std::size_t>(size));
    for (const Delivery& delivery : drillNetwork_.deliver(from, memberOf(place))) {
      std::string data = bytes.substr(0, static_cast<std::size_t>(size));
      if (delivery.unknownField) DrillNetwork::addUnknownField(data);
      if (delivery.corrupted) drillNetwork_.corrupt(data);
      loop_.after(delivery.delay, [this, place, from, descriptor, data = std::move(data)] {
        received_(from, memberOf(place), data.size());
        const SocketAddress to(listenAddress(place, kPort));
        static_cast<void>(::sendto(descriptor, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                   to.addr(), to.length()));
      });
    }
  }
}

void Relay::accept(std::uint32_t place) {
  SocketAddress peer;
  Poco::Net::StreamSocket socket;
  try {
    socket = places_[place]->listener.acceptConnection(peer);
  } catch (const Poco::Exception&) {
    return;  // the peer closed the connection before it was accepted
  }
  const auto last = std::stoul(peer.host().toString().substr(peer.host().toString().rfind('.') + 1));
  if (last == 0 || last > places_.size()) return;
  join(socket, memberOf(static_cast<std::uint32_t>(last - 1)), memberOf(place), listenAddress(place, kPort),
       {});
}

std::string Relay::forward(std::uint32_t member, const std::string& address, std::function<bool()> allowed) {
  auto forwarded =
      std::make_unique<ForwardedAddress>(ForwardedAddress{{}, member, address, std::move(allowed)});
  forwarded->listener.bind(SocketAddress(SocketAddress(advertisedAddress(member)).host(), 0), true, false);
  forwarded->listener.listen(kBacklog);
  forwarded->listener.setBlocking(false);
  watch(forwarded->listener, member, Kind::forward);
  const std::string at = forwarded->listener.address().toString();
  const int descriptor = forwarded->listener.impl()->sockfd();
  forwards_[descriptor] = std::move(forwarded);
  return at;
}

void Relay::acceptForward(const ForwardedAddress& forward) {
  try {
    SocketAddress peer;
    Poco::Net::ServerSocket listener = forward.listener;
    join(listener.acceptConnection(peer), forward.member, forward.member, forward.address, forward.allowed);
  } catch (const Poco::Exception&) {
    return;  // the peer closed the connection before it was accepted
  }
}

void Relay::join(const Poco::Net::StreamSocket& socket, std::uint32_t from, std::uint32_t to,
                 const std::string& address, const std::function<bool()>& allowed) {
  const auto near = std::make_shared<RelayLink>(*this, socket, from, to, allowed);
  links_.emplace(near.get(), near);
  if (!near->passes()) return near->start();  // dropped from the first byte
  const auto far =
      std::make_shared<RelayLink>(*this, Poco::Net::StreamSocket(SocketAddress::IPv4), to, from, allowed);
  links_.emplace(far.get(), far);
  near->other = far;
  far->other = near;
  far->dial(SocketAddress(address));
  near->start();
}

}  // namespace rackroute::lab
