#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {

void World::patch(std::size_t machine, const std::string& body, int tries,
                  std::function<void(std::uint32_t)> done) {
  if (tries <= 0) return done(0);
  const std::size_t next = (machine + 1) % day_.controls;
  Machine& m = machines_[machine];
  const auto over = std::make_shared<bool>(false);
  const auto again = [=, this] {
    if (!std::exchange(*over, true)) in(200ms, [=, this] { patch(next, body, tries - 1, done); });
  };
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [=, this] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [=](std::uint32_t status, const std::string&) {
      if (*over) return;
      if (status >= 500) return again();
      *over = true;
      done(status);
    };
    act(machine, here.control->change(now_, {call}, body));
  });
}

void World::change(std::uint32_t who, bool race, bool bad) {
  const std::string name = kRoutes[who % kRoutes.size()].name;
  const std::uint64_t generation = table_.next(who);
  for (int operatorNo = 0; operatorNo < (race ? 2 : 1); ++operatorNo) {
    patch((who + static_cast<std::uint32_t>(operatorNo)) % day_.controls,
          table_.change(who, generation, operatorNo, bad), bad ? 1 : 60,
          [this, name, generation, bad](std::uint32_t status) {
            if (bad && status == 200) judge_.failed(now_, "CONFIG", "an invalid change was acknowledged");
            if (status == 200 && !bad) table_.acknowledged(now_, name, generation);
          });
  }
}

void World::readBack(std::size_t machine, int tries) {
  if (tries <= 0) return judge_.lost(now_, "no answer to the reading back");
  const std::size_t next = (machine + 1) % day_.controls;
  Machine& m = machines_[machine];
  const auto over = std::make_shared<bool>(false);
  const auto again = [=, this] {
    if (!std::exchange(*over, true)) in(300ms, [=, this] { readBack(next, tries - 1); });
  };
  if (m.life == 0 || m.dark) return again();
  in(kCallHeard, again);
  atProcess(now_ + span(day_.across), machine, m.life, [=, this] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [=, this](std::uint32_t status, const std::string& body) {
      if (*over) return;
      if (status != 200) return again();
      *over = readBackDone_ = true;
      table_.readBack(now_, json::parse(body), judge_);
    };
    act(machine, here.control->readBack(now_, {call}));
  });
}

}  // namespace rackroute::lab::mesh::emulated
