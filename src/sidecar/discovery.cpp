#include "sidecar/discovery.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "sidecar/connection.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::ParseStatus;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr Span kSilence = 4500ms;              // two of a watch's lines, each due every 2 s, and a margin
constexpr std::size_t kLongestList = 1 << 20;  // bytes; some thousands of servers

Lifecycle lifecycle(const std::string& status) {
  if (status == "up") return Lifecycle::serving;
  if (status == "draining") return Lifecycle::draining;
  if (status == "removed") return Lifecycle::gone;
  throw std::invalid_argument("unknown status " + status);
}

}  // namespace

Poco::Net::SocketAddress numericAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Poco::Net::IPAddress ip;
  std::uint16_t port = 0;
  if (colon != std::string::npos && Poco::Net::IPAddress::tryParse(text.substr(0, colon), ip)) {
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec == std::errc{} && read.ptr == end) return {ip, port};
  }
  throw std::invalid_argument("not an address: '" + text + "'");
}

Listed readList(const Poco::Dynamic::Var& json, settings::NameTable& zones, const Loop& loop,
                std::uint64_t& index) {
  const auto object = json.extract<Object::Ptr>();
  Listed listed;
  const auto version = object->getValue<std::uint64_t>("index");
  listed.listing = object->getValue<bool>("snapshot") ? Listing::complete : Listing::changes;
  const Array::Ptr entries = object->getArray("endpoints");
  if (entries.isNull()) throw std::invalid_argument("no endpoints");
  for (const auto& entry : *entries) {
    const auto one = entry.extract<Object::Ptr>();
    ListedServer server;
    server.id = settings::serverId(one->getValue<std::string>("name"));
    server.lifecycle = lifecycle(one->getValue<std::string>("status"));
    server.zone = {zones.id(one->optValue<std::string>("zone", ""))};
    server.cell = {one->optValue<std::int64_t>("group", 0)};
    server.size = one->optValue("weight", 1.0);
    const auto since = one->optValue<std::int64_t>("since_ms", 0);
    if (since > 0)
      server.startedAt =
          loop.sinceStart(std::chrono::system_clock::time_point(std::chrono::milliseconds(since)));
    if (server.lifecycle == Lifecycle::serving || one->has("address"))
      listed.addresses.emplace_back(server.id, numericAddress(one->getValue<std::string>("address")));
    listed.servers.push_back(server);
    listed.entries.push_back(one);
  }
  index = version;
  return listed;
}

