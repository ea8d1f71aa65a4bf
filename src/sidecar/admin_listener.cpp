#include "sidecar/admin_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "http/message.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/dispatcher.hpp"
#include "sidecar/fleet_transport.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;

constexpr Span kRequestTimeout = 5s;
constexpr std::size_t kMaxConnections = 32;
constexpr int kMaxAcceptsPerTurn = 16;
constexpr int kListenBacklog = 128;
constexpr std::size_t kMaxServerIdBytes = 256;
constexpr std::string_view kDisablePath = "/ops/servers/down/";
constexpr std::string_view kEnablePath = "/ops/servers/up/";

std::string escapeLabel(std::string_view label) {
  std::string text;
  for (const char c : label) {
    if (c == '\\' || c == '"') text += '\\';
    text += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return text;
}

}  // namespace

class AdminConnection : public Connection {
 public:
  AdminConnection(AdminListener& owner, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(owner.loop_, "admin", std::move(socket), std::move(peer)), owner_(owner) {}

  void start() {
    timer_ = loop_.after(kRequestTimeout,
                         [this] { respond("408 Request Timeout", "request not received within 5 s\n"); });
    open();
    readNow();
  }
  [[nodiscard]] bool requestRead() const { return requestRead_; }

 protected:
  void received() override {
    if (requestRead_) return in_.clear();
    const ParseStatus progress = reader_.read(in_);
    if (progress == ParseStatus::needMore) return;
    if (progress == ParseStatus::headTooLong)
      return respond("431 Request Header Fields Too Large", "request head too long\n");
    if (progress == ParseStatus::bodyTooLong)
      return respond("413 Content Too Large", "request body too long\n");
    if (progress != ParseStatus::done) return respond("400 Bad Request", "malformed request\n");
    ++messages_;
    requestRead_ = true;
    const Message request = reader_.take(in_);
    in_.clear();
    const std::string_view target = request.startLinePart(1);
    handleRequest(request.startLinePart(0), target.substr(0, target.find('?')));
  }
  void closed(CloseReason) override {
    loop_.cancel(timer_);
    owner_.connections_.remove_if([this](const auto& connection) { return connection.get() == this; });
  }

 private:
  void handleRequest(std::string_view method, std::string_view path) {
    const bool disable = path.substr(0, kDisablePath.size()) == kDisablePath;
    if (disable || path.substr(0, kEnablePath.size()) == kEnablePath) {
      if (method != "POST") return respond("405 Method Not Allowed", "use POST\n", "Allow: POST\r\n");
      return setServerDisabled(path.substr(disable ? kDisablePath.size() : kEnablePath.size()), disable);
    }
    const bool readiness = path == "/ops/readiness";
    const bool fleet = path == "/ops/fleet" && owner_.fleet_ != nullptr;
    if (!readiness && !fleet && path != "/ops/stats") return respond("404 Not Found", "unknown path\n");
    if (method != "GET") return respond("405 Method Not Allowed", "use GET\n", "Allow: GET\r\n");
    if (fleet) return respond("200 OK", owner_.fleet_->json(), "Content-Type: application/json\r\n");
    if (!readiness) return respond("200 OK", owner_.metrics(), "Content-Type: text/plain; version=0.0.4\r\n");
    if (owner_.ready_) return respond("200 OK", "ready\n");
    respond("503 Service Unavailable", "not ready\n");
  }
  void setServerDisabled(std::string_view name, bool disabled) {
    std::string id;
    try {
      Poco::URI::decode(std::string(name.substr(0, 3 * kMaxServerIdBytes)), id);
    } catch (const Poco::Exception&) {
      return respond("400 Bad Request", "malformed server name\n");
    }
    if (id.empty() || id.size() > kMaxServerIdBytes) return respond("404 Not Found", "unknown server\n");
    const ServerId server = settings::serverId(id);
    if (!owner_.dispatcher_.wasEverListed(server))
      return respond("404 Not Found", "unknown server: never listed by discovery\n");
    LogLine(Level::info) << "maintenance server=" << id << (disabled ? " down" : " up");
    const auto self = std::static_pointer_cast<AdminConnection>(shared_from_this());
    owner_.maintain_(server, disabled, [self, disabled](bool stored) {
      if (!stored) return self->respond("503 Service Unavailable", "change could not be stored, try again\n");
      self->respond("200 OK", disabled ? "taken out\n" : "in use\n");
    });
  }
  void respond(std::string_view status, const std::string& text, std::string_view fields = {}) {
    if (ended() || finishing()) return;
    requestRead_ = true;
    loop_.cancel(timer_);
    http::GatherBuffer pieces;
    std::string header = "HTTP/1.1 ";
    header.append(status).append("\r\n").append(fields);
    pieces.text(header + "Content-Length: " + std::to_string(text.size()) + "\r\nConnection: close\r\n\r\n" +
                text);
    send(std::move(pieces));
    finish(CloseReason::done);
  }

  AdminListener& owner_;
  http::Reader reader_{http::Reader::Kind::request};
  Loop::TimerId timer_;
  bool requestRead_ = false;
};

AdminListener::AdminListener(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings,
                             Maintenance maintain)
    : loop_(loop), dispatcher_(dispatcher), settings_(settings), maintain_(std::move(maintain)) {}

AdminListener::~AdminListener() = default;

void AdminListener::listen(const Poco::Net::SocketAddress& address) {
  listener_.bind(address, true, false);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  loop_.addEventHandler(listener_, Poco::Observer<AdminListener, Poco::Net::ReadableNotification>(
                                       *this, &AdminListener::accept));
}

void AdminListener::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.runGuarded([this] {
    for (int i = 0; i < kMaxAcceptsPerTurn && acceptOne(); ++i) continue;
  });
}

