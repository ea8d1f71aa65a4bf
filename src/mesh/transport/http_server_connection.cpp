#include "mesh/transport/http_server_connection.hpp"

#include <utility>

namespace rackroute::mesh {
namespace {

using http::ParseStatus;
using sidecar::Reason;

constexpr std::size_t kMostAhead = 64 * 1024;  // bytes of further requests read while one is at work

}  // namespace

std::string_view phraseOf(std::uint32_t status) {
  switch (status) {
    case 200:
      return "200 OK";
    case 400:
      return "400 Bad Request";
    case 404:
      return "404 Not Found";
    case 405:
      return "405 Method Not Allowed";
    case 408:
      return "408 Request Timeout";
    case 409:
      return "409 Conflict";
    case 413:
      return "413 Content Too Large";
    case 431:
      return "431 Request Header Fields Too Large";
    case 502:
      return "502 Bad Gateway";
    case 503:
      return "503 Service Unavailable";
    case 504:
      return "504 Gateway Timeout";
    default:
      return "500 Internal Server Error";
  }
}

HttpServerConnection::HttpServerConnection(sidecar::Loop& loop, std::shared_ptr<Shared> shared,
                                           Poco::Net::StreamSocket socket, std::string peer)
    : Connection(loop, "connection", std::move(socket), std::move(peer)),
      shared_(std::move(shared)),
      reader_(http::Reader::Kind::request, shared_->mostBody) {}

void HttpServerConnection::start() {
  shared_->connections[this] = std::static_pointer_cast<HttpServerConnection>(shared_from_this());
  await();
  open();
  readNow();  // most often the request is there already
}

// One timer: for the next request's first byte, then for its head, then for its body.
void HttpServerConnection::await() {
  loop_.cancel(timer_);
  Span wait = shared_->idle;
  const bool begun = reader_.hasInput(in_);
  if (begun) wait = headerSeen_ ? shared_->body : shared_->header;
  timer_ = loop_.in(wait, [this, begun] {
    timer_ = {};
    if (begun) return refuse(408);
    finish(Reason::idle);
  });
}

void HttpServerConnection::received() {
  if (request_) {
    if (in_.size() > kMostAhead) pauseReading(true);
    return;
  }
  const bool begun = begunAt_ >= Span{0};
  const ParseStatus progress = reader_.read(in_);
  switch (progress) {
    case ParseStatus::needMore: {
      const bool headNow = in_.find("\r\n\r\n") != std::string::npos;
      if (!begun || headNow != headerSeen_) {
        begunAt_ = loop_.now();
        headerSeen_ = headNow;
        await();
      }
      return;
    }
    case ParseStatus::done:
      break;
    case ParseStatus::malformed:
      return refuse(400);
    case ParseStatus::headTooLong:
      return refuse(431);
    case ParseStatus::bodyTooLong:
      return refuse(413);
  }
  loop_.cancel(timer_);
  begunAt_ = Span{-1};
  headerSeen_ = false;
  request_ = std::make_shared<const http::Message>(reader_.take(in_));
  ++messages_;
  shared_->asked(std::static_pointer_cast<HttpServerConnection>(shared_from_this()), request_);
}

void HttpServerConnection::refuse(std::uint32_t status) {
  http::GatherBuffer pieces;
  pieces.text("HTTP/1.1 " + std::string(phraseOf(status)) +
              "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  in_.clear();
  send(std::move(pieces));
  finish(Reason::badMessage);
}

bool HttpServerConnection::closes() const { return shared_->closing || !request_->keepsAlive(); }

void HttpServerConnection::answered(http::GatherBuffer pieces, bool close) {
  request_.reset();
  send(std::move(pieces));
  if (ended()) return;
  if (close) return finish(Reason::done);
  await();
  pauseReading(false);
  // The next request may be there already; in a turn of its own, as this is often a call out of received().
  if (!in_.empty()) {
    loop_.soon([self = std::static_pointer_cast<HttpServerConnection>(shared_from_this())] {
      if (!self->ended() && !self->finishing() && !self->request_) self->received();
    });
  }
}

void HttpServerConnection::answer(std::uint32_t status, std::string_view fields, std::string_view body) {
  if (!request_ || ended() || finishing()) return;
  const bool close = closes();
  std::string text = "HTTP/1.1 ";
  text += phraseOf(status);
  text += "\r\n";
  text += fields;
  text += "Content-Length: " + std::to_string(body.size()) +
          (close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  if (request_->startLinePart(0) != "HEAD") text += body;
  http::GatherBuffer pieces;
  pieces.text(std::move(text));
  answered(std::move(pieces), close);
}

void HttpServerConnection::pass(const std::shared_ptr<const http::Message>& message, std::string_view fields,
                                std::string_view but) {
  if (!request_ || ended() || finishing()) return;
  const bool close = closes();
  std::string head = "HTTP/1.1 ";
  head += message->startLinePart(1);
  head += ' ';
  head += message->startLinePart(2);
  head += "\r\n";
  for (const std::string_view lines : message->endToEndFields(but)) head += lines;
  head += fields;
  const bool bodiless = message->status() == 204 || message->status() == 304;
  if (!bodiless) {
    const bool asksHead = request_->startLinePart(0) == "HEAD";
    head += "Content-Length: " +
            std::to_string(asksHead ? message->length().value_or(0) : message->body().size()) + "\r\n";
  }
  head += close ? "Connection: close\r\n\r\n" : "\r\n";
  http::GatherBuffer pieces;
  pieces.text(std::move(head));
  pieces.keep(message);
  pieces.view(message->body());
  answered(std::move(pieces), close);
}

void HttpServerConnection::gone(Reason) {
  loop_.cancel(timer_);
  if (request_) shared_->left(*this);
  shared_->connections.erase(this);
}

}  // namespace rackroute::mesh
