#include "lab/mesh/process_clients.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "mesh/forwarding/forwarding.hpp"

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;

constexpr Span kSpare = 400ms;      // beyond a client's deadline, for a late answer
constexpr Span kCrosses = 200ms;    // a request that is younger may have crossed its connection's end
constexpr Span kQuietBefore = 3s;   // since a process was killed or frozen, before its ends are judged
constexpr std::uint32_t kTold = 3;  // requests whose way is told

Span spanOf(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace

void ProcessClients::arrive() {
  if (context_.now() >= context_.end || context_.day.perSecond <= 0) return;
  context_.loop.in(spanOf(-std::log(1 - uniform01(arrivals_)) / context_.day.perSecond),
                   [this] { arrive(); });
  Wanted wanted;
  const double kind = uniform01(arrivals_);
  const bool other = uniform01(arrivals_) < 0.4;
  if (kind < context_.day.keyed) {
    wanted.route = other ? 2 : 1;
    wanted.key = "k" + std::to_string(++keys_);
  } else {
    wanted.route = kind < context_.day.keyed + context_.day.effectful ? 4 : other ? 3 : 0;
  }
  wanted.until = context_.now() + spanOf(kRoutes[wanted.route].deadline);
  ask(anySidecar(), wanted);
}

std::uint64_t ProcessClients::keyedOpen(std::optional<std::uint32_t> machine) const {
  return static_cast<std::uint64_t>(std::count_if(open_.begin(), open_.end(), [&](const auto& entry) {
    return entry.second.keyed && (!machine || entry.second.machine == *machine);
  }));
}

int ProcessClients::callerOf(std::uint64_t attempt) const {
  const auto found = machineOf_.find(attempt);
  return found == machineOf_.end() ? -1 : context_.machines.serviceOf(found->second);
}

void ProcessClients::ask(std::uint32_t machine, const Wanted& wanted) {
  // A client goes where its platform sends it: not to a machine whose process leaves.
  for (std::uint32_t i = 0; leaving_.count(machine) > 0 && i < context_.day.sidecars; ++i)
    machine = context_.machines.sidecar(context_.machines.numberOf(machine) + 1);
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint64_t attempt = ++attempts_;
  context_.judge.sent(context_.now(), attempt, route.sort, wanted.key, route.service);
  open_[attempt] = {machine, route.sort == Sort::keyed};
  machineOf_[attempt] = machine;
  std::string text = route.sort == Sort::pure ? "GET " : "POST ";
  text += std::string(route.prefix) + "1 HTTP/1.1\r\nHost: " + kHost +
          "\r\nRackroute-Attempt-Id: " + attemptText(attempt) +
          "\r\nRackroute-Deadline-Ms: " + std::to_string((wanted.until - context_.now()) / 1ms) + "\r\n";
  if (!wanted.key.empty()) text += "Rackroute-Operation-Key: " + wanted.key + "\r\n";
  text += route.sort == Sort::pure ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
  http::Gather pieces;
  pieces.text(std::move(text));
  context_.httpClient.send(context_.machines.at(machine, Port::outbound), std::move(pieces), "", false,
                           context_.zero + wanted.until + kSpare,
                           [this, machine, wanted, attempt, sentAt = context_.now()](
                               RequestOutcome how, const std::shared_ptr<const http::Message>& answer) {
                             open_.erase(attempt);
                             judgeEnd(machine, attempt, sentAt, how);
                             answered(machine, wanted, attempt, answer);
                           });
}

// A process that is told to end answers what it has read; a request that crosses its end is not read.
void ProcessClients::judgeEnd(std::uint32_t machine, std::uint64_t attempt, Span sentAt, RequestOutcome how) {
  const bool cut = how == RequestOutcome::connectionLost && context_.now() > sentAt + kCrosses;
  if (!cut || disturbedAt_(machine) + kQuietBefore > sentAt) return;
  context_.judge.failed(context_.now(), "LOST",
                        "attempt " + std::to_string(attempt) + " at " + context_.machines.nameOf(machine) +
                            ": its connection ended without an answer");
}

// That every byte of it is of this attempt's run, or of the first run of its key.
void ProcessClients::check(const Wanted& wanted, std::uint64_t attempt, const http::Message& answer) {
  const auto mixed = [&](const std::string& what) {
    context_.judge.failed(context_.now(), "MIXED", "attempt " + std::to_string(attempt) + ": " + what);
  };
  const auto seal = numberIn(answer, kSeal, 10);
  if (answer.status() != 200) {
    if (seal) mixed("a failure bears a server's seal");
    if (!answer.body().empty()) mixed("a failure has bytes that no server sent with it");
    return;
  }
  if (numberIn(answer, kAttemptIdHeader, 16) != attempt) mixed("it got another's answer");
  const ProcessServers::Run* run = servers_.runOf(seal.value_or(0));
  if (run == nullptr) return mixed("its answer has no run");
  if (wanted.key.empty() && run->attempt != attempt) mixed("its answer is another attempt's run");
  if (answer.body() != bodyOf(run->attempt, *seal)) mixed("its answer's bytes are not its run's");
}

void ProcessClients::answered(std::uint32_t machine, const Wanted& wanted, std::uint64_t attempt,
                              const std::shared_ptr<const http::Message>& answer) {
  const RouteTold& route = kRoutes[wanted.route];
  const std::uint32_t status = answer ? answer->status() : 0;
  const std::uint64_t seal = answer ? numberIn(*answer, kSeal, 10).value_or(0) : 0;
  if (answer) context_.judge.answered(context_.now(), attempt, status, seal);
  if (answer) check(wanted, attempt, *answer);
  if (const auto* run = servers_.runOf(seal); status == 200 && run != nullptr && told_ < kTold) {
    ++told_;
    context_.tell(std::string(route.prefix) + " asked at " + context_.machines.nameOf(machine) +
                  ": 200, run by " + run->where);
  }
  if (status == 200) return again(wanted);
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.sort == Sort::effectful && status != 503) return;
  Wanted next = wanted;
  if (++next.tries > 2 || next.until - context_.now() < 100ms) return;
  double comeBack = 0;
  if (const auto told = answer ? answer->field("Retry-After") : std::nullopt)
    std::from_chars(told->data(), told->data() + told->size(), comeBack);
  const std::uint32_t to = status == 0 ? anySidecar() : machine;
  context_.loop.in(std::min<Span>(spanOf(comeBack), (next.until - context_.now()) / 3) + 5ms,
                   [this, to, next] { ask(to, next); });
}

// Some keyed ones come once more after a good answer.
void ProcessClients::again(const Wanted& wanted) {
  const RouteTold& route = kRoutes[wanted.route];
  if (route.sort != Sort::keyed || wanted.again || uniform01(chance_) >= context_.day.again) return;
  Wanted next = wanted;
  next.again = true;
  next.until = context_.now() + spanOf(route.deadline) + 1s;
  context_.loop.in(spanOf(uniform01(chance_)), [this, next] { ask(anySidecar(), next); });
}

}  // namespace rackroute::lab::mesh
