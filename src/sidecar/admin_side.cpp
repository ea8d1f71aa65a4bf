#include "sidecar/admin_side.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "http/message.hpp"
#include "sidecar/connection.hpp"
#include "sidecar/exchange.hpp"
#include "sidecar/fleet_side.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

using namespace std::chrono_literals;
using http::Message;
using http::ParseStatus;

constexpr Span kWholeCall = 5s;        // for a call to come whole; above what slow callers were seen to take
constexpr std::size_t kMostOpen = 32;  // connections; a few operators, a scraper and some that say nothing
constexpr int kAccepted = 16;          // connections a turn; queries wait no longer for them
constexpr int kBacklog = 128;          // connections; a burst of callers waits here for some turns
constexpr std::size_t kLongestId = 256;  // bytes; names are far shorter
constexpr std::string_view kDown = "/ops/servers/down/";
constexpr std::string_view kUp = "/ops/servers/up/";

std::string escaped(std::string_view label) {
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
  AdminConnection(AdminSide& side, Poco::Net::StreamSocket socket, std::string peer)
      : Connection(side.loop_, "admin", std::move(socket), std::move(peer)), side_(side) {}

  void start() {
    timer_ = loop_.in(kWholeCall, [this] { answer("408 Request Timeout", "the call did not come whole\n"); });
    open();
    readNow();
  }
  [[nodiscard]] bool asked() const { return asked_; }

 protected:
  void received() override {
    if (asked_) return in_.clear();
    const ParseStatus progress = reader_.read(in_);
    if (progress == ParseStatus::needMore) return;
    if (progress == ParseStatus::headTooLong)
      return answer("431 Request Header Fields Too Large", "the head is too long\n");
    if (progress == ParseStatus::bodyTooLong)
      return answer("413 Content Too Large", "no call here has such a body\n");
    if (progress != ParseStatus::done) return answer("400 Bad Request", "the call can't be read\n");
    ++messages_;
    asked_ = true;
    const Message call = reader_.take(in_);
    in_.clear();
    const std::string_view target = call.startLinePart(1);
    serve(call.startLinePart(0), target.substr(0, target.find('?')));
  }
  void gone(Reason) override {
    loop_.cancel(timer_);
    side_.connections_.remove_if([this](const auto& connection) { return connection.get() == this; });
  }

 private:
  void serve(std::string_view method, std::string_view path) {
    const bool down = path.substr(0, kDown.size()) == kDown;
    if (down || path.substr(0, kUp.size()) == kUp) {
      if (method != "POST") return answer("405 Method Not Allowed", "POST it\n", "Allow: POST\r\n");
      return maintain(path.substr(down ? kDown.size() : kUp.size()), down);
    }
    const bool readiness = path == "/ops/readiness";
    const bool fleet = path == "/ops/fleet" && side_.fleet_ != nullptr;
    if (!readiness && !fleet && path != "/ops/stats") return answer("404 Not Found", "no such call\n");
    if (method != "GET") return answer("405 Method Not Allowed", "GET it\n", "Allow: GET\r\n");
    if (fleet) return answer("200 OK", side_.fleet_->json(), "Content-Type: application/json\r\n");
    if (!readiness) return answer("200 OK", side_.figures(), "Content-Type: text/plain; version=0.0.4\r\n");
    if (side_.ready_) return answer("200 OK", "ready\n");
    answer("503 Service Unavailable", "not ready\n");
  }
  void maintain(std::string_view name, bool out) {
    std::string id;
    try {
      Poco::URI::decode(std::string(name.substr(0, 3 * kLongestId)), id);
    } catch (const Poco::Exception&) {
      return answer("400 Bad Request", "the server's name can't be read\n");
    }
    if (id.empty() || id.size() > kLongestId) return answer("404 Not Found", "no such server\n");
    const ServerId server = settings::serverId(id);
    if (!side_.exchange_.known(server)) return answer("404 Not Found", "no list ever named that server\n");
    Line(Level::info) << "maintenance server=" << id << (out ? " down" : " up");
    const auto self = std::static_pointer_cast<AdminConnection>(shared_from_this());
    side_.maintain_(server, out, [self, out](bool held) {
      if (!held) return self->answer("503 Service Unavailable", "it could not be kept, try again\n");
      self->answer("200 OK", out ? "taken out\n" : "in use\n");
    });
  }
  void answer(std::string_view status, const std::string& text, std::string_view fields = {}) {
    if (ended() || finishing()) return;
    asked_ = true;
    loop_.cancel(timer_);
    http::GatherBuffer pieces;
    std::string head = "HTTP/1.1 ";
    head.append(status).append("\r\n").append(fields);
    pieces.text(head + "Content-Length: " + std::to_string(text.size()) + "\r\nConnection: close\r\n\r\n" +
                text);
    send(std::move(pieces));
    finish(Reason::done);
  }

  AdminSide& side_;
  http::Reader reader_{http::Reader::Kind::request};
  Loop::TimerId timer_;
  bool asked_ = false;  // the call was read whole
};

