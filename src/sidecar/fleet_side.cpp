#include "sidecar/fleet_side.hpp"

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

constexpr int kDatagramsATurn = 64;  // queries wait no longer for them
constexpr std::uint32_t kMostFromOne =
    1000;  // datagrams a second of one address; five times the most ever meant
constexpr std::uint32_t kMostReceived = 4000;  // datagrams a second of all
constexpr std::size_t kMostSources = 1024;     // addresses counted apart in a second
constexpr std::size_t kMostAsked = 32;         // exchanges that others began, at a time
constexpr std::size_t kMostAsking = 4;         // that this one began
constexpr Span kExchangeTime = 3s;             // for a whole exchange; then it is given up
constexpr Span kAgain = 200ms;                 // until the next try for an address that another still has
constexpr Span kGather = 1s;                   // over which changes are told together
constexpr std::size_t kToldApart = 4;          // changes; more become one line
constexpr int kBacklog = 64;
constexpr std::size_t kWordRoom = 256;  // bytes of a member in a whole view, at its longest
constexpr std::size_t kFrameHead = 4;   // bytes: the length, high byte first

std::uint64_t millisecondsNow() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string frame(const std::string& bytes) {
  std::string made;
  for (int shift = 24; shift >= 0; shift -= 8)
    made += static_cast<char>(static_cast<unsigned char>(bytes.size() >> static_cast<unsigned>(shift)));
  return made + bytes;
}

/// A socket that leaves from that address.
Poco::Net::StreamSocket leavingFrom(const Poco::Net::SocketAddress& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw Poco::IOException("no socket", errno);
  Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(descriptor));
  const Poco::Net::SocketAddress any(address.host(), 0);
  if (::bind(descriptor, any.addr(), any.length()) != 0) throw Poco::IOException("no address", errno);
  return socket;
}

}  // namespace

/// One exchange of views. Who asks sends its own word, its digest and its marks; the other sends what differs
/// of its view, and is then sent the first one's of that.
class FleetLink : public Connection {
 public:
  FleetLink(FleetSide& side, Poco::Net::StreamSocket socket, std::string peer, bool asks)
      : Connection(side.loop_, "fleet", std::move(socket), std::move(peer)), side_(side), asks_(asks) {}

  void start() {
    limit();
    open();
    readNow();
  }
  void ask(const Poco::Net::SocketAddress& address) {
    limit();
    dial(address);
    tell(side_.membership_.viewRequest());
  }
  [[nodiscard]] bool asks() const { return asks_; }

 protected:
  void received() override {
    while (!ended() && !finishing() && in_.size() >= kFrameHead) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < kFrameHead; ++i) size = size << 8U | static_cast<unsigned char>(in_[i]);
      // Guards against a length that nobody means: it would be waited for, and kept.
      if (size > side_.longestWhole()) return refuse(fleet::DecodeError::outOfRange);
      if (in_.size() < kFrameHead + size) return;
      fleet::ViewMessage theirs;
      const fleet::DecodeError refusal =
          fleet::decode(side_.told_.fleet, std::string_view(in_).substr(kFrameHead, size), theirs);
      side_.bytesIn_ += kFrameHead + size;
      in_.erase(0, kFrameHead + size);
      ++messages_;
      if (refusal != fleet::DecodeError::none) return refuse(refusal);
      take(theirs);
    }
  }
  void gone(Reason) override {
    loop_.cancel(timer_);
    side_.links_.erase(this);
  }

 private:
  void limit() {
    timer_ = loop_.in(kExchangeTime, [this] { end(Reason::silent); });
  }
  void refuse(fleet::DecodeError refusal) {
    ++side_.refused_.at(static_cast<std::size_t>(refusal));
    end(Reason::badMessage);
  }
  void take(const fleet::ViewMessage& theirs) {
    fleet::Membership& membership = side_.membership_;
    if (membership.displaced()) return finish(Reason::done);
    const bool same = theirs.digest == membership.digest();
    const bool last = asks_ || heard_;
    if (!asks_ && !heard_ && same) return finish(Reason::done);
    heard_ = true;
    const fleet::ViewMessage own = membership.viewFor(loop_.now(), theirs.bucketDigests);
    membership.merge(loop_.now(), theirs);
    // All that one can tell who knows nobody stood in its question.
    if (asks_ ? !own.updates.empty() : !last) tell(own);
    if (last) finish(Reason::done);
    side_.settled();
  }
  void tell(const fleet::ViewMessage& whole) {
    const std::string bytes = frame(fleet::encode(side_.told_.fleet, whole));
    static_cast<void>(side_.spend(bytes.size(), -1e18));
    http::GatherBuffer pieces;
    pieces.text(bytes);
    send(std::move(pieces));
  }

  FleetSide& side_;
  bool asks_;
  bool heard_ = false;
  Loop::TimerId timer_;
};

