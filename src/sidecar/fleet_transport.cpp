#include "sidecar/fleet_transport.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "sidecar/connection.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using Poco::JSON::Object;
using Poco::Net::ReadableNotification;

constexpr int kMaxDatagramsPerTurn = 64;                // so that datagrams do not delay queries
constexpr std::uint32_t kMaxDatagramsPerSource = 1000;  // per second
constexpr std::uint32_t kMaxDatagramsPerSecond = 4000;  // from all sources
constexpr std::size_t kMaxTrackedSources = 1024;        // sources counted separately per second
constexpr std::size_t kMaxInboundExchanges = 32;
constexpr std::size_t kMaxOutboundExchanges = 4;
constexpr Span kExchangeTimeout = 3s;
constexpr Span kBindRetryInterval = 200ms;
constexpr Span kChangeLogInterval = 1s;
constexpr std::size_t kMaxChangesLoggedSingly = 4;  // more are summarized in one line
constexpr int kListenBacklog = 64;
constexpr std::size_t kMaxMemberBytes = 256;  // per member in an encoded view
constexpr std::size_t kFrameHeaderBytes = 4;  // length, big-endian

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string frame(const std::string& bytes) {
  std::string result;
  for (int shift = 24; shift >= 0; shift -= 8)
    result += static_cast<char>(static_cast<unsigned char>(bytes.size() >> static_cast<unsigned>(shift)));
  return result + bytes;
}

/// Creates a TCP socket bound to the address, with any port.
Poco::Net::StreamSocket socketBoundTo(const Poco::Net::SocketAddress& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw Poco::IOException("cannot create socket", errno);
  Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(descriptor));
  const Poco::Net::SocketAddress any(address.host(), 0);
  if (::bind(descriptor, any.addr(), any.length()) != 0) throw Poco::IOException("cannot bind socket", errno);
  return socket;
}

}  // namespace

/// One exchange of views (anti-entropy). The initiator sends its own state, its view's digest and the bucket
/// digests; the responder sends the members that differ, and the initiator replies with its own of those.
class FleetLink : public Connection {
 public:
  FleetLink(FleetTransport& transport, Poco::Net::StreamSocket socket, std::string peer, bool initiator)
      : Connection(transport.loop_, "fleet", std::move(socket), std::move(peer)),
        transport_(transport),
        initiator_(initiator) {}

  void start() {
    startTimeout();
    open();
    readNow();
  }
  void connect(const Poco::Net::SocketAddress& address) {
    startTimeout();
    dial(address);
    sendView(transport_.membership_.viewRequest());
  }
  [[nodiscard]] bool initiator() const { return initiator_; }

 protected:
  void received() override {
    while (!ended() && !finishing() && in_.size() >= kFrameHeaderBytes) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
        size = size << 8U | static_cast<unsigned char>(in_[i]);
      // Rejects implausible lengths, which would otherwise be buffered.
      if (size > transport_.maxViewBytes()) return reject(fleet::DecodeError::outOfRange);
      if (in_.size() < kFrameHeaderBytes + size) return;
      fleet::ViewMessage remote;
      const fleet::DecodeError refusal = fleet::decode(
          transport_.config_.name, std::string_view(in_).substr(kFrameHeaderBytes, size), remote);
      transport_.bytesIn_ += kFrameHeaderBytes + size;
      in_.erase(0, kFrameHeaderBytes + size);
      ++messages_;
      if (refusal != fleet::DecodeError::none) return reject(refusal);
      handleView(remote);
    }
  }
  void closed(CloseReason) override {
    loop_.cancel(timer_);
    transport_.links_.erase(this);
  }

 private:
  void startTimeout() {
    timer_ = loop_.after(kExchangeTimeout, [this] { end(CloseReason::silent); });
  }
  void reject(fleet::DecodeError refusal) {
    ++transport_.rejected_.at(static_cast<std::size_t>(refusal));
    end(CloseReason::badMessage);
  }
  void handleView(const fleet::ViewMessage& remote) {
    fleet::Membership& membership = transport_.membership_;
    if (membership.displaced()) return finish(CloseReason::done);
    const bool inSync = remote.digest == membership.digest();
    const bool lastView = initiator_ || viewReceived_;
    if (!initiator_ && !viewReceived_ && inSync) return finish(CloseReason::done);
    viewReceived_ = true;
    const fleet::ViewMessage reply = membership.viewFor(loop_.now(), remote.bucketDigests);
    membership.merge(loop_.now(), remote);
    // An initiator that knows no other members has sent all it knows in its request.
    if (initiator_ ? !reply.updates.empty() : !lastView) sendView(reply);
    if (lastView) finish(CloseReason::done);
    transport_.membershipUpdated();
  }
  void sendView(const fleet::ViewMessage& view) {
    const std::string bytes = frame(fleet::encode(transport_.config_.name, view));
    static_cast<void>(transport_.spendBytes(bytes.size(), -1e18));
    http::GatherBuffer pieces;
    pieces.text(bytes);
    send(std::move(pieces));
  }

  FleetTransport& transport_;
  bool initiator_;
  bool viewReceived_ = false;
  Loop::TimerId timer_;
};