AdminSide::AdminSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told,
                     Maintenance maintain)
    : loop_(loop), exchange_(exchange), told_(told), maintain_(std::move(maintain)) {}

AdminSide::~AdminSide() = default;

void AdminSide::listen(const Poco::Net::SocketAddress& address) {
  listener_.bind(address, true, false);
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  loop_.addEventHandler(
      listener_, Poco::Observer<AdminSide, Poco::Net::ReadableNotification>(*this, &AdminSide::accept));
}

void AdminSide::accept(Poco::Net::ReadableNotification* event) {
  event->release();
  loop_.guarded([this] {
    for (int i = 0; i < kAccepted && acceptOne(); ++i) continue;
  });
}

bool AdminSide::acceptOne() {
  try {
    Poco::Net::SocketAddress peer;
    const Poco::Net::StreamSocket socket = listener_.acceptConnection(peer);
    connections_.push_back(std::make_shared<AdminConnection>(*this, socket, peer.toString()));
    const auto made = connections_.back();
    made->start();
  } catch (const Poco::Exception& error) {
    if (error.code() != EMFILE && error.code() != ENFILE) return false;
    ++loop_.counters.outOfDescriptors;
    return exchange_.freeDescriptor();
  }
  // Guards against callers that connect and say nothing: the one that has been silent for longest goes, never
  // one that waits for its answer.
  if (connections_.size() <= kMostOpen) return true;
  const auto silent =
      std::find_if(connections_.begin(), connections_.end(), [](const auto& c) { return !c->asked(); });
  if (silent != connections_.end()) std::shared_ptr(*silent)->end(Reason::descriptors);
  return true;
}

std::string AdminSide::figures() const {
  const Counters& counters = loop_.counters;
  std::ostringstream out;
  const auto head = [&](std::string_view name, std::string_view type, std::string_view help) {
    out << "# HELP edge_lb_" << name << ' ' << help << "\n# TYPE edge_lb_" << name << ' ' << type << '\n';
  };
  head("operations", "counter", "Requests answered since the start, by class and outcome.");
  for (std::size_t i = 0; i < counters.finals.size(); ++i) {
    const auto line = [&](std::string_view status, std::uint64_t count) {
      out << "edge_lb_operations{priority=\"" << escaped(told_.useCases.all()[i]) << "\",status=\"" << status
          << "\"} " << count << '\n';
    };
    line("fulfilled", counters.finals[i].completed);
    line("throttled", counters.finals[i].rejected);
    line("faulted", counters.finals[i].failed);
  }
  const auto figure = [&](std::string_view name, std::string_view type, std::string_view help, auto value) {
    head(name, type, help);
    out << "edge_lb_" << name << ' ' << value << '\n';
  };
  figure("relayed", "counter", "Attempts written whole to servers since the start.", counters.relayed);
  figure("open_requests", "gauge", "Requests taken and not ended.", exchange_.open());
  figure("registry_entries", "gauge", "Servers in discovery's list.", exchange_.listed());
  figure("out_of_rotation", "gauge", "Listed servers that get nothing now.", exchange_.avoided());
  if (fleet_ != nullptr) fleet_->figures(out);
  return out.str();
}

}  // namespace rackroute::sidecar
