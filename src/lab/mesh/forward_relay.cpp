#include "lab/mesh/forward_relay.hpp"

#include <functional>
#include <utility>

#include "sidecar/connection.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using sidecar::Reason;

constexpr Span kLatest = 1500ms;    // by which a request comes late; within its client's time, and beyond
constexpr Span kBothAfter = 200ms;  // at the longest, from a request until both ends are reset

/// One end of a relayed connection.
class RelayEnd : public sidecar::Connection {
 public:
  RelayEnd(sidecar::Loop& loop, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(loop, "relay", std::move(socket), std::move(peer)) {}
  std::function<void(std::string)> read;
  std::function<void()> over;
  void write(std::string bytes) {
    if (ended()) return;
    http::Gather pieces;
    pieces.text(std::move(bytes));
    send(std::move(pieces));
  }
  void cut() { endCut(Reason::cut); }

 protected:
  void received() override { read(std::exchange(in_, {})); }
  void gone(Reason) override {
    if (over) over();
  }
};

}  // namespace

/// Both ends of one relayed connection.
class ForwardRelayPair : public std::enable_shared_from_this<ForwardRelayPair> {
 public:
  ForwardRelayPair(ForwardRelay& relay, Poco::Net::StreamSocket socket, std::string peer)
      : relay_(relay),
        caller_(std::make_shared<RelayEnd>(relay.loop_, std::move(socket), std::move(peer))),
        sidecar_(std::make_shared<RelayEnd>(relay.loop_, Poco::Net::StreamSocket(), relay.to_.value)) {}

  void start() {
    caller_->read = [this](std::string bytes) { fromCaller(std::move(bytes)); };
    sidecar_->read = [this](std::string bytes) { fromSidecar(std::move(bytes)); };
    caller_->over = [this] { callerOver(); };
    sidecar_->over = [this] { sidecarOver(); };
    sidecar_->dial(Poco::Net::SocketAddress(relay_.to_.value));
    caller_->open();
  }

 private:
  enum class Fault { before, after, late, answer, both };

  void fromCaller(std::string bytes) {
    if (uniform01(relay_.chance_) >= relay_.part_) return sidecar_->write(std::move(bytes));
    ++relay_.resets_;
    switch (static_cast<Fault>(static_cast<int>(uniform01(relay_.chance_) * 5))) {
      case Fault::before:
        caller_->cut();
        return;
      case Fault::after:
        staysOpen_ = true;
        sidecar_->write(std::move(bytes));
        caller_->cut();
        return;
      case Fault::late:
        staysOpen_ = true;
        caller_->cut();
        in(kLatest, [this, late = std::move(bytes)] { sidecar_->write(late); });
        return;
      case Fault::answer:
        cutsAnswer_ = true;
        sidecar_->write(std::move(bytes));
        return;
      case Fault::both:
        sidecar_->write(std::move(bytes));
        in(kBothAfter, [this] {
          caller_->cut();
          sidecar_->cut();
        });
        return;
    }
  }

  void fromSidecar(std::string bytes) {
    if (caller_->ended()) return;
    if (!cutsAnswer_) return caller_->write(std::move(bytes));
    staysOpen_ = true;
    bytes.resize(bytes.size() / 2);
    caller_->write(std::move(bytes));
    caller_->cut();
  }

  void callerOver() {
    if (!staysOpen_) sidecar_->end(Reason::peerClosed);
    forget();
  }

  void sidecarOver() {
    caller_->finish(Reason::peerClosed);
    forget();
  }

  void in(Span most, std::function<void()> task) {
    const Span wait = std::chrono::duration_cast<Span>(most * uniform01(relay_.chance_));
    relay_.loop_.in(wait, [self = shared_from_this(), task = std::move(task)] { task(); });
  }

  // Once both have ended; after the turn, as this is called from within theirs.
  void forget() {
    if (!caller_->ended() || !sidecar_->ended()) return;
    relay_.loop_.bury(shared_from_this());
    relay_.pairs_.erase(shared_from_this());
  }

  ForwardRelay& relay_;
  std::shared_ptr<RelayEnd> caller_;
  std::shared_ptr<RelayEnd> sidecar_;
  bool staysOpen_ = false;  // towards the sidecar, though its caller's end was reset
  bool cutsAnswer_ = false;
};

ForwardRelay::ForwardRelay(sidecar::Loop& loop, const rackroute::mesh::Address& at,
                           rackroute::mesh::Address to, RandomEngine& chance)
    : loop_(loop),
      to_(std::move(to)),
      chance_(chance),
      listener_(loop, at, [this](Poco::Net::StreamSocket socket, std::string peer) {
        const auto pair = std::make_shared<ForwardRelayPair>(*this, std::move(socket), std::move(peer));
        pairs_.insert(pair);
        pair->start();
      }) {}

ForwardRelay::~ForwardRelay() = default;

}  // namespace rackroute::lab::mesh