FleetTransport::FleetTransport(Loop& loop, FleetConfig config, std::uint64_t seed,
                               std::function<void(std::uint32_t)> sizeChanged)
    : loop_(loop),
      config_(std::move(config)),
      sizeChanged_(std::move(sizeChanged)),
      membership_(config_.self, unixMilliseconds(), config_.join, config_.membership, seed, *this),
      sendBudgetBytes_(static_cast<double>(config_.maxBytesPerSecond)) {}

FleetTransport::~FleetTransport() { close(); }

void FleetTransport::start() {
  open();
  membership_.start(loop_.now());
  membershipUpdated();
}

void FleetTransport::resume(const std::string& state) {
  try {
    const auto object = Poco::JSON::Parser().parse(state).extract<Object::Ptr>();
    std::istringstream text(object->getValue<std::string>("view"));
    Poco::Base64Decoder decoder(text);
    const std::string bytes{std::istreambuf_iterator<char>(decoder), {}};
    fleet::ViewMessage view;
    if (fleet::decode(config_.name, bytes, view) != fleet::DecodeError::none ||
        view.self.id != membership_.self().id)
      throw std::runtime_error("belongs to another member");
    membership_.addKnownMembers(loop_.now(), view.updates);
    membership_.resumeAs(view.self.version);
  } catch (const Poco::Exception& error) {
    LogLine(Level::warning) << "no_handover what=\"fleet view: " << error.displayText() << '"';
  } catch (const std::exception& error) {
    LogLine(Level::warning) << "no_handover what=\"fleet view: " << error.what() << '"';
  }
  startWhenFree();
}

std::string FleetTransport::state() const {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder << fleet::encode(config_.name, membership_.viewFor(loop_.now()));
  encoder.close();
  Object::Ptr object = new Object;
  object->set("view", text.str());
  std::ostringstream result;
  object->stringify(result);
  return result.str();
}

// An old process that hangs may still hold the address.
void FleetTransport::startWhenFree() {
  try {
    open();
  } catch (const Poco::Exception& error) {
    LogLine(Level::warning) << "fleet_waits address=" << config_.listen << " what=\"" << error.displayText()
                            << '"';
    bindRetryTimer_ = loop_.after(kBindRetryInterval, [this] { startWhenFree(); });
    return;
  }
  membership_.start(loop_.now());
  membershipUpdated();
}

void FleetTransport::setYielding(bool yielding) {
  if (left_) return;
  if (yielding) return close();
  startWhenFree();
}

void FleetTransport::leave() {
  if (socket_) membership_.leave(loop_.now());
  left_ = true;
  close();
}

void FleetTransport::open() {
  const Poco::Net::SocketAddress address = numericAddress(config_.listen);
  Poco::Net::ServerSocket listener;
  listener.bind(address, true, false);
  Poco::Net::DatagramSocket socket;
  socket.bind(address, false, false);
  listener.listen(kListenBacklog);
  listener.setBlocking(false);
  socket.setBlocking(false);
  listener_ = listener;
  socket_ = socket;
  loop_.addEventHandler(
      *socket_, Poco::Observer<FleetTransport, ReadableNotification>(*this, &FleetTransport::readable));
  loop_.addEventHandler(*listener_,
                        Poco::Observer<FleetTransport, ReadableNotification>(*this, &FleetTransport::accept));
  LogLine(Level::info) << "fleet name=" << config_.name << " member=" << config_.self.name
                       << " listen=" << config_.listen << " advertise=" << config_.self.address;
}

