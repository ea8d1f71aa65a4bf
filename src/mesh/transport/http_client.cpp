#include "mesh/transport/http_client.hpp"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using http::ParseStatus;
using sidecar::Reason;

constexpr Span kKeepAliveMargin = 700ms;  // before the end that a peer announced; its clock and a trip
constexpr int kProbeAfter = 1;            // seconds of silence before the kernel asks whether a peer lives

/// The seconds of Keep-Alive: timeout=N, or of a bare number.
std::optional<Span> promisedIdle(const http::Message& answer) {
  const auto field = answer.field("Keep-Alive");
  if (!field) return std::nullopt;
  std::string_view text = *field;
  if (const std::size_t at = text.find("timeout="); at != text.npos) text.remove_prefix(at + 8);
  int seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

class HttpClient::ClientConnection : public sidecar::Connection {
 public:
  ClientConnection(HttpClient& httpClient, Address to)
      : Connection(httpClient.loop_, "http client", Poco::Net::StreamSocket(), to.value),
        httpClient_(httpClient),
        to_(std::move(to)) {}

  void connect(Span sendBy) {
    sendBy_ = sendBy;
    timer_ = loop_.at(std::min(loop_.now() + httpClient_.terms_.dial, sendBy), [this] {
      timer_ = {};
      end(Reason::dialTimeout);
    });
    dial(Poco::Net::SocketAddress(to_.value));
  }
  void request(std::uint64_t number, http::GatherBuffer pieces, std::string attempt, bool headOnly,
               Span until, Done done) {
    number_ = number;
    attempt_ = std::move(attempt);
    headOnly_ = headOnly;
    done_ = std::move(done);
    until_ = until;
    skipped_ = false;
    keeps_ = true;
    writtenBefore_ = bytesWritten();
    reader_ = http::Reader(http::Reader::Kind::response, httpClient_.terms_.mostAnswer);
    head_.reset();
    held_.clear();
    send(std::move(pieces));
    if (!dialing() && !ended()) watch();
  }
  void keep(Span idle) {
    loop_.cancel(timer_);
    timer_ = loop_.in(idle, [this] {
      timer_ = {};
      end(Reason::idle);
    });
  }
  void cancel(std::uint64_t number) {
    if (number != number_ || !done_ || ended()) return;
    done_ = nullptr;
    end(Reason::cancelled);
  }
  [[nodiscard]] const Address& to() const { return to_; }
  [[nodiscard]] Span idle() const { return idle_; }

 protected:
  void opened() override {
    // Guards against a request that is sent after its sender has given it up, when this turn comes late.
    if (loop_.now() >= sendBy_) return end(Reason::dialTimeout);
    up_ = true;
    loop_.cancel(timer_);
    if (httpClient_.terms_.unread > Span{0}) {
      const int milliseconds = static_cast<int>(httpClient_.terms_.unread / 1ms);
      const int one = 1;
      const int seconds = kProbeAfter;
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
      ::setsockopt(descriptor(), SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
      ::setsockopt(descriptor(), IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    }
    if (done_) watch();
  }
  void received() override {
    if (!done_) return end(Reason::unreadAnswer);  // bytes that nobody asked for
    for (;;) {
      const ParseStatus progress = readAnswer();
      if (progress == ParseStatus::needMore) return;
      if (progress != ParseStatus::done) return spoil();
      auto answer = takeAnswer();
      // Guards against an answer to an earlier request that comes in this one's place.
      if (!names(*answer)) {
        skipped_ = true;
        if (!answer->keepsAlive()) return spoil();
        continue;
      }
      ++messages_;
      // Guards against a server that answered before it had the whole body, and reads on later: what is sent
      // next would come in the place of the rest.
      keeps_ = answer->keepsAlive() && in_.empty() && !skipped_ && allWritten();
      idle_ = httpClient_.terms_.idle;
      if (const auto promised = promisedIdle(*answer)) idle_ = std::min(idle_, *promised - kKeepAliveMargin);
      if (idle_ <= Span{0}) keeps_ = false;
      loop_.cancel(timer_);
      tell(RequestOutcome::answered, std::move(answer));
      if (keeps_) return httpClient_.release(std::static_pointer_cast<ClientConnection>(shared_from_this()));
      return end(Reason::closeAsked);
    }
  }
  void gone(Reason reason) override {
    loop_.cancel(timer_);
    // Without a length, the peer's orderly end is the answer's; a reset is not.
    const bool whole = reason == Reason::peerClosed && head_ && body_.untilClose();
    if (done_ && whole && names(*head_)) tell(RequestOutcome::answered, takeAnswer());
    if (done_) tell(outcome(reason), nullptr);
    httpClient_.forget(this);
  }

 private:
  /// The head of the answer proper, then its body; done: takeAnswer() has both.
  ParseStatus readAnswer() {
    while (!head_) {
      const ParseStatus progress = reader_.readHead(in_);
      if (progress != ParseStatus::done) return progress;
      auto head = std::make_shared<http::Message>(reader_.takeHead(in_));
      if (head->status() < 200) continue;  // word that an answer will come
      if (!headOnly_ && hidesItsEnd(*head)) return ParseStatus::malformed;
      body_ = headOnly_
                  ? http::BodyReader()
                  : http::BodyReader(*head, http::Reader::Kind::response, httpClient_.terms_.mostAnswer);
      head_ = std::move(head);
    }
    return body_.read(in_, held_);
  }
  std::shared_ptr<const http::Message> takeAnswer() {
    const auto answer = std::exchange(head_, nullptr);
    if (!headOnly_) answer->setBody(std::exchange(held_, {}));
    return answer;
  }
  /// A success without a length, other than a 200: http::Body reads only that one until the connection ends.
  static bool hidesItsEnd(const http::Message& head) {
    const bool success = head.status() > 200 && head.status() < 300 && head.status() != 204;
    return success && !head.length() && !head.chunked();
  }
  [[nodiscard]] bool names(const http::Message& answer) const {
    return attempt_.empty() || answer.field(kAttempt) == std::string_view(attempt_);
  }
  void spoil() {
    why_ = "answer";
    spoilt_ = true;
    end(Reason::badMessage);
  }
  [[nodiscard]] RequestOutcome outcome(Reason reason) const {
    if (spoilt_) return RequestOutcome::spoilt;
    if (!up_ || bytesWritten() == writtenBefore_) return RequestOutcome::notSent;
    if (!allWritten()) return RequestOutcome::notWhole;
    return reason == Reason::executionTimeout ? RequestOutcome::silent : RequestOutcome::broken;
  }
  void watch() {
    loop_.cancel(timer_);
    timer_ = loop_.at(std::max(until_, loop_.now()), [this] {
      timer_ = {};
      end(Reason::executionTimeout);
    });
  }
  void tell(RequestOutcome how, std::shared_ptr<const http::Message> answer) {
    loop_.soon(
        [done = std::exchange(done_, nullptr), how, answer = std::move(answer)] { done(how, answer); });
  }

  HttpClient& httpClient_;
  Address to_;
  http::Reader reader_{http::Reader::Kind::response};
  std::shared_ptr<http::Message> head_;  // of the answer that is being read
  http::BodyReader body_;                // likewise
  std::string held_;                     // what has come of it
  Done done_;
  std::string attempt_;
  sidecar::Loop::TimerId timer_;
  Span until_{};
  Span sendBy_ = Span::max();
  Span idle_{};
  std::uint64_t number_ = 0;         // of the request under way
  std::uint64_t writtenBefore_ = 0;  // bytes of earlier requests
  bool up_ = false;
  bool headOnly_ = false;
  bool skipped_ = false;
  bool spoilt_ = false;
  bool keeps_ = true;
};

HttpClient::~HttpClient() = default;

void HttpClient::InFlight::cancel() {
  if (const auto connection = connection_.lock()) connection->cancel(number_);
}

HttpClient::InFlight HttpClient::send(const Address& to, http::GatherBuffer request, std::string attempt,
                                      bool headOnly, Span until, Done done, Span sendBy) {
  const std::uint64_t number = ++requests_;
  for (;;) {
    const auto kept = idle_.find(to);
    if (kept == idle_.end() || kept->second.empty()) break;
    const std::shared_ptr<ClientConnection> way =
        kept->second.back();  // the one used last: the others may end of idleness
    kept->second.pop_back();
    if (way->ended()) continue;
    busy_[way.get()] = way;
    if (way->stale()) {
      way->end(Reason::idle);
      continue;
    }
    way->request(number, std::move(request), std::move(attempt), headOnly, until, std::move(done));
    return {way, number};
  }
  ++dialled_;
  const auto way = std::make_shared<ClientConnection>(*this, to);
  busy_[way.get()] = way;
  way->connect(std::max(sendBy, loop_.now()));
  way->request(number, std::move(request), std::move(attempt), headOnly, until, std::move(done));
  return {way, number};
}

void HttpClient::release(const std::shared_ptr<ClientConnection>& way) {
  auto& kept = idle_[way->to()];
  if (kept.size() >= terms_.mostIdle) return way->end(Reason::crowded);
  busy_.erase(way.get());
  kept.push_back(way);
  way->keep(way->idle());
}

void HttpClient::forget(const ClientConnection* way) {
  const auto kept = idle_.find(way->to());
  if (kept != idle_.end()) {
    auto& list = kept->second;
    list.erase(
        std::remove_if(list.begin(), list.end(), [&](const auto& other) { return other.get() == way; }),
        list.end());
    if (list.empty()) idle_.erase(kept);
  }
  busy_.erase(way);
}

}  // namespace rackroute::mesh