FleetSide::FleetSide(Loop& loop, FleetTold told, std::uint64_t seed,
                     std::function<void(std::uint32_t)> counted)
    : loop_(loop),
      told_(std::move(told)),
      counted_(std::move(counted)),
      membership_(told_.self, millisecondsNow(), told_.join, told_.rhythm, seed, *this),
      allowance_(static_cast<double>(told_.bytesASecond)) {}

FleetSide::~FleetSide() { close(); }

void FleetSide::start() {
  open();
  membership_.start(loop_.now());
  settled();
}

void FleetSide::succeed(const std::string& state) {
  try {
    const auto object = Poco::JSON::Parser().parse(state).extract<Object::Ptr>();
    std::istringstream text(object->getValue<std::string>("view"));
    Poco::Base64Decoder decoder(text);
    const std::string bytes{std::istreambuf_iterator<char>(decoder), {}};
    fleet::ViewMessage view;
    if (fleet::decode(told_.fleet, bytes, view) != fleet::DecodeError::none ||
        view.self.id != membership_.self().id)
      throw std::runtime_error("another member's");
    membership_.addKnownMembers(loop_.now(), view.updates);
    membership_.resumeAs(view.self.version);
  } catch (const Poco::Exception& error) {
    Line(Level::warning) << "no_handover what=\"the fleet's view: " << error.displayText() << '"';
  } catch (const std::exception& error) {
    Line(Level::warning) << "no_handover what=\"the fleet's view: " << error.what() << '"';
  }
  startWhenFree();
}

std::string FleetSide::state() const {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder << fleet::encode(told_.fleet, membership_.viewFor(loop_.now()));
  encoder.close();
  Object::Ptr object = new Object;
  object->set("view", text.str());
  std::ostringstream made;
  object->stringify(made);
  return made.str();
}

// Guards against an old process that hangs and still has the address.
void FleetSide::startWhenFree() {
  try {
    open();
  } catch (const Poco::Exception& error) {
    Line(Level::warning) << "fleet_waits address=" << told_.listen << " what=\"" << error.displayText()
                         << '"';
    again_ = loop_.in(kAgain, [this] { startWhenFree(); });
    return;
  }
  membership_.start(loop_.now());
  settled();
}

void FleetSide::yield(bool yes) {
  if (left_) return;
  if (yes) return close();
  startWhenFree();
}

void FleetSide::leave() {
  if (socket_) membership_.leave(loop_.now());
  left_ = true;
  close();
}

void FleetSide::open() {
  const Poco::Net::SocketAddress address = numericAddress(told_.listen);
  Poco::Net::ServerSocket listener;
  listener.bind(address, true, false);
  Poco::Net::DatagramSocket socket;
  socket.bind(address, false, false);
  listener.listen(kBacklog);
  listener.setBlocking(false);
  socket.setBlocking(false);
  listener_ = listener;
  socket_ = socket;
  loop_.addEventHandler(*socket_,
                        Poco::Observer<FleetSide, ReadableNotification>(*this, &FleetSide::readable));
  loop_.addEventHandler(*listener_,
                        Poco::Observer<FleetSide, ReadableNotification>(*this, &FleetSide::accept));
  Line(Level::info) << "fleet name=" << told_.fleet << " member=" << told_.self.name
                    << " listen=" << told_.listen << " advertise=" << told_.self.address;
}

