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

constexpr Span kResponseSlack = 400ms;   // after a request's deadline, to detect late responses
constexpr Span kCloseRace = 200ms;       // younger requests may cross the close of their connection
constexpr Span kDisturbanceWindow = 3s;  // after a kill or freeze, lost connections are tolerated
constexpr std::uint32_t kMaxLoggedRequests = 3;

Span spanOf(double seconds) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}

}  // namespace

void ProcessClients::scheduleArrival() {
  if (context_.now() >= context_.loadEnd || context_.day.requestRate <= 0) return;
  context_.loop.after(spanOf(-std::log(1 - uniform01(arrivalRng_)) / context_.day.requestRate),
                      [this] { scheduleArrival(); });
  LoadRequest wanted;
  const double kind = uniform01(arrivalRng_);
  const bool other = uniform01(arrivalRng_) < 0.4;
  if (kind < context_.day.keyedShare) {
    wanted.route = other ? 2 : 1;
    wanted.key = "k" + std::to_string(++keys_);
  } else {
    wanted.route = kind < context_.day.keyedShare + context_.day.effectfulShare ? 4 : other ? 3 : 0;
  }
  wanted.deadline = context_.now() + spanOf(kRoutes[wanted.route].deadline);
  sendRequest(anySidecar(), wanted);
}

std::uint64_t ProcessClients::keyedInFlight(std::optional<std::uint32_t> machine) const {
  return static_cast<std::uint64_t>(std::count_if(inFlight_.begin(), inFlight_.end(), [&](const auto& entry) {
    return entry.second.keyed && (!machine || entry.second.machine == *machine);
  }));
}

int ProcessClients::callerOf(std::uint64_t attempt) const {
  const auto found = machineOf_.find(attempt);
  return found == machineOf_.end() ? -1 : context_.machines.serviceOf(found->second);
}

void ProcessClients::sendRequest(std::uint32_t machine, const LoadRequest& wanted) {
  // The platform sends no new requests to a machine that is shutting down.
  for (std::uint32_t i = 0; excluded_.count(machine) > 0 && i < context_.day.sidecars; ++i)
    machine = context_.machines.sidecarMachine(context_.machines.numberOf(machine) + 1);
  const RouteSpec& route = kRoutes[wanted.route];
  const std::uint64_t attempt = ++attempts_;
  context_.judge.requestSent(context_.now(), attempt, route.kind, wanted.key, route.service);
  inFlight_[attempt] = {machine, route.kind == RequestKind::keyed};
  machineOf_[attempt] = machine;
  std::string text = route.kind == RequestKind::pure ? "GET " : "POST ";
  text += std::string(route.prefix) + "1 HTTP/1.1\r\nHost: " + kHost +
          "\r\nRackroute-Attempt-Id: " + attemptIdHex(attempt) +
          "\r\nRackroute-Deadline-Ms: " + std::to_string((wanted.deadline - context_.now()) / 1ms) + "\r\n";
  if (!wanted.key.empty()) text += "Rackroute-Operation-Key: " + wanted.key + "\r\n";
  text += route.kind == RequestKind::pure ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
  http::GatherBuffer pieces;
  pieces.text(std::move(text));
  context_.httpClient.send(context_.machines.addressOf(machine, Port::outbound), std::move(pieces), "", false,
                           context_.startTime + wanted.deadline + kResponseSlack,
                           [this, machine, wanted, attempt, sentAt = context_.now()](
                               RequestOutcome outcome, const std::shared_ptr<const http::Message>& response) {
                             inFlight_.erase(attempt);
                             checkConnectionEnd(machine, attempt, sentAt, outcome);
                             handleResponse(machine, wanted, attempt, response);
                           });
}

