#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

namespace {

constexpr Span kOperatorPause = 200ms;  // before an operator tries the next control process
constexpr std::uint32_t kStormOperators = 8;
constexpr int kStormTries = 30;
constexpr double kStormMany = 0.15;  // share of a storm's orders with several routes
constexpr double kStormRace = 0.15;  // share of them under versions that another order has

}  // namespace

void World::firstOrder() {
  order(0, ledger_.first(day_.idleRoutes), [this](Status status) {
    if (status != 200) judge_.lost(now_, "the first items were not acknowledged");
  });
}

void World::order(std::uint32_t control, OrderNo no, std::function<void(Status)> done) {
  const int tries = ledger_.order(no).valid ? kTries : 1;
  patch(control, {no, tries, std::move(done)});
}

void World::patch(std::uint32_t control, const Call& call) {
  if (call.tries <= 0) return call.done(0);
  patchAt(listed(control), control, call);
}

// Answers of a status from 500 on, lost ones and silence lead to the same order at the next control process.
void World::patchAt(std::size_t machine, std::uint32_t control, const Call& call) {
  const auto over = std::make_shared<bool>(false);
  const auto again = [this, over, control, call] {
    if (std::exchange(*over, true)) return;
    Call next = call;
    --next.tries;
    in(kOperatorPause, [this, control, next] { patch(control + 1, next); });
  };
  const Machine& m = machines_[machine];
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [this, machine, over, again, call] {
    Core& here = core(machine);
    const std::uint64_t no = ++here.nextCall;
    const Span asked = now_;
    here.calls[no] = [this, machine, asked, over, again, call](Status status, const std::string&) {
      judgeAnswer(machine, ledger_.order(call.order), asked, status);
      if (status == 200 && atAnswer_) at(now_, std::exchange(atAnswer_, nullptr));
      in(span(day_.across), [this, status, over, again, call, lost = answerLost()] {
        if (*over || lost) return;
        if (status >= 500) return again();
        *over = true;
        ledger_.answered(now_, call.order, status);
        call.done(status);
      });
    };
    act(machine, here.control->change(now_, {no}, ledger_.order(call.order).body));
  });
}

void World::change(std::uint32_t who, bool race, bool valid) {
  const std::uint32_t route = who % static_cast<std::uint32_t>(kRoutes.size());
  const std::uint64_t version = ledger_.nextVersion(who);
  for (std::uint32_t operatorNo = 0; operatorNo < (race ? 2U : 1U); ++operatorNo)
    order(who + operatorNo, ledger_.change({{route, version}}, valid));
}

std::map<std::uint32_t, std::uint64_t> World::someRoutes(std::uint32_t least, std::uint32_t most) {
  std::map<std::uint32_t, std::uint64_t> routes;
  const auto count = least + static_cast<std::uint32_t>(uniform01(operators_) * (most - least + 1));
  const auto first = static_cast<std::uint32_t>(uniform01(operators_) * ledger_.routes());
  for (std::uint32_t i = 0; i < count; ++i)
    routes[(first + i) % ledger_.routes()] = ledger_.nextVersion(first + i);
  return routes;
}

// In a race the two orders share one route's version and have further routes of their own.
void World::changeMany(std::uint32_t who, bool race) {
  const auto routes = someRoutes(2, 4);
  order(who, ledger_.change(routes, true));
  if (!race) return;
  const auto shared = *routes.begin();
  auto others = someRoutes(1, 3);
  others[shared.first] = shared.second;
  order(who + 1, ledger_.change(others, true));
}

// The lower version goes where the higher one may not be known yet.
void World::oldChange(std::uint32_t who) {
  const std::uint32_t route = who % static_cast<std::uint32_t>(kRoutes.size());
  const std::uint64_t lower = ledger_.nextVersion(who);
  const std::uint64_t higher = ledger_.nextVersion(who);
  order(who, ledger_.change({{route, higher}}, true), [this, who, route, lower](Status status) {
    if (status == 200) order(who + 1, ledger_.oldChange(now_, {{route, lower}}));
  });
}

// The route is ordered where the service may not be known yet.
void World::newService(std::uint32_t who) {
  const std::string name = "extra-" + std::to_string(ledger_.sent());
  order(who + 1, ledger_.newService(name), [this, who, name](Status status) {
    if (status == 200) order(who, ledger_.routeTo(name));
  });
}

// Several operators, each with one order under way.
void World::storm(const Trouble& trouble) {
  const auto left = std::make_shared<std::uint32_t>(static_cast<std::uint32_t>(std::max(1.0, trouble.part)));
  const Span pace = span(trouble.lasts * kStormOperators / std::max(1.0, trouble.part));
  for (std::uint32_t i = 0; i < kStormOperators; ++i)
    in(pace * i / kStormOperators, [this, pace, left] { stormOrder(pace, left); });
}

void World::stormOrder(Span pace, const std::shared_ptr<std::uint32_t>& left) {
  if (*left == 0 || now_ >= end_) return;
  --*left;
  const double kind = uniform01(operators_);
  std::map<std::uint32_t, std::uint64_t> routes;
  if (kind < kStormRace && !stormRace_.empty()) {
    routes = std::exchange(stormRace_, {});
  } else {
    routes = kind < kStormRace + kStormMany ? someRoutes(2, 4) : someRoutes(1, 1);
    stormRace_ = routes;
  }
  const auto control = static_cast<std::uint32_t>(uniform01(operators_) * day_.controls);
  const Span next = now_ + pace;
  patch(control, {ledger_.change(routes, true), kStormTries, [this, pace, left, next](Status) {
                    at(next, [this, pace, left] { stormOrder(pace, left); });
                  }});
}

void World::readBack(std::uint32_t control, int tries) {
  if (tries <= 0) return judge_.lost(now_, "no answer to the reading back");
  const auto over = std::make_shared<bool>(false);
  const auto again = [this, over, control, tries] {
    if (!std::exchange(*over, true)) in(300ms, [this, control, tries] { readBack(control + 1, tries - 1); });
  };
  const std::size_t machine = listed(control);
  const Machine& m = machines_[machine];
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [this, machine, over, again] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [this, over, again](Status status, const std::string& body) {
      if (*over) return;
      if (status != 200) return again();
      *over = readBackDone_ = true;
      ledger_.read(now_, json::parse(body), ledger_.floorAt(now_), "LOST");
    };
    act(machine, here.control->readBack(now_, {call}));
  });
}

}  // namespace rackroute::lab::mesh::emulated
