#include "lab/mesh/process_operators.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;

constexpr Span kCallTimeout = 1s;
constexpr Span kRetryInterval = 200ms;
constexpr Span kCloseRace = 50ms;  // younger calls may cross the close of their connection

}  // namespace

void ProcessOperators::call(const std::string& method, std::uint32_t control, const std::string& body,
                            HttpClient::Callback done) {
  http::GatherBuffer pieces;
  pieces.text(method + " /rackroute/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  context_.httpClient.send(
      context_.machines.addressOf(control, Port::control), std::move(pieces), "", false,
      context_.loop.now() + kCallTimeout,
      [this, control, sentAt = context_.now(), done = std::move(done)](
          RequestOutcome outcome, const std::shared_ptr<const http::Message>& response) {
        const bool lost = outcome == RequestOutcome::connectionLost;
        if (lost && context_.now() > sentAt + kCloseRace && disturbedAt_(control) < sentAt)
          context_.judge.reportLoss(context_.now(), context_.machines.nameOf(control) +
                                                        " closed an operator's call without a response");
        done(outcome, response);
      });
}

void ProcessOperators::applyInitialConfig() {
  patch(0, table_.initialConfig(context_.day.idleRoutes), [this](std::uint32_t status) {
    if (status != 200)
      return context_.judge.reportLoss(context_.now(), "the initial configuration was rejected");
    table_.initialConfigAcknowledged(context_.now());
    context_.logEvent("the initial configuration is acknowledged");
  });
}

void ProcessOperators::patch(std::uint32_t control, const std::string& body,
                             const std::function<void(std::uint32_t)>& done) {
  call("PATCH", control, body,
       [this, control, body, done](RequestOutcome, const std::shared_ptr<const http::Message>& response) {
         if (response && response->status() < 500) return done(response->status());
         context_.loop.after(kRetryInterval, [this, control, body, done] {
           patch((control + 1) % context_.day.controls, body, done);
         });
       });
}

void ProcessOperators::change(std::uint32_t who, bool race, bool bad) {
  const std::string name = kRoutes[who % kRoutes.size()].name;
  const std::uint64_t generation = table_.nextVersion(who);
  for (int operatorNo = 0; operatorNo < (race ? 2 : 1); ++operatorNo) {
    patch((who + static_cast<std::uint32_t>(operatorNo)) % context_.day.controls,
          table_.change(who, generation, operatorNo, bad),
          [this, name, generation, bad](std::uint32_t status) {
            if (bad && status == 200)
              context_.judge.reportViolation(context_.now(), "CONFIG",
                                             "an invalid configuration change was acknowledged");
            if (status == 200 && !bad) table_.changeAcknowledged(context_.now(), name, generation);
          });
  }
}

void ProcessOperators::readBack(std::uint32_t control, Span until, const std::function<void()>& done) {
  call("GET", control, "",
       [this, control, until, done](RequestOutcome, const std::shared_ptr<const http::Message>& response) {
         if (response && response->status() == 200) {
           table_.checkReadBack(context_.now(), json::parse(response->body()), context_.judge);
           context_.logEvent("configuration read back from " + context_.machines.nameOf(control) + ": " +
                             std::to_string(response->body().size()) + " bytes");
           return done();
         }
         if (context_.now() < until) {
           context_.loop.after(kRetryInterval, [this, control, until, done] {
             readBack((control + 1) % context_.day.controls, until, done);
           });
           return;
         }
         context_.judge.reportLoss(context_.now(), "no response to the read-back of the configuration");
         done();
       });
}

}  // namespace rackroute::lab::mesh
