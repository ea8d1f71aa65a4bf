#include "mesh/control/operator_calls.hpp"

#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr Span kCallTimeout = 850ms;   // below the callers' timeout of one second
constexpr Span kTimeoutPerItem = 3ms;  // in addition; callers wait longer for large bodies
constexpr Span kRetryAfter = 300ms;    // by then contact is regained or another process has it

std::string errorBody(const std::string& error) { return json{{"error", error}}.dump(); }

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
    return answer(call, 503, errorBody("change: no contact with a majority of voters"), actions, kRetryAfter);
  Call& pending = calls_[call];
  pending.order = makeOrder(std::move(read).value());
  pending.until = now + kCallTimeout + kTimeoutPerItem * pending.order->items.size();
  // This process's copy may lack a service, or its removal, so a majority is read first.
  if (!agreement_.isDecided(*pending.order) && Items::refersToOtherServices(pending.order->items)) {
    pending.read = reads_.request(now, set, effects);
    return;
  }
  propose(now, call, pending, effects);
}

void OperatorCalls::readBack(Span now, OperatorCallNo call, bool settled, const VoterSet& set,
                             Effects& effects, ControlActions& actions) {
  if (!settled)
    return answer(call, 503, errorBody("read: no contact with a majority of voters"), actions, kRetryAfter);
  Call& pending = calls_[call];
  pending.readsBack = true;
  pending.until = now + kCallTimeout;
  pending.read = reads_.request(now, set, effects);
}

void OperatorCalls::propose(Span now, OperatorCallNo call, Call& pending, Effects& effects) {
  pending.read = 0;
  agreement_.propose(now, call.value, pending.order, effects);
}

std::optional<std::string> OperatorCalls::unknownService(const Order& order) const {
  if (agreement_.isDecided(order)) return std::nullopt;
  return items_.unknownService(order.items);
}

void OperatorCalls::orderEnded(const OrderOutcome& outcome, ControlActions& actions) {
  const OperatorCallNo call{outcome.call};
  if (calls_.erase(call) == 0) return;
  switch (outcome.result) {
    case OrderResult::decided:
      return answer(call, 200, "{}", actions);
    case OrderResult::conflict: {
      json standing = json::array();
      for (const Item& item : outcome.standing) standing.push_back(toJson(item));
      const json body{{"error", "change: another value is already decided for one of its versions"},
                      {"standing", std::move(standing)}};
      return answer(call, 409, body.dump(), actions);
    }
    case OrderResult::busy:
      return answer(call, 503, errorBody("change: too many changes in flight"), actions, kRetryAfter);
  }
}

void OperatorCalls::advance(Span now, Effects& effects, ControlActions& actions) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    Call& pending = it->second;
    const OperatorCallNo call = it->first;
    if (pending.read == 0 || pending.read > reads_.lastCompleted()) {
      ++it;
      continue;
    }
    if (pending.readsBack) {
      answer(call, 200, items_.activeAsJson().dump(), actions);
      it = calls_.erase(it);
      continue;
    }
    if (const auto unknown = unknownService(*pending.order)) {
      answer(call, 400, errorBody("change: a route names an unknown service: " + *unknown), actions);
      it = calls_.erase(it);
      continue;
    }
    propose(now, call, pending, effects);
    ++it;
  }
}

void OperatorCalls::tick(Span now, bool settled, ControlActions& actions) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    const bool late = it->second.until <= now;
    if (settled && !late) {
      ++it;
      continue;
    }
    const char* const error =
        late ? "no majority of voters answered in time" : "lost contact with a majority of voters";
    answer(it->first, 503, errorBody(error), actions, kRetryAfter);
    agreement_.forgetCall(it->first.value);
    it = calls_.erase(it);
  }
}

}  // namespace rackroute::mesh