void FleetSide::close() {
  loop_.cancel(again_);
  loop_.cancel(wake_);
  wakeAt_ = Span::max();
  if (!socket_) return;
  loop_.removeEventHandler(*socket_,
                           Poco::Observer<FleetSide, ReadableNotification>(*this, &FleetSide::readable));
  loop_.removeEventHandler(*listener_,
                           Poco::Observer<FleetSide, ReadableNotification>(*this, &FleetSide::accept));
  socket_->close();
  listener_->close();
  socket_.reset();
  listener_.reset();
  const auto links = links_;
  for (const auto& [at, link] : links) link->end(Reason::shutdown);
}

// ---- Datagrams

void FleetSide::readable(ReadableNotification* event) {
  event->release();
  loop_.guarded([this] { read(); });
}

// Guards against a source that floods: what comes over the bound is dropped before anything is read of it.
bool FleetSide::mayRead(std::uint32_t source) {
  const Span now = loop_.now();
  if (now - second_ >= 1s) {
    second_ = now;
    sources_.clear();
    received_ = 0;
  }
  const bool counted = sources_.contains(source) || sources_.size() < kMostSources;
  if (++received_ <= kMostReceived && (!counted || ++sources_[source] <= kMostFromOne)) return true;
  ++floods_;
  return false;
}

void FleetSide::read() {
  std::array<char, fleet::kMaxDatagramBytes + 1> bytes{};
  for (int i = 0; i < kDatagramsATurn && socket_; ++i) {
    sockaddr_in source{};
    socklen_t length = sizeof source;
    const auto size =
        ::recvfrom(socket_->impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&source), &length);  // what the system's call takes
    if (size < 0) break;
    if (!mayRead(source.sin_addr.s_addr)) continue;
    ++messagesIn_;
    bytesIn_ += static_cast<std::size_t>(size);
    fleet::Message message;
    const fleet::DecodeError refusal =
        fleet::decode(told_.fleet, {bytes.data(), static_cast<std::size_t>(size)}, message);
    if (refusal == fleet::DecodeError::none)
      membership_.handleMessage(loop_.now(), message);
    else
      ++refused_.at(static_cast<std::size_t>(refusal));
  }
  settled();
}

std::size_t FleetSide::longestWhole() const {
  return std::min(fleet::kMaxViewMessageBytes, kWordRoom * (told_.rhythm.maxMembers + 1));
}

// The bytes that may be sent, saved up for a second. What tells on what others tell too gives way first.
bool FleetSide::spend(std::size_t bytes, double least) {
  const Span now = loop_.now();
  const auto most = static_cast<double>(told_.bytesASecond);
  allowance_ = std::min(most, allowance_ + most * std::chrono::duration<double>(now - allowedAt_).count());
  allowedAt_ = now;
  if (allowance_ - static_cast<double>(bytes) < least) {
    ++held_;
    return false;
  }
  allowance_ -= static_cast<double>(bytes);
  bytesOut_ += bytes;
  return true;
}

void FleetSide::send(const std::string& address, const fleet::Message& message) {
  if (!socket_) return;
  const std::string bytes = fleet::encode(told_.fleet, message);
  const bool news = message.kind == fleet::MessageKind::gossip;
  if (!spend(bytes.size(), news ? 0 : -static_cast<double>(told_.bytesASecond))) return;
  try {
    const Poco::Net::SocketAddress to = numericAddress(address);
    ++messagesOut_;
    // What can't be sent is lost, as it may be on its way too.
    static_cast<void>(::sendto(socket_->impl()->sockfd(), bytes.data(), bytes.size(),
                               MSG_DONTWAIT | MSG_NOSIGNAL, to.addr(), to.length()));
  } catch (const std::exception&) {
    ++refused_.at(static_cast<std::size_t>(fleet::DecodeError::outOfRange));
  }
}

