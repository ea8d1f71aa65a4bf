#include "mesh/transport/http_server_connection.hpp"

#include <utility>

namespace rackroute::mesh {
namespace {

using http::ParseStatus;
using sidecar::CloseReason;

constexpr std::size_t kMaxReadAhead = 64 * 1024;  // bytes read ahead while a request is being handled

}  // namespace

std::string_view statusText(std::uint32_t status) {
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

HttpServerConnection::HttpServerConnection(sidecar::Loop& loop, std::shared_ptr<ListenerContext> context,
                                           Poco::Net::StreamSocket socket, std::string peer)
    : Connection(loop, "connection", std::move(socket), std::move(peer)),
      context_(std::move(context)),
      reader_(http::Reader::Kind::request, context_->maxBodyBytes) {}

void HttpServerConnection::start() {
  context_->connections[this] = std::static_pointer_cast<HttpServerConnection>(shared_from_this());
  startTimer();
  open();
  readNow();  // the request has usually arrived already
}

// One timer covers the idle time before a request, then its head, then its body.
void HttpServerConnection::startTimer() {
  loop_.cancel(timer_);
  Span wait = context_->idleTimeout;
  const bool receiving = reader_.hasInput(in_);
  if (receiving) wait = headerSeen_ ? context_->bodyTimeout : context_->headerTimeout;
  timer_ = loop_.after(wait, [this, receiving] {
    timer_ = {};
    if (receiving) return reject(408);
    finish(CloseReason::idle);
  });
}

void HttpServerConnection::received() {
  if (request_) {
    if (in_.size() > kMaxReadAhead) pauseReading(true);
    return;
  }
  const bool receiving = receivingSince_ >= Span{0};
  const ParseStatus progress = reader_.read(in_);
  switch (progress) {
    case ParseStatus::needMore: {
      const bool headComplete = in_.find("\r\n\r\n") != std::string::npos;
      if (!receiving || headComplete != headerSeen_) {
        receivingSince_ = loop_.now();
        headerSeen_ = headComplete;
        startTimer();
      }
      return;
    }
    case ParseStatus::done:
      break;
    case ParseStatus::malformed:
      return reject(400);
    case ParseStatus::headTooLong:
      return reject(431);
    case ParseStatus::bodyTooLong:
      return reject(413);
  }
  loop_.cancel(timer_);
  receivingSince_ = Span{-1};
  headerSeen_ = false;
  request_ = std::make_shared<const http::Message>(reader_.take(in_));
  ++messages_;
  context_->onRequest(std::static_pointer_cast<HttpServerConnection>(shared_from_this()), request_);
}

void HttpServerConnection::reject(std::uint32_t status) {
  http::GatherBuffer pieces;
  pieces.text("HTTP/1.1 " + std::string(statusText(status)) +
              "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  in_.clear();
  send(std::move(pieces));
  finish(CloseReason::badMessage);
}

bool HttpServerConnection::closesAfterResponse() const {
  return context_->draining || !request_->keepsAlive();
}

void HttpServerConnection::sendResponse(http::GatherBuffer pieces, bool close) {
  request_.reset();
  send(std::move(pieces));
  if (ended()) return;
  if (close) return finish(CloseReason::done);
  startTimer();
  pauseReading(false);
  // The next request may have been received already. Handled in another turn, because this is often called
  // from received().
  if (!in_.empty()) {
    loop_.post([self = std::static_pointer_cast<HttpServerConnection>(shared_from_this())] {
      if (!self->ended() && !self->finishing() && !self->request_) self->received();
    });
  }
}

void HttpServerConnection::respond(std::uint32_t status, std::string_view fields, std::string_view body) {
  if (!request_ || ended() || finishing()) return;
  const bool close = closesAfterResponse();
  std::string text = "HTTP/1.1 ";
  text += statusText(status);
  text += "\r\n";
  text += fields;
  text += "Content-Length: " + std::to_string(body.size()) +
          (close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
  if (request_->startLinePart(0) != "HEAD") text += body;
  http::GatherBuffer pieces;
  pieces.text(std::move(text));
  sendResponse(std::move(pieces), close);
}

void HttpServerConnection::relay(const std::shared_ptr<const http::Message>& message, std::string_view fields,
                                 std::string_view excluded) {
  if (!request_ || ended() || finishing()) return;
  const bool close = closesAfterResponse();
  std::string head = "HTTP/1.1 ";
  head += message->startLinePart(1);
  head += ' ';
  head += message->startLinePart(2);
  head += "\r\n";
  for (const std::string_view lines : message->endToEndFields(excluded)) head += lines;
  head += fields;
  const bool withoutBody = message->status() == 204 || message->status() == 304;
  if (!withoutBody) {
    const bool isHead = request_->startLinePart(0) == "HEAD";
    head +=
        "Content-Length: " + std::to_string(isHead ? message->length().value_or(0) : message->body().size()) +
        "\r\n";
  }
  head += close ? "Connection: close\r\n\r\n" : "\r\n";
  http::GatherBuffer pieces;
  pieces.text(std::move(head));
  pieces.keep(message);
  pieces.view(message->body());
  sendResponse(std::move(pieces), close);
}

void HttpServerConnection::closed(CloseReason) {
  loop_.cancel(timer_);
  if (request_) context_->onAbandoned(*this);
  context_->connections.erase(this);
}

}  // namespace rackroute::mesh