void FleetTransport::close() {
  loop_.cancel(bindRetryTimer_);
  loop_.cancel(wakeTimer_);
  wakeAt_ = Span::max();
  if (!socket_) return;
  loop_.removeEventHandler(
      *socket_, Poco::Observer<FleetTransport, ReadableNotification>(*this, &FleetTransport::readable));
  loop_.removeEventHandler(
      *listener_, Poco::Observer<FleetTransport, ReadableNotification>(*this, &FleetTransport::accept));
  socket_->close();
  listener_->close();
  socket_.reset();
  listener_.reset();
  const auto links = links_;
  for (const auto& [key, link] : links) link->end(CloseReason::shutdown);
}

// ---- Datagrams

void FleetTransport::readable(ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] { read(); });
}

// Rate limit per source and in total. Excess datagrams are dropped before decoding.
bool FleetTransport::admitDatagram(std::uint32_t source) {
  const Span now = loop_.now();
  if (now - rateWindowStart_ >= 1s) {
    rateWindowStart_ = now;
    datagramsBySource_.clear();
    datagramsInWindow_ = 0;
  }
  const bool tracked = datagramsBySource_.contains(source) || datagramsBySource_.size() < kMaxTrackedSources;
  if (++datagramsInWindow_ <= kMaxDatagramsPerSecond &&
      (!tracked || ++datagramsBySource_[source] <= kMaxDatagramsPerSource))
    return true;
  ++floodDrops_;
  return false;
}

void FleetTransport::read() {
  std::array<char, fleet::kMaxDatagramBytes + 1> bytes{};
  for (int i = 0; i < kMaxDatagramsPerTurn && socket_; ++i) {
    sockaddr_in source{};
    socklen_t length = sizeof source;
    const auto size = ::recvfrom(socket_->impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr*>(&source), &length);
    if (size < 0) break;
    if (!admitDatagram(source.sin_addr.s_addr)) continue;
    ++messagesIn_;
    bytesIn_ += static_cast<std::size_t>(size);
    fleet::Message message;
    const fleet::DecodeError refusal =
        fleet::decode(config_.name, {bytes.data(), static_cast<std::size_t>(size)}, message);
    if (refusal == fleet::DecodeError::none)
      membership_.handleMessage(loop_.now(), message);
    else
      ++rejected_.at(static_cast<std::size_t>(refusal));
  }
  membershipUpdated();
}

std::size_t FleetTransport::maxViewBytes() const {
  return std::min(fleet::kMaxViewMessageBytes, kMaxMemberBytes * (config_.membership.maxMembers + 1));
}

// Token bucket for sent bytes, with a capacity of one second. Gossip gives way first, as it is redundant.
bool FleetTransport::spendBytes(std::size_t bytes, double minBudget) {
  const Span now = loop_.now();
  const auto capacity = static_cast<double>(config_.maxBytesPerSecond);
  sendBudgetBytes_ = std::min(
      capacity, sendBudgetBytes_ + capacity * std::chrono::duration<double>(now - budgetUpdatedAt_).count());
  budgetUpdatedAt_ = now;
  if (sendBudgetBytes_ - static_cast<double>(bytes) < minBudget) {
    ++heldBack_;
    return false;
  }
  sendBudgetBytes_ -= static_cast<double>(bytes);
  bytesOut_ += bytes;
  return true;
}

void FleetTransport::send(const std::string& address, const fleet::Message& message) {
  if (!socket_) return;
  const std::string bytes = fleet::encode(config_.name, message);
  const bool gossip = message.kind == fleet::MessageKind::gossip;
  if (!spendBytes(bytes.size(), gossip ? 0 : -static_cast<double>(config_.maxBytesPerSecond))) return;
  try {
    const Poco::Net::SocketAddress to = numericAddress(address);
    ++messagesOut_;
    // A failed send counts as a lost datagram.
    static_cast<void>(::sendto(socket_->impl()->sockfd(), bytes.data(), bytes.size(),
                               MSG_DONTWAIT | MSG_NOSIGNAL, to.addr(), to.length()));
  } catch (const std::exception&) {
    ++rejected_.at(static_cast<std::size_t>(fleet::DecodeError::outOfRange));
  }
}

