#include "lab/mesh/forward_relay.hpp"

#include <functional>
#include <utility>

#include "sidecar/connection.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using sidecar::CloseReason;

constexpr Span kMaxRequestDelay = 1500ms;  // for ResetKind::lateRequest; may exceed the client's deadline
constexpr Span kMaxResetDelay = 200ms;     // for ResetKind::bothEnds, from the request

/// One end of a relayed connection.
class RelayEnd : public sidecar::Connection {
 public:
  RelayEnd(sidecar::Loop& loop, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(loop, "relay", std::move(socket), std::move(peer)) {}
  std::function<void(std::string)> onRead;
  std::function<void()> onEnded;
  void write(std::string bytes) {
    if (ended()) return;
    http::GatherBuffer pieces;
    pieces.text(std::move(bytes));
    send(std::move(pieces));
  }
  void abort() { endWithReset(CloseReason::cut); }

 protected:
  void received() override { onRead(std::exchange(in_, {})); }
  void closed(CloseReason) override {
    if (onEnded) onEnded();
  }
};

}  // namespace

/// Both ends of one relayed connection.
class ForwardRelayPair : public std::enable_shared_from_this<ForwardRelayPair> {
 public:
  ForwardRelayPair(ForwardRelay& relay, Poco::Net::StreamSocket socket, std::string peer)
      : relay_(relay),
        caller_(std::make_shared<RelayEnd>(relay.loop_, std::move(socket), std::move(peer))),
        sidecar_(std::make_shared<RelayEnd>(relay.loop_, Poco::Net::StreamSocket(), relay.target_.value)) {}

  void start() {
    caller_->onRead = [this](std::string bytes) { fromCaller(std::move(bytes)); };
    sidecar_->onRead = [this](std::string bytes) { fromSidecar(std::move(bytes)); };
    caller_->onEnded = [this] { onCallerEnded(); };
    sidecar_->onEnded = [this] { onSidecarEnded(); };
    sidecar_->dial(Poco::Net::SocketAddress(relay_.target_.value));
    caller_->open();
  }

 private:
  enum class ResetKind { beforeRequest, afterRequest, lateRequest, midResponse, bothEnds };

  void fromCaller(std::string bytes) {
    if (uniform01(relay_.rng_) >= relay_.resetRatio_) return sidecar_->write(std::move(bytes));
    ++relay_.resets_;
    switch (static_cast<ResetKind>(static_cast<int>(uniform01(relay_.rng_) * 5))) {
      case ResetKind::beforeRequest:
        caller_->abort();
        return;
      case ResetKind::afterRequest:
        keepsSidecarOpen_ = true;
        sidecar_->write(std::move(bytes));
        caller_->abort();
        return;
      case ResetKind::lateRequest:
        keepsSidecarOpen_ = true;
        caller_->abort();
        scheduleWithin(kMaxRequestDelay, [this, late = std::move(bytes)] { sidecar_->write(late); });
        return;
      case ResetKind::midResponse:
        truncatesResponse_ = true;
        sidecar_->write(std::move(bytes));
        return;
      case ResetKind::bothEnds:
        sidecar_->write(std::move(bytes));
        scheduleWithin(kMaxResetDelay, [this] {
          caller_->abort();
          sidecar_->abort();
        });
        return;
    }
  }

  void fromSidecar(std::string bytes) {
    if (caller_->ended()) return;
    if (!truncatesResponse_) return caller_->write(std::move(bytes));
    keepsSidecarOpen_ = true;
    bytes.resize(bytes.size() / 2);
    caller_->write(std::move(bytes));
    caller_->abort();
  }

  void onCallerEnded() {
    if (!keepsSidecarOpen_) sidecar_->end(CloseReason::peerClosed);
    removeIfEnded();
  }

  void onSidecarEnded() {
    caller_->finish(CloseReason::peerClosed);
    removeIfEnded();
  }

  void scheduleWithin(Span maxDelay, std::function<void()> task) {
    const Span wait = std::chrono::duration_cast<Span>(maxDelay * uniform01(relay_.rng_));
    relay_.loop_.after(wait, [self = shared_from_this(), task = std::move(task)] { task(); });
  }

  // Removes the pair when both ends have closed. Deletion is deferred, as a callback of an end is running.
  void removeIfEnded() {
    if (!caller_->ended() || !sidecar_->ended()) return;
    relay_.loop_.deferDestruction(shared_from_this());
    relay_.pairs_.erase(shared_from_this());
  }

  ForwardRelay& relay_;
  std::shared_ptr<RelayEnd> caller_;
  std::shared_ptr<RelayEnd> sidecar_;
  bool keepsSidecarOpen_ = false;  // after the end of the caller
  bool truncatesResponse_ = false;
};

ForwardRelay::ForwardRelay(sidecar::Loop& loop, const rackroute::mesh::Address& at,
                           rackroute::mesh::Address to, RandomEngine& rng)
    : loop_(loop),
      target_(std::move(to)),
      rng_(rng),
      listener_(loop, at, [this](Poco::Net::StreamSocket socket, std::string peer) {
        const auto pair = std::make_shared<ForwardRelayPair>(*this, std::move(socket), std::move(peer));
        pairs_.insert(pair);
        pair->start();
      }) {}

ForwardRelay::~ForwardRelay() = default;

}  // namespace rackroute::lab::mesh
