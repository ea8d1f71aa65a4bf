#include "mesh/forwarding/forwarding.hpp"

#include <array>
#include <charconv>
#include <string>
#include <vector>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kFields = 9;         // of a request
constexpr std::size_t kFieldsWithId = 12;  // of one whose outcome may be asked

std::vector<std::string_view> fieldsOf(std::string_view text) {
  std::vector<std::string_view> fields;
  for (;;) {
    const std::size_t end = text.find(';');
    fields.push_back(text.substr(0, end));
    if (end == text.npos) return fields;
    text.remove_prefix(end + 1);
  }
}

template <class Number>
bool read(std::string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

std::string_view nameOf(Verdict verdict) {
  static constexpr std::array<std::string_view, kVerdicts> kNames{
      "ran",         "turned_away", "full",    "leaving",    "strange", "unreachable",
      "no_majority", "held",        "at_work", "never_came", "unknown"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string textOf(const ForwardRequest& ask) {
  return ask.instance.value + ';' + ask.service.value + ';' + ask.caller.value + ';' +
         std::to_string(ask.left / std::chrono::milliseconds(1)) + ';' +
         std::to_string(ask.aim / std::chrono::milliseconds(1)) + ';' + std::to_string(ask.priority) + ';' +
         std::to_string(static_cast<int>(ask.kind)) + ';' + ask.route + ';' +
         (ask.holder ? std::to_string(ask.holder->value) : std::string()) +
         (ask.id ? ';' + std::to_string(ask.id->origin) + ';' + std::to_string(ask.id->number) + ';' +
                       (ask.outcomeOf ? std::to_string(ask.outcomeOf->value) : std::string())
                 : std::string());
}

std::optional<ForwardRequest> askFrom(std::string_view text) {
  const auto fields = fieldsOf(text);
  if (fields.size() != kFields && fields.size() != kFieldsWithId) return std::nullopt;
  ForwardRequest ask;
  ask.instance = {std::string(fields[0])};
  ask.service = {std::string(fields[1])};
  ask.caller = {std::string(fields[2])};
  std::int64_t left = 0;
  std::int64_t aim = 0;
  int kind = 0;
  if (!read(fields[3], left) || !read(fields[4], aim) || !read(fields[5], ask.priority) ||
      !read(fields[6], kind) || kind < 0 || kind > static_cast<int>(RouteKind::keyed))
    return std::nullopt;
  ask.left = std::chrono::milliseconds(left);
  ask.aim = std::chrono::milliseconds(aim);
  ask.kind = static_cast<RouteKind>(kind);
  ask.route = std::string(fields[7]);
  if (!fields[8].empty()) {
    LifeNo life;
    if (!read(fields[8], life.value)) return std::nullopt;
    ask.holder = life;
  }
  if (fields.size() == kFieldsWithId) {
    ForwardId id;
    if (!read(fields[9], id.origin) || !read(fields[10], id.number)) return std::nullopt;
    ask.id = id;
    LifeNo life;
    if (!fields[11].empty() && !read(fields[11], life.value)) return std::nullopt;
    if (!fields[11].empty()) ask.outcomeOf = life;
  }
  return ask;
}

std::string textOf(const ForwardReply& told) {
  std::string text = std::to_string(static_cast<int>(told.verdict)) + ';';
  if (told.load) text += std::to_string(told.load->busy) + ';' + std::to_string(told.load->queued) + ';';
  if (!told.load) text += ";;";
  text += std::to_string(told.wait / std::chrono::milliseconds(1)) + ';' + (told.repeated ? "1" : "") + ';';
  if (told.holder) {
    text += told.holder->at.value + ';' + std::to_string(told.holder->life.value) + ';' +
            std::to_string(told.holder->no.value);
  } else {
    text += ";;";
  }
  return text;
}

std::optional<ForwardReply> toldFrom(std::string_view text) {
  const auto fields = fieldsOf(text);
  if (fields.size() != 8) return std::nullopt;
  ForwardReply told;
  int verdict = 0;
  std::int64_t wait = 0;
  if (!read(fields[0], verdict) || verdict < 0 || verdict > static_cast<int>(Verdict::unknown) ||
      !read(fields[3], wait))
    return std::nullopt;
  told.verdict = static_cast<Verdict>(verdict);
  told.wait = std::chrono::milliseconds(wait);
  told.repeated = fields[4] == "1";
  Load load;
  if (read(fields[1], load.busy) && read(fields[2], load.queued)) told.load = load;
  Holder holder;
  holder.at = {std::string(fields[5])};
  if (!fields[5].empty() && read(fields[6], holder.life.value) && read(fields[7], holder.no.value))
    told.holder = holder;
  return told;
}

}  // namespace rackroute::mesh