// ---- Exchanges

void FleetTransport::exchange(const std::string& address) {
  const auto outbound =
      std::ranges::count_if(links_, [](const auto& link) { return link.second->initiator(); });
  if (!socket_ || static_cast<std::size_t>(outbound) >= kMaxOutboundExchanges || sendBudgetBytes_ < 0) return;
  try {
    const Poco::Net::SocketAddress to = numericAddress(address);
    const auto link =
        std::make_shared<FleetLink>(*this, socketBoundTo(numericAddress(config_.listen)), address, true);
    links_.emplace(link.get(), link);
    ++exchanges_;
    // Deferred, as the membership is making this call.
    loop_.post([weak = std::weak_ptr(link), to] {
      if (const auto alive = weak.lock(); alive && !alive->ended()) alive->connect(to);
    });
  } catch (const std::exception&) {
    ++rejected_.at(static_cast<std::size_t>(fleet::DecodeError::outOfRange));
  }
}

void FleetTransport::accept(ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] {
    if (!listener_) return;
    try {
      Poco::Net::SocketAddress peer;
      const Poco::Net::StreamSocket socket = listener_->acceptConnection(peer);
      // At the limit, running exchanges continue and the new one is dropped.
      if (links_.size() >= kMaxInboundExchanges + kMaxOutboundExchanges) return;
      const auto link = std::make_shared<FleetLink>(*this, socket, peer.toString(), false);
      links_.emplace(link.get(), link);
      link->start();
    } catch (const Poco::Exception&) {
      ++loop_.counters.outOfDescriptors;
    }
  });
}

// ---- Results and reporting

void FleetTransport::membershipUpdated() {
  if (!socket_) return;
  if (const Span due = membership_.due(); due != wakeAt_) {
    loop_.cancel(wakeTimer_);
    wakeAt_ = due;
    if (due != Span::max())
      wakeTimer_ = loop_.at(due, [this] {
        wakeAt_ = Span::max();
        wakeTimer_ = {};
        membership_.wake(loop_.now());
        membershipUpdated();
      });
  }
  if (const fleet::Connectivity current = membership_.connectivity(); current != connectivity_) {
    LogLine(current == fleet::Connectivity::full ? Level::info : Level::warning)
        << "fleet_hears " << nameOf(current) << " was=" << nameOf(connectivity_)
        << " alive=" << membership_.view().count(fleet::State::alive) + 1
        << " size=" << membership_.safeCount();
    connectivity_ = current;
  }
  if (membership_.safeCount() == safeCount_) return;
  safeCount_ = membership_.safeCount();
  sizeChanged_(static_cast<std::uint32_t>(safeCount_));
}

void FleetTransport::memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> previous) {
  if (changes_.empty()) loop_.after(kChangeLogInterval, [this] { logChanges(); });
  changes_.push_back({member.info, member.state, previous});
}

void FleetTransport::logChanges() {
  const auto changes = std::exchange(changes_, {});
  if (changes.size() <= kMaxChangesLoggedSingly) {
    for (const Change& change : changes)
      LogLine(Level::info) << "fleet_member name=" << change.info->name << " state=" << nameOf(change.state)
                           << " was=" << (change.previous ? nameOf(*change.previous) : "unknown");
    return;
  }
  std::array<std::size_t, 4> into{};
  for (const Change& change : changes) ++into.at(static_cast<std::size_t>(change.state));
  const fleet::View& view = membership_.view();
  LogLine(Level::info) << "fleet_members changes=" << changes.size() << " became_alive=" << into[0]
                       << " became_suspect=" << into[1] << " became_dead=" << into[2] << " left=" << into[3]
                       << " now_alive=" << view.count(fleet::State::alive) + 1
                       << " now_dead=" << view.count(fleet::State::dead);
}

