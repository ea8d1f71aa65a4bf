#include "mesh/sidecar/request_messages.hpp"

#include <charconv>
#include <chrono>

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHeadBytes = 512;  // estimated memory used by a response head
constexpr std::uint32_t kMisdirectedRequest = 421;

void beginRequest(std::string& head, const http::Message& request, std::string_view excluded) {
  head += request.startLinePart(0);
  head += ' ';
  head += request.startLinePart(1);
  head += " HTTP/1.1\r\n";
  for (const std::string_view lines : request.endToEndFields(excluded)) head += lines;
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

// An outcome query has the head of its request, as it may be answered with that request's response, but no
// body.
http::GatherBuffer endQuery(std::string head) {
  http::GatherBuffer pieces;
  pieces.text(std::move(head) + "Content-Length: 0\r\n\r\n");
  return pieces;
}

ForwardResult resultOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::completed:
      return ForwardResult::replied;
    case RequestOutcome::notSent:
    case RequestOutcome::partiallySent:  // the other process handles complete requests only
      return ForwardResult::notSent;
    case RequestOutcome::timedOut:
      return ForwardResult::timedOut;
    case RequestOutcome::connectionLost:
    case RequestOutcome::malformedResponse:
      break;
  }
  return ForwardResult::connectionLost;
}

// Statuses without a reply header are sent while the other sidecar reads a request: it was not handled.
bool isRejection(std::uint32_t status) {
  return status == 400 || status == 408 || status == 413 || status == 431;
}

}  // namespace

std::optional<Span> clientTimeout(const http::Message& request) {
  const auto field = request.field(kDeadlineHeader);
  double milliseconds = 0;
  if (!field) return std::nullopt;
  const auto [end, error] = std::from_chars(field->data(), field->data() + field->size(), milliseconds);
  if (error != std::errc{} || !(milliseconds >= 0) || milliseconds > 1e9) return std::nullopt;
  return Span(static_cast<Span::rep>(milliseconds * 1000));
}

http::GatherBuffer forwardMessage(const RequestRef& request, const ForwardRequest& forward) {
  // The hop-by-hop headers are listed in Connection so that the next process removes them, including any that
  // a client set itself.
  std::string head;
  beginRequest(head, *request, kForwardHeader);
  head += std::string(kForwardHeader) + ": " + textOf(forward) +
          "\r\nConnection: rackroute-forward, rackroute-caller-service, rackroute-expect-instance, "
          "rackroute-deadline-ms\r\n";
  if (forward.outcomeQuery) return endQuery(std::move(head));
  return endRequest(std::move(head), request);
}

http::GatherBuffer serverMessage(const RequestRef& request, const AdmissionAction& execution) {
  std::string head;
  beginRequest(head, *request, kForwardHeader);
  head += std::string(kDeadlineHeader) + ": " + std::to_string(execution.left / 1ms) + "\r\n";
  head += std::string(kExpectInstanceHeader) + ": " + execution.instance.value + "\r\n";
  if (!execution.caller.value.empty())
    head += std::string(kCallerServiceHeader) + ": " + execution.caller.value + "\r\n";
  return endRequest(std::move(head), request);
}

std::string replyFields(const ForwardReply& reply) {
  return std::string(kForwardHeader) + ": " + textOf(reply) + "\r\nConnection: rackroute-forward\r\n";
}

ForwardCompletion forwardCompletion(RequestOutcome outcome, const http::Message* response) {
  ForwardCompletion completion;
  completion.result = resultOf(outcome);
  if (response == nullptr) return completion;
  completion.status = response->status();
  const auto field = response->field(kForwardHeader);
  const auto reply = field ? parseForwardReply(*field) : std::nullopt;
  if (reply) {
    completion.reply = *reply;
  } else {
    completion.result =
        isRejection(completion.status) ? ForwardResult::notSent : ForwardResult::connectionLost;
  }
  return completion;
}

ServerCompletion serverCompletion(RequestOutcome outcome, const RequestRef& response) {
  ServerCompletion completion;
  switch (outcome) {
    case RequestOutcome::completed:
      completion.result = ExecutionResult::answered;
      completion.answer.status = response->status();
      completion.answer.notRun =
          response->field(kNotRunHeader).has_value() || response->status() == kMisdirectedRequest;
      completion.answer.bytes = response;
      completion.answer.size = response->body().size() + kHeadBytes;
      break;
    case RequestOutcome::notSent:
      completion.result = ExecutionResult::notSent;
      break;
    case RequestOutcome::timedOut:
      completion.result = ExecutionResult::timedOut;
      break;
    case RequestOutcome::malformedResponse:
      completion.result = ExecutionResult::malformed;
      break;
    case RequestOutcome::partiallySent:  // a server may start before it has received the whole body
    case RequestOutcome::connectionLost:
      break;
  }
  return completion;
}

}  // namespace rackroute::mesh
