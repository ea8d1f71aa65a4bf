#include "lab/mesh/emulated.hpp"

namespace rackroute::lab::mesh::emulated {
namespace {

constexpr double kManyPerSidecar = 2;  // requests in a second
constexpr std::size_t kToldOnce = 40;  // breaks of one sweep's kind are told for so many places at most

}  // namespace

// An operator reads all day, from any control process, those that are cut off among them.
void World::probe() {
  if (now_ >= end_) return;
  in(kProbe, [this] { probe(); });
  const std::size_t machine = coreAt(static_cast<std::uint32_t>(uniform01(operators_) * day_.controls));
  const Machine& m = machines_[machine];
  if (m.life == 0 || m.dark) return;
  const Floor floor = ledger_.floorAt(now_);
  atProcess(now_ + span(day_.across), machine, m.life, [this, machine, floor] {
    Core& here = core(machine);
    const std::uint64_t call = ++here.nextCall;
    here.calls[call] = [this, floor](Status status, const std::string& body) {
      if (status == 200) ledger_.read(now_, json::parse(body), floor, "CONFIG stale read");
    };
    act(machine, here.control->readBack(now_, {call}));
  });
}

// Whatever the operator hears of it, what a control process acknowledges stands.
void World::judgeAnswer(std::size_t machine, const Order& order, Span asked, Status status) {
  if (status == 200) ledger_.told(now_, order.no);
  const bool cutOff = core(machine).cutOffFrom != Span::max() && core(machine).cutOffFrom + kLease < asked;
  const bool ofOwnKnowledge = status == 200 || (order.valid && status >= 400 && status < 500);
  if (cutOff && ofOwnKnowledge)
    judge_.failed(now_, "CONFIG cut off",
                  machines_[machine].name + " answered order " + std::to_string(order.no) + " with " +
                      std::to_string(status));
}

// What a sidecar took from these words.
void World::took(std::size_t machine, const json& word) {
  const auto list = word.find("list");
  if (list == word.end() || word.at("t") != "items") return;
  const Items& items = side(machine).sidecar->controlClient().items();
  for (const json& told : *list) {
    const auto key = keyOf(told.at("k").get<std::string>());
    if (!key || key->kind == ItemKind::voters) continue;
    const Item* held = items.find(*key);
    if (held != nullptr)
      ledger_.inForce(now_, machine, machines_[machine].life,
                      {rackroute::mesh::textOf(held->key), held->generation.value}, held->value.dump());
  }
}

// Also after the closing fault, until the configuration is read back; work is looked at while there is any.
void World::sweep() {
  if (now_ >= end_ + kSettle) return;
  in(kSweep, [this] { sweep(); });
  for (std::uint32_t i = 0; now_ < end_ && i < day_.sidecars; ++i) sweepWork(sideAt(i));
  if (!calm()) return;
  const Floor floor = ledger_.floorAt(now_ - kApply);
  for (std::uint32_t i = 0; i < day_.sidecars; ++i) sweep(sideAt(i), floor);
}

// A process that has just started may say that it is not ready; one that serves must know what is in force.
void World::sweep(std::size_t machine, const Floor& floor) {
  if (!inTouch(machine)) return;
  const Sidecar& sidecar = *side(machine).sidecar;
  const bool young = now_ < machines_[machine].started + kContact + kApply;
  if (young && !sidecar.serving(now_)) return;
  for (const auto& [text, least] : floor) {
    const Item* held = sidecar.controlClient().items().find(*keyOf(text));
    if (held != nullptr && held->generation.value >= least) continue;
    if (++lateTold_ > kToldOnce) return;
    judge_.failed(now_, "CONFIG not in force",
                  "sidecar " + machines_[machine].name + " holds " + text + " version " +
                      std::to_string(held == nullptr ? 0 : held->generation.value) + ", " +
                      std::to_string(least) + " was acknowledged");
  }
}

// Guards against a mesh that forgets a server that is well, as when a restart's life number is below the
// last.
void World::sweepWork(std::size_t machine) {
  Side& here = side(machine);
  const Server& server = here.server;
  const bool well =
      server.up && !server.draining && server.slow <= 1 && server.loses <= 0 && server.spoils <= 0;
  if (!well || !calm() || !inTouch(machine) || machines_[machine].leaving) {
    here.fitSince = now_;
    return;
  }
  const bool many = day_.perSecond >= kManyPerSidecar * day_.sidecars;
  if (!many || now_ < std::max(here.fitSince, here.lastRun) + kStarved) return;
  here.fitSince = now_;
  judge_.failed(now_, "STARVED", "the server " + server.id + " got no request");
}

// Brute force over the subsets of at most a dozen machines.
bool World::coreWorks() const {
  std::vector<std::size_t> working;
  for (std::size_t machine = 0; machine < machines_.size(); ++machine) {
    if (machines_[machine].core && works(machine)) working.push_back(machine);
  }
  for (std::uint32_t set = 0; set < (1U << working.size()); ++set) {
    if (static_cast<std::size_t>(__builtin_popcount(set)) < majority()) continue;
    bool whole = true;
    for (std::size_t a = 0; a < working.size() && whole; ++a) {
      for (std::size_t b = 0; b < working.size() && whole; ++b)
        whole = (set >> a & 1U) == 0 || (set >> b & 1U) == 0 || !isCut(working[a], working[b]);
    }
    if (whole) return true;
  }
  return false;
}

bool World::works(std::size_t control) const {
  const Machine& m = machines_[control];
  const Disk& disk = cores_[m.number].disk;
  return m.life != 0 && !m.dark && m.frozenUntil <= now_ && !disk.full && disk.stalledUntil <= now_;
}

void World::disturbCore(Span lasts) {
  calmFrom_ = std::max(calmFrom_, now_ + 1s);
  in(lasts, [this] { calmFrom_ = std::max(calmFrom_, now_ + 1s); });
}

void World::disturbSidecar(std::size_t sidecar, Span lasts) {
  Span& until = machines_[sidecar].disturbedUntil;
  until = std::max(until, now_ + lasts + 1s);
}

}  // namespace rackroute::lab::mesh::emulated