// ---- Exchanges

void FleetSide::exchange(const std::string& address) {
  const auto asking = std::ranges::count_if(links_, [](const auto& link) { return link.second->asks(); });
  if (!socket_ || static_cast<std::size_t>(asking) >= kMostAsking || allowance_ < 0) return;
  try {
    const Poco::Net::SocketAddress to = numericAddress(address);
    const auto made =
        std::make_shared<FleetLink>(*this, leavingFrom(numericAddress(told_.listen)), address, true);
    links_.emplace(made.get(), made);
    ++exchanges_;
    // In a turn of its own: the membership is in the midst of a call.
    loop_.soon([weak = std::weak_ptr(made), to] {
      if (const auto link = weak.lock(); link && !link->ended()) link->ask(to);
    });
  } catch (const std::exception&) {
    ++refused_.at(static_cast<std::size_t>(fleet::DecodeError::outOfRange));
  }
}

void FleetSide::accept(ReadableNotification* event) {
  event->release();
  loop_.guarded([this] {
    if (!listener_) return;
    try {
      Poco::Net::SocketAddress peer;
      const Poco::Net::StreamSocket socket = listener_->acceptConnection(peer);
      // Guards against more exchanges than there is room for: those in the midst end, the new one does not
      // begin.
      if (links_.size() >= kMostAsked + kMostAsking) return;
      const auto made = std::make_shared<FleetLink>(*this, socket, peer.toString(), false);
      links_.emplace(made.get(), made);
      made->start();
    } catch (const Poco::Exception&) {
      ++loop_.counters.outOfDescriptors;
    }
  });
}

// ---- What comes of it

void FleetSide::settled() {
  if (!socket_) return;
  if (const Span due = membership_.due(); due != wakeAt_) {
    loop_.cancel(wake_);
    wakeAt_ = due;
    if (due != Span::max())
      wake_ = loop_.at(due, [this] {
        wakeAt_ = Span::max();
        wake_ = {};
        membership_.wake(loop_.now());
        settled();
      });
  }
  if (const fleet::Connectivity now = membership_.connectivity(); now != hearing_) {
    Line(now == fleet::Connectivity::full ? Level::info : Level::warning)
        << "fleet_hears " << nameOf(now) << " was=" << nameOf(hearing_)
        << " alive=" << membership_.view().count(fleet::State::alive) + 1
        << " size=" << membership_.safeCount();
    hearing_ = now;
  }
  if (membership_.safeCount() == safe_) return;
  safe_ = membership_.safeCount();
  counted_(static_cast<std::uint32_t>(safe_));
}

void FleetSide::memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> was) {
  if (changes_.empty()) loop_.in(kGather, [this] { tellChanges(); });
  changes_.push_back({member.info, member.state, was});
}

void FleetSide::tellChanges() {
  const auto changes = std::exchange(changes_, {});
  if (changes.size() <= kToldApart) {
    for (const Change& change : changes)
      Line(Level::info) << "fleet_member name=" << change.info->name << " state=" << nameOf(change.state)
                        << " was=" << (change.was ? nameOf(*change.was) : "unknown");
    return;
  }
  std::array<std::size_t, 4> into{};
  for (const Change& change : changes) ++into.at(static_cast<std::size_t>(change.state));
  const fleet::View& view = membership_.view();
  Line(Level::info) << "fleet_members changes=" << changes.size() << " became_alive=" << into[0]
                    << " became_suspect=" << into[1] << " became_dead=" << into[2] << " left=" << into[3]
                    << " now_alive=" << view.count(fleet::State::alive) + 1
                    << " now_dead=" << view.count(fleet::State::dead);
}

void FleetSide::nameConflict(bool taken, const std::string& by) {
  Line(taken ? Level::error : Level::info)
      << (taken ? "fleet_name_taken" : "fleet_name_back") << " name=" << told_.self.name << " by=" << by;
}

