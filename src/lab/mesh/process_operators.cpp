#include "lab/mesh/process_operators.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace rackroute::lab::mesh {
namespace {

using namespace std::chrono_literals;
using namespace rackroute::mesh;
using nlohmann::json;

constexpr Span kCall = 1s;      // an operator waits for an answer
constexpr Span kPause = 200ms;  // between its tries

}  // namespace

void ProcessOperators::call(const std::string& method, std::uint32_t control, const std::string& body,
                            HttpClient::Done done) {
  http::GatherBuffer pieces;
  pieces.text(method + " /rackroute/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  context_.httpClient.send(context_.machines.at(control, Port::control), std::move(pieces), "", false,
                           context_.loop.now() + kCall, std::move(done));
}

void ProcessOperators::begin() {
  patch(0, table_.firstItems(context_.day.idleRoutes), [this](std::uint32_t status) {
    if (status != 200) return context_.judge.lost(context_.now(), "the first items were not acknowledged");
    table_.acknowledgedFirst(context_.now());
    context_.tell("the configuration is acknowledged");
  });
}

void ProcessOperators::patch(std::uint32_t control, const std::string& body,
                             const std::function<void(std::uint32_t)>& done) {
  call("PATCH", control, body,
       [this, control, body, done](RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
         if (answer && answer->status() < 500) return done(answer->status());
         context_.loop.in(kPause, [this, control, body, done] {
           patch((control + 1) % context_.day.controls, body, done);
         });
       });
}

void ProcessOperators::change(std::uint32_t who, bool race, bool bad) {
  const std::string name = kRoutes[who % kRoutes.size()].name;
  const std::uint64_t generation = table_.next(who);
  for (int operatorNo = 0; operatorNo < (race ? 2 : 1); ++operatorNo) {
    patch((who + static_cast<std::uint32_t>(operatorNo)) % context_.day.controls,
          table_.change(who, generation, operatorNo, bad),
          [this, name, generation, bad](std::uint32_t status) {
            if (bad && status == 200)
              context_.judge.failed(context_.now(), "CONFIG", "an invalid change was acknowledged");
            if (status == 200 && !bad) table_.acknowledged(context_.now(), name, generation);
          });
  }
}

void ProcessOperators::readBack(std::uint32_t control, Span until, const std::function<void()>& done) {
  call("GET", control, "",
       [this, control, until, done](RequestOutcome, const std::shared_ptr<const http::Message>& answer) {
         if (answer && answer->status() == 200) {
           table_.readBack(context_.now(), json::parse(answer->body()), context_.judge);
           context_.tell("read back from " + context_.machines.nameOf(control) + ": " +
                         std::to_string(answer->body().size()) + " bytes");
           return done();
         }
         if (context_.now() < until) {
           context_.loop.in(kPause, [this, control, until, done] {
             readBack((control + 1) % context_.day.controls, until, done);
           });
           return;
         }
         context_.judge.lost(context_.now(), "no answer to the reading back");
         done();
       });
}

}  // namespace rackroute::lab::mesh