class DiscoveryCall : public Connection {
 public:
  DiscoveryCall(Discovery& discovery, bool watch, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(discovery.loop_, "discovery", std::move(socket), std::move(peer)),
        discovery_(discovery),
        watch_(watch) {}

  void ask(const Poco::Net::SocketAddress& address) {
    heard();
    http::GatherBuffer pieces;
    std::string head = "GET /discovery/hosts";
    if (watch_) head += "?watch=1&after=" + std::to_string(discovery_.index_);
    pieces.text(head + " HTTP/1.1\r\nHost: " + address.toString() +
                (watch_ ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
    dial(address);
    send(std::move(pieces));
  }
  /// Ends it without telling the balancer.
  void drop() {
    dropped_ = true;
    end(Reason::done);
  }

 protected:
  void received() override {
    heard();
    watch_ ? readWatch() : readAnswer();
  }
  void gone(Reason) override {
    loop_.cancel(silence_);
    if (discovery_.watch_.get() == this) discovery_.watch_.reset();
    discovery_.calls_.erase(this);
    if (!dropped_) discovery_.exchange_.discoveryFailed();
  }

 private:
  // Guards against a discovery that is cut off: its connection stays open and says nothing.
  void heard() {
    loop_.cancel(silence_);
    silence_ = loop_.in(kSilence, [this] { end(Reason::silent); });
  }
  void readAnswer() {
    const ParseStatus progress = reader_.read(in_);
    if (progress == ParseStatus::needMore) return;
    if (progress != ParseStatus::done) return end(Reason::badMessage);
    const http::Message answer = reader_.take(in_);
    if (answer.status() != 200) return end(Reason::refused);
    if (!discovery_.told(std::string(answer.body()), false, false)) return end(Reason::badMessage);
    drop();
  }
  void readWatch() {
    if (!open_) {
      const ParseStatus progress = reader_.readHead(in_);
      if (progress == ParseStatus::needMore) return;
      if (progress != ParseStatus::done) return end(Reason::badMessage);
      const http::Message head = reader_.takeHead(in_);
      if (head.status() != 200 || !head.chunked()) return end(Reason::refused);
      open_ = true;
    }
    std::size_t used = 0;
    const ParseStatus progress = chunks_.read(in_, used, lines_, kLongestList);
    in_.erase(0, used);
    for (std::size_t end; (end = lines_.find('\n')) != std::string::npos;) {
      std::string line = lines_.substr(0, end);
      lines_.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.empty()) continue;
      if (!discovery_.told(line, true, std::exchange(first_, false))) return this->end(Reason::badMessage);
      if (ended()) return;
    }
    if (progress == ParseStatus::done) return end(Reason::peerClosed);
    if (progress != ParseStatus::needMore) end(Reason::badMessage);
  }

  Discovery& discovery_;
  bool watch_;
  http::Reader reader_{http::Reader::Kind::response, kLongestList};
  http::ChunkDecoder chunks_;
  std::string lines_;
  Loop::TimerId silence_;
  bool open_ = false;
  bool first_ = true;
  bool dropped_ = false;
};

Discovery::Discovery(Loop& loop, Exchange& exchange, settings::NameTable& zones,
                     Poco::Net::SocketAddress address, std::uint64_t index)
    : loop_(loop), exchange_(exchange), zones_(zones), address_(std::move(address)), index_(index) {}

Discovery::~Discovery() = default;

void Discovery::watch() {
  const auto before = std::exchange(watch_, nullptr);
  if (before) before->drop();
  watch_ = call(true);
}

void Discovery::list() { call(false); }

// What was asked for and not yet told is asked for anew, so that nothing of it is lost on the way.
void Discovery::moveTo(const Poco::Net::SocketAddress& address) {
  if (address == address_ && watch_) return;
  address_ = address;
  bool listing = false;
  const auto calls = calls_;
  for (const auto& [at, call] : calls) {
    listing = listing || call != watch_;
    call->drop();
  }
  watch();
  if (listing) list();
}

// An empty list is doubted, and so is no list to hand on.
void Discovery::keep(const Listed& listed) {
  if (listed.listing != Listing::changes && !listed.entries.empty()) entries_.clear();
  for (const auto& entry : listed.entries) {
    const auto name = entry->getValue<std::string>("name");
    if (entry->getValue<std::string>("status") == "removed") {
      entries_.erase(name);
    } else if (entry->has("address") || !entries_.contains(name)) {
      entries_[name] = entry;
    } else {
      entries_[name]->set("status", entry->get("status"));
    }
  }
}

std::string Discovery::state() const {
  Object::Ptr list = new Object;
  Array::Ptr endpoints = new Array;
  for (const auto& [name, entry] : entries_) endpoints->add(entry);
  list->set("index", index_);
  list->set("snapshot", true);
  list->set("endpoints", endpoints);
  std::ostringstream text;
  list->stringify(text);
  return text.str();
}

std::shared_ptr<DiscoveryCall> Discovery::call(bool watch) {
  ++loop_.counters.discoveryCalls;
  try {
    Poco::Net::StreamSocket socket(address_.family());
    auto made = std::make_shared<DiscoveryCall>(*this, watch, socket, address_.toString());
    calls_.emplace(made.get(), made);
    made->ask(address_);
    return made;
  } catch (const Poco::Exception& error) {
    ++loop_.counters.outOfDescriptors;
    Line(Level::warning) << "no_socket what=\"" << error.displayText() << '"';
    // In a turn of its own: the balancer is asking.
    loop_.soon([this] { exchange_.discoveryFailed(); });
    return nullptr;
  }
}

bool Discovery::told(const std::string& json, bool watch, bool first) {
  try {
    std::uint64_t index = 0;
    const Listed listed = readList(Poco::JSON::Parser().parse(json), zones_, loop_, index);
    // Guards against a list and a watch that overtake each other; a watch's first line may start anew.
    if (index < index_ && !(watch && first)) return true;
    index_ = index;
    keep(listed);
    exchange_.serversListed(listed);
    return true;
  } catch (const std::exception& error) {
    Line(Level::warning) << "bad_list what=\"" << error.what() << '"';
    return false;
  }
}

}  // namespace rackroute::sidecar
