#include "mesh/sidecar/request_messages.hpp"

#include <charconv>
#include <chrono>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHeadAllowance = 512;  // bytes of an answer's head, as memory
constexpr std::uint32_t kNotThatServer = 421;

void beginRequest(std::string& head, const http::Message& request, std::string_view but) {
  head += request.startLinePart(0);
  head += ' ';
  head += request.startLinePart(1);
  head += " HTTP/1.1\r\n";
  for (const std::string_view lines : request.endToEndFields(but)) head += lines;
}
http::GatherBuffer endRequest(std::string head, const RequestRef& request) {
  if (!request->body().empty() || request->length() || request->chunked())
    head += "Content-Length: " + std::to_string(request->body().size()) + "\r\n";
  head += "\r\n";
  http::GatherBuffer pieces;
  pieces.text(std::move(head));
  pieces.keep(request);
  pieces.view(request->body());
  return pieces;
}

// A question after a request has its head, as the answer may be that request's, and no body.
http::GatherBuffer endQuestion(std::string head) {
  http::GatherBuffer pieces;
  pieces.text(std::move(head) + "Content-Length: 0\r\n\r\n");
  return pieces;
}

ForwardResult resultOf(RequestOutcome how) {
  switch (how) {
    case RequestOutcome::answered:
      return ForwardResult::told;
    case RequestOutcome::notSent:
    case RequestOutcome::notWhole:  // the other process takes whole requests only
      return ForwardResult::notSent;
    case RequestOutcome::silent:
      return ForwardResult::silent;
    case RequestOutcome::broken:
    case RequestOutcome::spoilt:
      break;
  }
  return ForwardResult::broken;
}

// Without word of the sidecar there, these are of what reads its connections: the request was not taken.
bool neverRead(std::uint32_t status) {
  return status == 400 || status == 408 || status == 413 || status == 431;
}

}  // namespace

std::optional<Span> patienceOf(const http::Message& request) {
  const auto field = request.field(kDeadline);
  double milliseconds = 0;
  if (!field) return std::nullopt;
  const auto [end, error] = std::from_chars(field->data(), field->data() + field->size(), milliseconds);
  if (error != std::errc{} || !(milliseconds >= 0) || milliseconds > 1e9) return std::nullopt;
  return Span(static_cast<Span::rep>(milliseconds * 1000));
}

http::GatherBuffer forwardMessage(const RequestRef& request, const ForwardRequest& ask) {
  // Fields of this connection alone are named in Connection: the next process drops them, and whatever a
  // client put under these names.
  std::string head;
  beginRequest(head, *request, kForwardHeader);
  head += std::string(kForwardHeader) + ": " + textOf(ask) +
          "\r\nConnection: rackroute-forward, rackroute-caller-service, rackroute-expect-instance, "
          "rackroute-deadline-ms\r\n";
  if (ask.outcomeOf) return endQuestion(std::move(head));
  return endRequest(std::move(head), request);
}

http::GatherBuffer serverMessage(const RequestRef& request, const AdmissionAction& run) {
  std::string head;
  beginRequest(head, *request, kForwardHeader);
  head += std::string(kDeadline) + ": " + std::to_string(run.left / 1ms) + "\r\n";
  head += std::string(kExpect) + ": " + run.instance.value + "\r\n";
  if (!run.caller.value.empty()) head += std::string(kCaller) + ": " + run.caller.value + "\r\n";
  return endRequest(std::move(head), request);
}

std::string replyFields(const ForwardReply& reply) {
  return std::string(kForwardHeader) + ": " + textOf(reply) + "\r\nConnection: rackroute-forward\r\n";
}

ForwardEnd forwardEnd(RequestOutcome how, const http::Message* answer) {
  ForwardEnd end;
  end.result = resultOf(how);
  if (answer == nullptr) return end;
  end.status = answer->status();
  const auto field = answer->field(kForwardHeader);
  const auto read = field ? toldFrom(*field) : std::nullopt;
  if (read) {
    end.told = *read;
  } else {
    end.result = neverRead(end.status) ? ForwardResult::notSent : ForwardResult::broken;
  }
  return end;
}

ServerEnd serverEnd(RequestOutcome how, const RequestRef& answer) {
  ServerEnd end;
  switch (how) {
    case RequestOutcome::answered:
      end.how = AtServer::answered;
      end.answer.status = answer->status();
      end.answer.notRun = answer->field(kNotRun).has_value() || answer->status() == kNotThatServer;
      end.answer.bytes = answer;
      end.answer.size = answer->body().size() + kHeadAllowance;
      break;
    case RequestOutcome::notSent:
      end.how = AtServer::notSent;
      break;
    case RequestOutcome::silent:
      end.how = AtServer::timedOut;
      break;
    case RequestOutcome::spoilt:
      end.how = AtServer::spoilt;
      break;
    case RequestOutcome::notWhole:  // a server may begin before it has the whole body
    case RequestOutcome::broken:
      break;
  }
  return end;
}

}  // namespace rackroute::mesh