// A process that shuts down must answer the requests that it has read. Exempt are requests that cross the
// close of their connection, and those of the first seconds after the signal at which a server is still at
// work in the last sixth of the grace period.
void ProcessClients::checkConnectionEnd(std::uint32_t machine, std::uint64_t attempt, Span sentAt,
                                        RequestOutcome outcome) {
  const bool lost = outcome == RequestOutcome::connectionLost && context_.now() > sentAt + kCloseRace;
  const Interventions last = interventionsOf_(machine);
  if (!lost || last.disturbedAt + kDisturbanceWindow > sentAt) return;
  const bool endOfGrace = context_.now() >= last.stoppedAt + kGracePeriod * 5 / 6;
  if (endOfGrace && sentAt <= last.stoppedAt + kClientsInformed && servers_.isExecuting(attempt)) return;
  context_.judge.reportViolation(context_.now(), "LOST",
                                 "attempt " + std::to_string(attempt) + " at " +
                                     context_.machines.nameOf(machine) +
                                     ": connection closed without a response");
}

// Checks that the response comes from an execution of this attempt or, for keyed requests, of its key.
void ProcessClients::checkResponse(const LoadRequest& wanted, std::uint64_t attempt,
                                   const http::Message& response) {
  const auto fail = [&](const std::string& what) {
    context_.judge.reportViolation(context_.now(), "MIXED",
                                   "attempt " + std::to_string(attempt) + ": " + what);
  };
  const auto seal = integerField(response, kSealHeader, 10);
  if (response.status() != 200) {
    if (seal) fail("failure response carries a server's seal");
    if (!response.body().empty()) fail("failure response has an unexpected body");
    return;
  }
  if (integerField(response, kAttemptIdHeader, 16) != attempt) fail("response names another attempt");
  const ProcessServers::Run* run = servers_.runOf(seal.value_or(0));
  if (run == nullptr) return fail("response does not match any execution");
  if (wanted.key.empty() && run->attempt != attempt)
    fail("response comes from the execution of another attempt");
  if (response.body() != executionBody(run->attempt, *seal))
    fail("response body differs from that of its execution");
}

void ProcessClients::handleResponse(std::uint32_t machine, const LoadRequest& wanted, std::uint64_t attempt,
                                    const std::shared_ptr<const http::Message>& response) {
  const RouteSpec& route = kRoutes[wanted.route];
  const std::uint32_t status = response ? response->status() : 0;
  const std::uint64_t seal = response ? integerField(*response, kSealHeader, 10).value_or(0) : 0;
  if (response) context_.judge.responseReceived(context_.now(), attempt, status, seal);
  if (response) checkResponse(wanted, attempt, *response);
  if (const auto* run = servers_.runOf(seal);
      status == 200 && run != nullptr && loggedRequests_ < kMaxLoggedRequests) {
    ++loggedRequests_;
    context_.logEvent(std::string(route.prefix) + " sent to " + context_.machines.nameOf(machine) +
                      ": 200, executed by " + run->location);
  }
  if (status == 200) return maybeRepeat(wanted);
  if (status >= 400 && status < 500 && status != 409) return;
  if (route.kind == RequestKind::effectful && status != 503) return;
  LoadRequest next = wanted;
  if (++next.tries > 2 || next.deadline - context_.now() < 100ms) return;
  double backoffSeconds = 0;
  if (const auto retryAfter = response ? response->field("Retry-After") : std::nullopt)
    std::from_chars(retryAfter->data(), retryAfter->data() + retryAfter->size(), backoffSeconds);
  const std::uint32_t to = status == 0 ? anySidecar() : machine;
  context_.loop.after(std::min<Span>(spanOf(backoffSeconds), (next.deadline - context_.now()) / 3) + 5ms,
                      [this, to, next] { sendRequest(to, next); });
}

// Repeats a ratio of the keyed requests after a success.
void ProcessClients::maybeRepeat(const LoadRequest& wanted) {
  const RouteSpec& route = kRoutes[wanted.route];
  if (route.kind != RequestKind::keyed || wanted.isRepeat || uniform01(rng_) >= context_.day.repeatShare)
    return;
  LoadRequest next = wanted;
  next.isRepeat = true;
  next.deadline = context_.now() + spanOf(route.deadline) + 1s;
  context_.loop.after(spanOf(uniform01(rng_)), [this, next] { sendRequest(anySidecar(), next); });
}

}  // namespace rackroute::lab::mesh
