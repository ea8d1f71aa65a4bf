// Operators of the emulated mesh: configuration orders, their retries, and the final read of the
// configuration.

#include "lab/mesh/emulated_world.hpp"

namespace rackroute::lab::mesh::emulated {

namespace {

constexpr Span kRetryDelay = 200ms;  // before an operator tries the next control node
constexpr std::uint32_t kStormOperators = 8;
constexpr int kStormTries = 30;
constexpr double kStormMultiShare = 0.15;  // of a storm's orders change several routes
constexpr double kStormRaceShare = 0.15;   // of a storm's orders reuse the versions of another one

}  // namespace

void World::submitInitialConfig() {
  submitOrder(0, ledger_.initialConfig(day_.idleRoutes), [this](Status status) {
    if (status != 200) judge_.reportLoss(now_, "the initial configuration was not acknowledged");
  });
}

void World::submitOrder(std::uint32_t control, OrderNo no, std::function<void(Status)> done) {
  const int tries = ledger_.order(no).valid ? kMaxTries : 1;
  sendOrder(control, {no, tries, std::move(done)});
}

void World::sendOrder(std::uint32_t control, const Call& call) {
  if (call.tries <= 0) return call.done(0);
  sendOrderTo(knownControl(control), control, call);
}

// A status of 500 or above, a lost response or a timeout leads to a retry at the next control node.
void World::sendOrderTo(std::size_t machine, std::uint32_t control, const Call& call) {
  const auto done = std::make_shared<bool>(false);
  const auto retry = [this, done, control, call] {
    if (std::exchange(*done, true)) return;
    Call next = call;
    --next.tries;
    runAfter(kRetryDelay, [this, control, next] { sendOrder(control + 1, next); });
  };
  const Machine& m = machines_[machine];
  if (m.incarnation == 0 || m.poweredOff) return retry();
  runAfter(kCallTimeout, retry);
  runOnProcess(now_ + span(day_.crossZoneDelay), machine, m.incarnation, [this, machine, done, retry, call] {
    ControlHost& host = controlOn(machine);
    const std::uint64_t callId = ++host.lastCallId;
    const Span askedAt = now_;
    host.calls[callId] = [this, machine, askedAt, done, retry, call](Status status, const std::string&) {
      checkResponse(machine, ledger_.order(call.order), askedAt, status);
      if (status == 200 && onNextAcknowledgement_)
        runAt(now_, std::exchange(onNextAcknowledgement_, nullptr));
      runAfter(span(day_.crossZoneDelay), [this, status, done, retry, call, lost = dropsResponse()] {
        if (*done || lost) return;
        if (status >= 500) return retry();
        *done = true;
        ledger_.responseReceived(now_, call.order, status);
        call.done(status);
      });
    };
    execute(machine, host.control->change(now_, {callId}, ledger_.order(call.order).body));
  });
}

void World::submitChange(std::uint32_t routeNo, bool race, bool valid) {
  const std::uint32_t route = routeNo % static_cast<std::uint32_t>(kRoutes.size());
  const std::uint64_t version = ledger_.nextVersion(routeNo);
  for (std::uint32_t operatorNo = 0; operatorNo < (race ? 2U : 1U); ++operatorNo)
    submitOrder(routeNo + operatorNo, ledger_.change({{route, version}}, valid));
}

std::map<std::uint32_t, std::uint64_t> World::pickRoutes(std::uint32_t minCount, std::uint32_t maxCount) {
  std::map<std::uint32_t, std::uint64_t> routes;
  const auto count = minCount + static_cast<std::uint32_t>(uniform01(operators_) * (maxCount - minCount + 1));
  const auto first = static_cast<std::uint32_t>(uniform01(operators_) * ledger_.routes());
  for (std::uint32_t i = 0; i < count; ++i)
    routes[(first + i) % ledger_.routes()] = ledger_.nextVersion(first + i);
  return routes;
}

// In a race, two orders share one route's version and each changes other routes as well.
void World::submitMultiChange(std::uint32_t routeNo, bool race) {
  const auto routes = pickRoutes(2, 4);
  submitOrder(routeNo, ledger_.change(routes, true));
  if (!race) return;
  const auto shared = *routes.begin();
  auto others = pickRoutes(1, 3);
  others[shared.first] = shared.second;
  submitOrder(routeNo + 1, ledger_.change(others, true));
}

// Sends the lower version to a control node that may not know the higher one yet.
void World::submitOldChange(std::uint32_t routeNo) {
  const std::uint32_t route = routeNo % static_cast<std::uint32_t>(kRoutes.size());
  const std::uint64_t lower = ledger_.nextVersion(routeNo);
  const std::uint64_t higher = ledger_.nextVersion(routeNo);
  submitOrder(routeNo, ledger_.change({{route, higher}}, true), [this, routeNo, route, lower](Status status) {
    if (status == 200) submitOrder(routeNo + 1, ledger_.oldChange(now_, {{route, lower}}));
  });
}

// Sends the route to a control node that may not know the service yet.
void World::submitNewService(std::uint32_t routeNo) {
  const std::string name = "extra-" + std::to_string(ledger_.sent());
  submitOrder(routeNo + 1, ledger_.newService(name), [this, routeNo, name](Status status) {
    if (status == 200) submitOrder(routeNo, ledger_.routeTo(name));
  });
}

// Several operators, each with one order in progress at a time.
void World::startStorm(const Fault& fault) {
  const auto remaining =
      std::make_shared<std::uint32_t>(static_cast<std::uint32_t>(std::max(1.0, fault.magnitude)));
  const Span interval = span(fault.duration * kStormOperators / std::max(1.0, fault.magnitude));
  for (std::uint32_t i = 0; i < kStormOperators; ++i)
    runAfter(interval * i / kStormOperators,
             [this, interval, remaining] { submitStormOrder(interval, remaining); });
}

void World::submitStormOrder(Span interval, const std::shared_ptr<std::uint32_t>& remaining) {
  if (*remaining == 0 || now_ >= end_) return;
  --*remaining;
  const double kind = uniform01(operators_);
  std::map<std::uint32_t, std::uint64_t> routes;
  if (kind < kStormRaceShare && !stormRace_.empty()) {
    routes = std::exchange(stormRace_, {});
  } else {
    routes = kind < kStormRaceShare + kStormMultiShare ? pickRoutes(2, 4) : pickRoutes(1, 1);
    stormRace_ = routes;
  }
  const auto control = static_cast<std::uint32_t>(uniform01(operators_) * day_.controls);
  const Span next = now_ + interval;
  sendOrder(control, {ledger_.change(routes, true), kStormTries, [this, interval, remaining, next](Status) {
                        runAt(next, [this, interval, remaining] { submitStormOrder(interval, remaining); });
                      }});
}

void World::readBack(std::uint32_t control, int tries) {
  if (tries <= 0)
    return judge_.reportLoss(now_, "no control node answered the final read of the configuration");
  const auto done = std::make_shared<bool>(false);
  const auto retry = [this, done, control, tries] {
    if (!std::exchange(*done, true))
      runAfter(300ms, [this, control, tries] { readBack(control + 1, tries - 1); });
  };
  const std::size_t machine = knownControl(control);
  const Machine& m = machines_[machine];
  if (m.incarnation == 0 || m.poweredOff) return retry();
  runAfter(kCallTimeout, retry);
  runOnProcess(now_ + span(day_.crossZoneDelay), machine, m.incarnation, [this, machine, done, retry] {
    ControlHost& host = controlOn(machine);
    const std::uint64_t callId = ++host.lastCallId;
    host.calls[callId] = [this, done, retry](Status status, const std::string& body) {
      if (*done) return;
      if (status != 200) return retry();
      *done = readBackDone_ = true;
      ledger_.configRead(now_, json::parse(body), ledger_.minVersionsAt(now_), "LOST");
    };
    execute(machine, host.control->readBack(now_, {callId}));
  });
}

}  // namespace rackroute::lab::mesh::emulated
