#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh {

namespace emulated {

Played World::run() {
  for (std::uint32_t i = 0; i < day_.controls; ++i) slots_.push_back(addMachine(true, i, i % day_.zones));
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) addMachine(false, i, i % day_.zones);
  listed_ = slots_;
  cores_.resize(day_.controls);
  sides_.resize(day_.sidecars);
  for (std::uint32_t i = 0; i < day_.controls; ++i) startControl(coreAt(i));
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) {
    sides_[i].server.service = static_cast<int>(i % 2);
    startSidecar(sideAt(i));
    newServer(sideAt(i));
    sides_[i].server.coldUntil = Span{0};
  }
  at(1s, [this] { firstOrder(); });
  end_ = kLead + span(day_.seconds);
  at(kLead, [this] { arrive(); });
  at(kLead, [this] { probe(); });
  at(kLead, [this] { sweep(); });
  for (const Trouble& trouble : day_.troubles)
    at(kLead + span(trouble.at), [this, trouble] { strike(trouble); });
  at(end_ - 6s, [this] { closeDay(); });
  at(end_ + kSettle, [this] { readBack(0, 20); });
  const Span last = end_ + kSettle + 30s;
  while (!events_.empty() && events_.top().at <= last && !readBackDone_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    try {
      event.task();
    } catch (const std::exception& error) {
      // A process that throws ends here as it would there; nothing after it can be judged.
      judge_.failed(now_, "CRASH", error.what());
      break;
    }
  }
  ledger_.end(now_);
  Played played;
  played.figures = endOfDay(judge_, ledger_.sent(), ledger_.acknowledged(), day_.leastServed, now_);
  played.broken = judge_.broken();
  json session;
  for (const auto& [kind, sums] : talk_) session[kind] = {{"words", sums.first}, {"bytes", sums.second}};
  played.figures["refused"] = ledger_.refused();
  played.figures["struck"] = struck_;
  played.figures["virtual_s"] = seconds(now_);
  played.figures["syncs"] = syncs_;
  played.figures["events"] = eventNo_;
  played.figures["session"] = session;
  played.figures["runs_that_clients_left"] = judge_.abandonedThatMayHaveBeen();
  played.figures["of_these_still_at_work"] = judge_.abandonedAtWork();
  return played;
}

}  // namespace emulated

Played play(const Day& day, std::uint64_t seed) { return emulated::World(day, seed).run(); }

Day shrunk(const Day& day, std::uint64_t seed, const std::string& rule) {
  Day least = day;
  const auto breaks = [&](const Day& tried) {
    const Played played = play(tried, seed);
    return std::any_of(played.broken.begin(), played.broken.end(),
                       [&](const Broken& b) { return b.rule == rule; });
  };
  for (std::size_t i = least.troubles.size(); i-- > 0;) {
    Day tried = least;
    tried.troubles.erase(tried.troubles.begin() + static_cast<std::ptrdiff_t>(i));
    if (breaks(tried)) least = std::move(tried);
  }
  return least;
}

}  // namespace rackroute::lab::mesh
