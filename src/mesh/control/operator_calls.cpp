#include "mesh/control/operator_calls.hpp"

#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kCallTime = 850ms;  // for a decision; its caller waits a second
constexpr Span kItemTime = 3ms;    // more for each item; callers wait longer for large bodies
constexpr Span kComeBack =
    300ms;  // advice to an operator; contact is regained or another process has it by then

std::string errorBody(const std::string& what) { return json{{"error", what}}.dump(); }

}  // namespace

void OperatorCalls::answer(OperatorCallNo call, std::uint32_t status, std::string body,
                           ControlActions& actions, Span retryAfter) {
  ControlAction action;
  action.kind = ControlAction::Kind::answer;
  action.call = call;
  action.status = status;
  action.body = std::move(body);
  action.retryAfter = retryAfter;
  actions.push_back(std::move(action));
}

void OperatorCalls::change(Span now, OperatorCallNo call, std::string_view body, bool settled,
                           const VoterSet& set, Effects& effects, ControlActions& actions) {
  Result<std::vector<Item>> read = parseChange(body);
  if (!read) return answer(call, 400, errorBody(read.error().line()), actions);
  if (!settled)
    return answer(call, 503, errorBody("change: not in touch with a majority"), actions, kComeBack);
  Call& held = calls_[call];
  held.order = makeOrder(std::move(read).value());
  held.until = now + kCallTime + kItemTime * held.order->items.size();
  // It may be only this copy that does not know the service yet.
  if (unknownService(*held.order)) {
    held.read = reads_.join(now, set, effects);
    return;
  }
  propose(now, call, held, effects);
}

void OperatorCalls::readBack(Span now, OperatorCallNo call, bool settled, const VoterSet& set,
                             Effects& effects, ControlActions& actions) {
  if (!settled) return answer(call, 503, errorBody("read: not in touch with a majority"), actions, kComeBack);
  Call& held = calls_[call];
  held.readsBack = true;
  held.until = now + kCallTime;
  held.read = reads_.join(now, set, effects);
}

void OperatorCalls::propose(Span now, OperatorCallNo call, Call& held, Effects& effects) {
  held.read = 0;
  agreement_.propose(now, call.value, held.order, effects);
}

std::optional<std::string> OperatorCalls::unknownService(const Order& order) const {
  if (agreement_.isDecided(order)) return std::nullopt;
  return items_.unknownService(order.items);
}

void OperatorCalls::ended(const OrderOutcome& outcome, ControlActions& actions) {
  const OperatorCallNo call{outcome.call};
  if (calls_.erase(call) == 0) return;
  switch (outcome.result) {
    case OrderResult::decided:
      return answer(call, 200, "{}", actions);
    case OrderResult::conflict: {
      json standing = json::array();
      for (const Item& item : outcome.standing) standing.push_back(toJson(item));
      const json body{{"error", "change: another value stands for a version of it"},
                      {"standing", std::move(standing)}};
      return answer(call, 409, body.dump(), actions);
    }
    case OrderResult::busy:
      return answer(call, 503, errorBody("change: too many changes are under way"), actions, kComeBack);
  }
}

void OperatorCalls::advance(Span now, Effects& effects, ControlActions& actions) {
  for (auto at = calls_.begin(); at != calls_.end();) {
    Call& held = at->second;
    const OperatorCallNo call = at->first;
    if (held.read == 0 || held.read > reads_.finished()) {
      ++at;
      continue;
    }
    if (held.readsBack) {
      answer(call, 200, items_.activeAsJson().dump(), actions);
      at = calls_.erase(at);
      continue;
    }
    if (const auto unknown = unknownService(*held.order)) {
      answer(call, 400, errorBody("change: a route names the unknown service " + *unknown), actions);
      at = calls_.erase(at);
      continue;
    }
    propose(now, call, held, effects);
    ++at;
  }
}

void OperatorCalls::tick(Span now, bool settled, ControlActions& actions) {
  for (auto at = calls_.begin(); at != calls_.end();) {
    const bool late = at->second.until <= now;
    if (settled && !late) {
      ++at;
      continue;
    }
    const char* const what = late ? "no majority answered in time" : "not in touch with a majority any more";
    answer(at->first, 503, errorBody(what), actions, kComeBack);
    agreement_.forgetCall(at->first.value);
    at = calls_.erase(at);
  }
}

}  // namespace rackroute::mesh