std::string FleetSide::json() const {
  const Span now = loop_.now();
  const fleet::View& view = membership_.view();
  Object::Ptr made = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  made->set("self", told_.self.name);
  made->set("fleet", told_.fleet);
  made->set("hearing", std::string(nameOf(membership_.connectivity())));
  made->set("size", static_cast<std::uint64_t>(membership_.safeCount()));
  made->set("health", membership_.localHealth());
  made->set("name_taken", membership_.displaced());
  Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
  const auto add = [&](const fleet::MemberUpdate& word, Span since) {
    Object::Ptr one = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    one->set("name", word.info->name);
    one->set("state", std::string(nameOf(word.state)));
    one->set("zone", word.info->zone);
    one->set("address", word.info->address);
    one->set("start", word.version.start);
    one->set("incarnation", word.version.incarnation);
    one->set("since_ms", static_cast<std::int64_t>((now - since) / 1ms));
    members->add(one);
  };
  add(membership_.self(), Span{});
  for (const fleet::MemberRecord& held : view.all())
    add({held.info, held.id, held.version, held.state, {}, {}}, held.since);
  made->set("members", members);
  std::ostringstream text;
  made->stringify(text);
  return text.str() + '\n';
}

void FleetSide::figures(std::ostream& out) const {
  const auto head = [&](std::string_view name, std::string_view type, std::string_view help) {
    out << "# HELP edge_lb_fleet_" << name << ' ' << help << "\n# TYPE edge_lb_fleet_" << name << ' ' << type
        << '\n';
  };
  const auto figure = [&](std::string_view name, std::string_view type, std::string_view help,
                          std::uint64_t value) {
    head(name, type, help);
    out << "edge_lb_fleet_" << name << ' ' << value << '\n';
  };
  const fleet::MembershipCounters& seen = membership_.counters();
  head("members", "gauge", "Other members known, by state.");
  for (const auto state :
       {fleet::State::alive, fleet::State::suspect, fleet::State::dead, fleet::State::left})
    out << "edge_lb_fleet_members{state=\"" << nameOf(state) << "\"} " << membership_.view().count(state)
        << '\n';
  figure("size", "gauge", "Members that may be running, this one among them.", membership_.safeCount());
  figure("hearing", "gauge", "0 whole, 1 partial, 2 alone.",
         static_cast<std::uint64_t>(membership_.connectivity()));
  figure("health", "gauge", "Doubt in itself: 0 none, 8 the most.", membership_.localHealth());
  figure("probes", "counter", "Probes of other members.", seen.probes);
  figure("probes_lost", "counter", "Probes that nobody answered.", seen.probesLost);
  figure("suspicions_refuted", "counter", "Talk of its own death that it put right.", seen.refuted);
  figure("deaths_told", "counter", "Deaths that it was the one to tell.", seen.deaths);
  figure("stalls", "counter", "Times it was frozen or got no processor.", seen.stalls);
  figure("exchanges", "counter", "Exchanges of whole views that it began.", exchanges_);
  figure("messages_in", "counter", "Datagrams read.", messagesIn_);
  figure("messages_out", "counter", "Datagrams sent.", messagesOut_);
  figure("bytes_in", "counter", "Bytes read.", bytesIn_);
  figure("bytes_out", "counter", "Bytes sent.", bytesOut_);
  figure("held_back", "counter", "Messages not sent, over the bytes allowed.", held_);
  head("refused", "counter", "Messages not taken up, by reason.");
  const auto refused = [&](std::string_view reason, std::uint64_t count) {
    out << "edge_lb_fleet_refused{reason=\"" << reason << "\"} " << count << '\n';
  };
  for (std::size_t i = 1; i < refused_.size(); ++i)
    refused(nameOf(static_cast<fleet::DecodeError>(i)), refused_[i]);
  refused("flood", floods_);
  refused("misdirected", seen.misdirected);
  refused("full", seen.rejectedFull);
  refused("absurd_word", seen.rejectedInvalid);
}

}  // namespace rackroute::sidecar
