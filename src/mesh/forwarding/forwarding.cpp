#include "mesh/forwarding/forwarding.hpp"

#include <array>
#include <charconv>
#include <string>
#include <vector>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kFields = 9;
constexpr std::size_t kFieldsWithId = 12;  // with a ForwardId and the target of an outcome query

std::vector<std::string_view> splitFields(std::string_view text) {
  std::vector<std::string_view> fields;
  for (;;) {
    const std::size_t end = text.find(';');
    fields.push_back(text.substr(0, end));
    if (end == text.npos) return fields;
    text.remove_prefix(end + 1);
  }
}

template <class Number>
bool parse(std::string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

std::string_view nameOf(Verdict verdict) {
  static constexpr std::array<std::string_view, kVerdictCount> kNames{
      "ran",         "turned_away", "full",    "leaving",    "strange", "unreachable",
      "no_majority", "held",        "at_work", "never_came", "unknown"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string textOf(const ForwardRequest& request) {
  return request.instance.value + ';' + request.service.value + ';' + request.caller.value + ';' +
         std::to_string(request.left / std::chrono::milliseconds(1)) + ';' +
         std::to_string(request.targetLeft / std::chrono::milliseconds(1)) + ';' +
         std::to_string(request.priority) + ';' + std::to_string(static_cast<int>(request.kind)) + ';' +
         request.route + ';' + (request.holder ? std::to_string(request.holder->value) : std::string()) +
         (request.id
              ? ';' + std::to_string(request.id->origin) + ';' + std::to_string(request.id->number) + ';' +
                    (request.outcomeQuery ? std::to_string(request.outcomeQuery->value) : std::string())
              : std::string());
}

std::optional<ForwardRequest> parseForwardRequest(std::string_view text) {
  const auto fields = splitFields(text);
  if (fields.size() != kFields && fields.size() != kFieldsWithId) return std::nullopt;
  ForwardRequest request;
  request.instance = {std::string(fields[0])};
  request.service = {std::string(fields[1])};
  request.caller = {std::string(fields[2])};
  std::int64_t left = 0;
  std::int64_t targetLeft = 0;
  int kind = 0;
  if (!parse(fields[3], left) || !parse(fields[4], targetLeft) || !parse(fields[5], request.priority) ||
      !parse(fields[6], kind) || kind < 0 || kind > static_cast<int>(RouteKind::keyed))
    return std::nullopt;
  request.left = std::chrono::milliseconds(left);
  request.targetLeft = std::chrono::milliseconds(targetLeft);
  request.kind = static_cast<RouteKind>(kind);
  request.route = std::string(fields[7]);
  if (!fields[8].empty()) {
    LifeNo life;
    if (!parse(fields[8], life.value)) return std::nullopt;
    request.holder = life;
  }
  if (fields.size() == kFieldsWithId) {
    ForwardId id;
    if (!parse(fields[9], id.origin) || !parse(fields[10], id.number)) return std::nullopt;
    request.id = id;
    LifeNo life;
    if (!fields[11].empty() && !parse(fields[11], life.value)) return std::nullopt;
    if (!fields[11].empty()) request.outcomeQuery = life;
  }
  return request;
}

std::string textOf(const ForwardReply& reply) {
  std::string text = std::to_string(static_cast<int>(reply.verdict)) + ';';
  if (reply.load) text += std::to_string(reply.load->busy) + ';' + std::to_string(reply.load->queued) + ';';
  if (!reply.load) text += ";;";
  text += std::to_string(reply.wait / std::chrono::milliseconds(1)) + ';' + (reply.replayed ? "1" : "") + ';';
  if (reply.holder) {
    text += reply.holder->at.value + ';' + std::to_string(reply.holder->life.value) + ';' +
            std::to_string(reply.holder->no.value);
  } else {
    text += ";;";
  }
  return text;
}

std::optional<ForwardReply> parseForwardReply(std::string_view text) {
  const auto fields = splitFields(text);
  if (fields.size() != 8) return std::nullopt;
  ForwardReply reply;
  int verdict = 0;
  std::int64_t wait = 0;
  if (!parse(fields[0], verdict) || verdict < 0 || verdict > static_cast<int>(Verdict::unknown) ||
      !parse(fields[3], wait))
    return std::nullopt;
  reply.verdict = static_cast<Verdict>(verdict);
  reply.wait = std::chrono::milliseconds(wait);
  reply.replayed = fields[4] == "1";
  Load load;
  if (parse(fields[1], load.busy) && parse(fields[2], load.queued)) reply.load = load;
  Holder holder;
  holder.at = {std::string(fields[5])};
  if (!fields[5].empty() && parse(fields[6], holder.life.value) && parse(fields[7], holder.no.value))
    reply.holder = holder;
  return reply;
}

}  // namespace rackroute::mesh
