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

constexpr Span kSilenceTimeout = 4500ms;  // a watch sends a line at least every 2 s
constexpr std::size_t kMaxListBytes = 1 << 20;

Lifecycle lifecycle(const std::string& status) {
  if (status == "up") return Lifecycle::serving;
  if (status == "draining") return Lifecycle::draining;
  if (status == "removed") return Lifecycle::removed;
  throw std::invalid_argument("unknown server status: " + status);
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
  throw std::invalid_argument("not a numeric address with port: '" + text + "'");
}

ServerList readList(const Poco::Dynamic::Var& json, settings::NameTable& zones, const Loop& loop,
                    std::uint64_t& index) {
  const auto object = json.extract<Object::Ptr>();
  ServerList list;
  const auto version = object->getValue<std::uint64_t>("index");
  list.kind = object->getValue<bool>("snapshot") ? ServerListKind::complete : ServerListKind::changes;
  const Array::Ptr entries = object->getArray("endpoints");
  if (entries.isNull()) throw std::invalid_argument("list has no endpoints");
  for (const auto& item : *entries) {
    const auto entry = item.extract<Object::Ptr>();
    ListedServer server;
    server.id = settings::serverId(entry->getValue<std::string>("name"));
    server.lifecycle = lifecycle(entry->getValue<std::string>("status"));
    server.zone = {zones.id(entry->optValue<std::string>("zone", ""))};
    server.cell = {entry->optValue<std::int64_t>("group", 0)};
    server.size = entry->optValue("weight", 1.0);
    const auto since = entry->optValue<std::int64_t>("since_ms", 0);
    if (since > 0)
      server.startedAt =
          loop.sinceStart(std::chrono::system_clock::time_point(std::chrono::milliseconds(since)));
    if (server.lifecycle == Lifecycle::serving || entry->has("address"))
      list.addresses.emplace_back(server.id, numericAddress(entry->getValue<std::string>("address")));
    list.servers.push_back(server);
    list.entries.push_back(entry);
  }
  index = version;
  return list;
}

class DiscoveryCall : public Connection {
 public:
  DiscoveryCall(Discovery& discovery, bool watch, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(discovery.loop_, "discovery", std::move(socket), std::move(peer)),
        discovery_(discovery),
        watch_(watch) {}

  void request(const Poco::Net::SocketAddress& address) {
    restartSilenceTimer();
    http::GatherBuffer pieces;
    std::string head = "GET /discovery/hosts";
    if (watch_) head += "?watch=1&after=" + std::to_string(discovery_.index_);
    pieces.text(head + " HTTP/1.1\r\nHost: " + address.toString() +
                (watch_ ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
    dial(address);
    send(std::move(pieces));
  }
  /// Closes the connection without reporting a failure.
  void endQuietly() {
    quiet_ = true;
    end(CloseReason::done);
  }

 protected:
  void received() override {
    restartSilenceTimer();
    watch_ ? readWatchLines() : readListResponse();
  }
  void closed(CloseReason) override {
    loop_.cancel(silenceTimer_);
    if (discovery_.watch_.get() == this) discovery_.watch_.reset();
    discovery_.calls_.erase(this);
    if (!quiet_) discovery_.dispatcher_.discoveryFailed();
  }

 private:
  // Detects a discovery service that became unreachable while its connection stays open.
  void restartSilenceTimer() {
    loop_.cancel(silenceTimer_);
    silenceTimer_ = loop_.after(kSilenceTimeout, [this] { end(CloseReason::silent); });
  }
  void readListResponse() {
    const ParseStatus progress = reader_.read(in_);
    if (progress == ParseStatus::needMore) return;
    if (progress != ParseStatus::done) return end(CloseReason::badMessage);
    const http::Message response = reader_.take(in_);
    if (response.status() != 200) return end(CloseReason::refused);
    if (!discovery_.applyList(std::string(response.body()), false, false))
      return end(CloseReason::badMessage);
    endQuietly();
  }
  void readWatchLines() {
    if (!headRead_) {
      const ParseStatus progress = reader_.readHead(in_);
      if (progress == ParseStatus::needMore) return;
      if (progress != ParseStatus::done) return end(CloseReason::badMessage);
      const http::Message head = reader_.takeHead(in_);
      if (head.status() != 200 || !head.chunked()) return end(CloseReason::refused);
      headRead_ = true;
    }
    std::size_t used = 0;
    const ParseStatus progress = chunks_.read(in_, used, buffer_, kMaxListBytes);
    in_.erase(0, used);
    for (std::size_t end; (end = buffer_.find('\n')) != std::string::npos;) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.empty()) continue;
      if (!discovery_.applyList(line, true, std::exchange(firstLine_, false)))
        return this->end(CloseReason::badMessage);
      if (ended()) return;
    }
    if (progress == ParseStatus::done) return end(CloseReason::peerClosed);
    if (progress != ParseStatus::needMore) end(CloseReason::badMessage);
  }

  Discovery& discovery_;
  bool watch_;
  http::Reader reader_{http::Reader::Kind::response, kMaxListBytes};
  http::ChunkDecoder chunks_;
  std::string buffer_;
  Loop::TimerId silenceTimer_;
  bool headRead_ = false;
  bool firstLine_ = true;
  bool quiet_ = false;
};

Discovery::Discovery(Loop& loop, Dispatcher& dispatcher, settings::NameTable& zones,
                     Poco::Net::SocketAddress address, std::uint64_t index)
    : loop_(loop), dispatcher_(dispatcher), zones_(zones), address_(std::move(address)), index_(index) {}

Discovery::~Discovery() = default;

void Discovery::watch() {
  const auto before = std::exchange(watch_, nullptr);
  if (before) before->endQuietly();
  watch_ = call(true);
}

void Discovery::list() { call(false); }

// Repeats pending calls at the new address.
void Discovery::moveTo(const Poco::Net::SocketAddress& address) {
  if (address == address_ && watch_) return;
  address_ = address;
  bool listing = false;
  const auto calls = calls_;
  for (const auto& [at, call] : calls) {
    listing = listing || call != watch_;
    call->endQuietly();
  }
  watch();
  if (listing) list();
}

// An empty complete list is not trusted, so it does not replace the stored entries.
void Discovery::storeList(const ServerList& list) {
  if (list.kind != ServerListKind::changes && !list.entries.empty()) entries_.clear();
  for (const auto& entry : list.entries) {
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
    made->request(address_);
    return made;
  } catch (const Poco::Exception& error) {
    ++loop_.counters.outOfDescriptors;
    LogLine(Level::warning) << "no_socket what=\"" << error.displayText() << '"';
    // Deferred, as the balancer is making this call.
    loop_.post([this] { dispatcher_.discoveryFailed(); });
    return nullptr;
  }
}

bool Discovery::applyList(const std::string& json, bool watch, bool first) {
  try {
    std::uint64_t index = 0;
    const ServerList list = readList(Poco::JSON::Parser().parse(json), zones_, loop_, index);
    // Ignores an outdated list when a call and the watch overtake each other. The first line of a watch may
    // have a lower index, as discovery may have restarted.
    if (index < index_ && !(watch && first)) return true;
    index_ = index;
    storeList(list);
    dispatcher_.serversListed(list);
    return true;
  } catch (const std::exception& error) {
    LogLine(Level::warning) << "bad_list what=\"" << error.what() << '"';
    return false;
  }
}

}  // namespace rackroute::sidecar