bool AdminListener::acceptOne() {
  try {
    Poco::Net::SocketAddress peer;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
    connections_.push_back(std::make_shared<AdminConnection>(*this, socket, peer.toString()));
    const auto connection = connections_.back();
    connection->start();
  } catch (const Poco::Exception& error) {
    if (error.code() != EMFILE && error.code() != ENFILE) return false;
    ++loop_.counters.outOfDescriptors;
    return dispatcher_.freeDescriptor();
  }
  // Evicts the oldest connection without a complete request; one that waits for its response is kept.
  if (connections_.size() <= kMaxConnections) return true;
  const auto idle =
      std::find_if(connections_.begin(), connections_.end(), [](const auto& c) { return !c->requestRead(); });
  if (idle != connections_.end()) std::shared_ptr(*idle)->end(CloseReason::descriptors);
  return true;
}

std::string AdminListener::metrics() const {
  const Counters& counters = loop_.counters;
  std::ostringstream out;
  const auto header = [&](std::string_view name, std::string_view type, std::string_view help) {
    out << "# HELP edge_lb_" << name << ' ' << help << "\n# TYPE edge_lb_" << name << ' ' << type << '\n';
  };
  header("operations", "counter", "Requests answered since the start, by class and outcome.");
  for (std::size_t i = 0; i < counters.finalResults.size(); ++i) {
    const auto line = [&](std::string_view status, std::uint64_t count) {
      out << "edge_lb_operations{priority=\"" << escapeLabel(settings_.useCases.all()[i]) << "\",status=\""
          << status << "\"} " << count << '\n';
    };
    line("fulfilled", counters.finalResults[i].completed);
    line("throttled", counters.finalResults[i].rejected);
    line("faulted", counters.finalResults[i].failed);
  }
  const auto metric = [&](std::string_view name, std::string_view type, std::string_view help, auto value) {
    header(name, type, help);
    out << "edge_lb_" << name << ' ' << value << '\n';
  };
  metric("relayed", "counter", "Attempts written whole to servers since the start.", counters.relayed);
  metric("open_requests", "gauge", "Requests taken and not ended.", dispatcher_.openQueries());
  metric("registry_entries", "gauge", "Servers in discovery's list.", dispatcher_.listedServers());
  metric("out_of_rotation", "gauge", "Listed servers that get nothing now.", dispatcher_.excludedServers());
  if (fleet_ != nullptr) fleet_->writeMetrics(out);
  return out.str();
}

}  // namespace rackroute::sidecar