void FleetTransport::nameConflict(bool taken, const std::string& by) {
  LogLine(taken ? Level::error : Level::info)
      << (taken ? "fleet_name_taken" : "fleet_name_back") << " name=" << config_.self.name << " by=" << by;
}

std::string FleetTransport::json() const {
  const Span now = loop_.now();
  const fleet::View& view = membership_.view();
  Object::Ptr result = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  result->set("self", config_.self.name);
  result->set("fleet", config_.name);
  result->set("hearing", std::string(nameOf(membership_.connectivity())));
  result->set("size", static_cast<std::uint64_t>(membership_.safeCount()));
  result->set("health", membership_.localHealth());
  result->set("name_taken", membership_.displaced());
  Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
  const auto add = [&](const fleet::MemberUpdate& update, Span since) {
    Object::Ptr entry = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    entry->set("name", update.info->name);
    entry->set("state", std::string(nameOf(update.state)));
    entry->set("zone", update.info->zone);
    entry->set("address", update.info->address);
    entry->set("start", update.version.start);
    entry->set("incarnation", update.version.incarnation);
    entry->set("since_ms", static_cast<std::int64_t>((now - since) / 1ms));
    members->add(entry);
  };
  add(membership_.self(), Span{});
  for (const fleet::MemberRecord& record : view.all())
    add({record.info, record.id, record.version, record.state, {}, {}}, record.since);
  result->set("members", members);
  std::ostringstream text;
  result->stringify(text);
  return text.str() + '\n';
}

void FleetTransport::writeMetrics(std::ostream& out) const {
  const auto header = [&](std::string_view name, std::string_view type, std::string_view help) {
    out << "# HELP edge_lb_fleet_" << name << ' ' << help << "\n# TYPE edge_lb_fleet_" << name << ' ' << type
        << '\n';
  };
  const auto metric = [&](std::string_view name, std::string_view type, std::string_view help,
                          std::uint64_t value) {
    header(name, type, help);
    out << "edge_lb_fleet_" << name << ' ' << value << '\n';
  };
  const fleet::MembershipCounters& seen = membership_.counters();
  header("members", "gauge", "Other members known, by state.");
  for (const auto state :
       {fleet::State::alive, fleet::State::suspect, fleet::State::dead, fleet::State::left})
    out << "edge_lb_fleet_members{state=\"" << nameOf(state) << "\"} " << membership_.view().count(state)
        << '\n';
  metric("size", "gauge", "Members that may be running, this one among them.", membership_.safeCount());
  metric("hearing", "gauge", "0 whole, 1 partial, 2 alone.",
         static_cast<std::uint64_t>(membership_.connectivity()));
  metric("health", "gauge", "Doubt in itself: 0 none, 8 the most.", membership_.localHealth());
  metric("probes", "counter", "Probes of other members.", seen.probes);
  metric("probes_lost", "counter", "Probes that nobody answered.", seen.probesLost);
  metric("suspicions_refuted", "counter", "Talk of its own death that it put right.", seen.refuted);
  metric("deaths_told", "counter", "Deaths that it was the one to tell.", seen.deaths);
  metric("stalls", "counter", "Times it was frozen or got no processor.", seen.stalls);
  metric("exchanges", "counter", "Exchanges of whole views that it began.", exchanges_);
  metric("messages_in", "counter", "Datagrams read.", messagesIn_);
  metric("messages_out", "counter", "Datagrams sent.", messagesOut_);
  metric("bytes_in", "counter", "Bytes read.", bytesIn_);
  metric("bytes_out", "counter", "Bytes sent.", bytesOut_);
  metric("held_back", "counter", "Messages not sent, over the bytes allowed.", heldBack_);
  header("refused", "counter", "Messages not taken up, by reason.");
  const auto refused = [&](std::string_view reason, std::uint64_t count) {
    out << "edge_lb_fleet_refused{reason=\"" << reason << "\"} " << count << '\n';
  };
  for (std::size_t i = 1; i < rejected_.size(); ++i)
    refused(nameOf(static_cast<fleet::DecodeError>(i)), rejected_[i]);
  refused("flood", floodDrops_);
  refused("misdirected", seen.misdirected);
  refused("full", seen.rejectedFull);
  refused("absurd_word", seen.rejectedInvalid);
}

}  // namespace rackroute::sidecar
