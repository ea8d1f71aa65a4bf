// The data plane's program: one thread that carries requests between clients, other processes and the server
// here, as the Shuttle says. It owns the bytes and decides nothing; it must never block but in the poll.

#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "mesh/plan/span_text.hpp"
#include "mesh/shop/calls.hpp"
#include "mesh/shop/errand.hpp"
#include "mesh/shop/guest.hpp"
#include "mesh/shop/listener.hpp"
#include "mesh/shop/log.hpp"
#include "mesh/shop/mesh_loop.hpp"
#include "mesh/shop/start.hpp"
#include "mesh/shop/talk.hpp"
#include "mesh/shuttle/shuttle.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Span kDialHop = 300ms;     // to another process; some hundred trips
constexpr Span kDialServer = 500ms;  // to the server here; its queue of connections may be full for a while
constexpr Span kIdleHop = 20s;    // a connection between processes is kept unused; the other keeps it longer
constexpr Span kIdleServer = 4s;  // to the server, where it announces nothing
constexpr Span kUnread = 1500ms;  // without word of another machine's kernel, it is gone
constexpr Span kDialControl = 400ms;  // for a session; a hung dial is given up before the next is due
constexpr Span kSpare = 250ms;        // beyond the client's deadline, for a server's own word that it is over
constexpr Span kHopSpare = 300ms;     // beyond that, for the process beside it
constexpr std::size_t kMostIdle = 64;          // connections for one address
constexpr std::size_t kMostAnswer = 64 << 20;  // bytes of a body
constexpr std::size_t kKeptPart =
    8;  // one part in so many of the memory is for answers that repeats may want
constexpr Span kStillComing =
    2600ms;                     // after the call to stop: two missed looks at the readiness, and a margin
constexpr Span kQuiet = 300ms;  // without work before it ends
constexpr Span kBeforeKill = 400ms;  // of the grace, kept to end by itself
constexpr Span kNextLife = 900ms;    // from the end of a process until the next one takes requests
constexpr Span kLastAnswer = 150ms;  // for an answer to leave, before the end
constexpr Span kLook = 50ms;         // between looks while it ends
constexpr Span kHopIdle = 60s;       // a connection from another process; that one ends it first

std::optional<Span> patienceOf(const http::Message& request) {
  const auto field = request.field(kDeadline);
  double milliseconds = 0;
  if (!field) return std::nullopt;
  const auto [end, error] = std::from_chars(field->data(), field->data() + field->size(), milliseconds);
  if (error != std::errc{} || !(milliseconds >= 0) || milliseconds > 1e9) return std::nullopt;
  return Span(static_cast<Span::rep>(milliseconds * 1000));
}

std::string spanSeconds(Span span) {
  const auto milliseconds = span / 1ms;
  std::string fraction = std::to_string(milliseconds % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(milliseconds / 1000) + '.' + fraction;
}

class ShuttleProgram {
 public:
  ShuttleProgram(const JobSheet& sheet, Shuttle::Built built, std::string sheetFile)
      : sheet_(sheet),
        sheetFile_(std::move(sheetFile)),
        signals_(loop_),
        shuttle_(std::move(built)),
        hops_(loop_, {kDialHop, kIdleHop, kUnread, kMostAnswer, kMostIdle}),
        servers_(loop_, {kDialServer, kIdleServer, Span{0}, kMostAnswer, kMostIdle}) {}

  int run() {
    listen(sheet_.outbound, clients_, Guest::House{},
           [this](const auto& guest, auto request) { asked(guest, std::move(request)); });
    Guest::House hops;
    hops.idle = kHopIdle;
    hops.mostBody = kMostAnswer;
    listen(sheet_.inbound, hopsIn_, std::move(hops),
           [this](const auto& guest, auto request) { hopAsked(guest, std::move(request)); });
    listen(sheet_.ready, looks_, Guest::House{},
           [this](const auto& guest, auto request) { called(CallDoor::ready, guest, *request); });
    listen(sheet_.control, beats_, Guest::House{},
           [this](const auto& guest, auto request) { called(CallDoor::control, guest, *request); });
    clients_->mostBody = kMostAnswer;
    clients_->left = [this](Guest& guest) { forget(guest); };
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { tellAnew(); });
    loop_.guarded([this] { tick(); });
    log(Weight::info, "start", "", "listening");
    loop_.run();
    log(Weight::info, "stop", "", "stopped");
    // Guards against a slow machine that takes hundreds of connections apart one by one past the grace. All
    // answers are written; the kernel sees them off.
    std::quick_exit(0);
  }

 private:
  using House = std::shared_ptr<Guest::House>;
  struct Inside {  // a client's request
    std::shared_ptr<Guest> guest;
    std::shared_ptr<const http::Message> request;
  };

  template <class Asked>
  void listen(const Address& at, House& house, Guest::House made, Asked asked) {
    house = std::make_shared<Guest::House>(std::move(made));
    house->asked = asked;
    house->left = [](Guest&) {};
    if (at.value.empty()) return;
    listeners_.push_back(std::make_unique<Listener>(
        loop_, at, [this, house](Poco::Net::StreamSocket socket, std::string peer) {
          std::make_shared<Guest>(loop_, house, std::move(socket), std::move(peer))->start();
        }));
  }

  // A request of a client here.
  void asked(const std::shared_ptr<Guest>& guest, std::shared_ptr<const http::Message> request) {
    lastAsked_ = loop_.now();
    if (!shuttle_.serving(loop_.now())) return guest->answer(503, "Retry-After: 0.3\r\n", "");
    // Guards against a request that this process could not see to its end before it is killed. What is usual
    // for its route counts, not how long its client would wait: that turned away a machine's long look-ups
    // for as long as it was sent any. What takes longer has been at work for half of the grace.
    // Its client is told when the next life takes requests, not to use up its tries on this one.
    if (stopAt_ > Span{0} && loop_.now() + usualFor(*request) + kLastAnswer > endAt()) {
      const Span back = std::max(Span{0}, endAt() - loop_.now()) + kNextLife;
      return guest->answer(503, "Retry-After: " + spanSeconds(back) + "\r\n", "");
    }
    const CallNo no{++lastCall_};
    Asked asked;
    asked.host = request->field("Host").value_or("");
    asked.path = request->word(1);
    asked.patience = patienceOf(*request);
    calls_[no] = {guest, request};
    act(shuttle_.asked(loop_.now(), no, asked));
  }

  [[nodiscard]] Span usualFor(const http::Message& request) const {
    const auto route = shuttle_.caller().book().find(request.field("Host").value_or(""), request.word(1));
    return route ? route->aim : Span{0};
  }

  void forget(const Guest& guest) {
    // Its request goes on where it is at work; only the answer has nowhere to go.
    for (auto& [no, inside] : calls_) {
      if (inside.guest.get() == &guest) inside.guest.reset();
    }
  }

  // A request of another process for the server here.
  void hopAsked(const std::shared_ptr<Guest>& guest, std::shared_ptr<const http::Message> request) {
    const auto field = request->field(kHop);
    const auto ask = field ? askFrom(*field) : std::nullopt;
    if (!ask) return guest->answer(400, "", "");
    const AskNo no{++lastAsk_};
    asks_[no] = {guest, request};
    std::optional<std::string> key;
    if (ask->kind == RouteKind::keyed) {
      if (const auto given = request->field(kOperation)) key = std::string(*given);
    }
    act(shuttle_.hopAsked(loop_.now(), no, *ask, key));
  }

  void called(CallDoor door, const std::shared_ptr<Guest>& guest, const http::Message& request) {
    bool known = false;
    const auto call = findCall(door, CallBy::auxiliary, request.word(0), request.word(1), known);
    if (!call) return guest->answer(known ? 405 : 404, "", "");
    if (call->row->kind == CallKind::readiness)
      return guest->answer(shuttle_.ready(loop_.now()) ? 200 : 503, "", "");
    Beat beat;
    beat.id = {std::string(call->name)};
    if (call->row->kind == CallKind::signOff) {
      beat.gone = true;
    } else {
      const json body = json::parse(request.body(), nullptr, false);
      try {
        const json& details = body.at("details");
        const json& observed = body.at("observed");
        beat.address = {body.at("address").get<std::string>()};
        beat.service = {details.at("target").get<std::string>()};
        beat.zone = details.value("zone", std::string());
        beat.capacity = details.value("capacity", 1U);
        beat.draining = observed.at("phase") == "draining";
        beat.seq = observed.at("call_seq").get<std::uint64_t>();
        beat.coldLeft = readSpan(observed.value("cold_left", std::string("0ms"))).value_or(Span{0});
      } catch (const json::exception& error) {
        log(Weight::warning, "beat", std::string(call->name), error.what());
        return guest->answer(400, "", "");
      }
    }
    act(shuttle_.beat(loop_.now(), beat));
    guest->answer(200, "Content-Type: application/json\r\n", "{}");
  }

  void act(ShuttleActs acts) {
    for (CallAct& act : acts.calls) this->act(act);
    for (DoorAct& act : acts.door) this->act(act);
    for (FeedAct& act : acts.feed) this->act(act);
    wakeInTime();
  }

  void act(CallAct& act) {
    const auto found = calls_.find(act.call);
    if (found == calls_.end()) return;
    if (act.kind == CallAct::Kind::send) return hop(found->second, act);
    const Inside inside = std::move(found->second);
    calls_.erase(found);
    if (!inside.guest) return;
    if (act.kind == CallAct::Kind::pass) {
      inside.guest->pass(std::static_pointer_cast<const http::Message>(act.bytes), "");
    } else {
      std::string fields;
      if (act.comeBack > Span{0}) fields = "Retry-After: " + spanSeconds(act.comeBack) + "\r\n";
      inside.guest->answer(act.status, fields, "");
    }
  }

  static void beginRequest(std::string& head, const http::Message& request, std::string_view but) {
    head += request.word(0);
    head += ' ';
    head += request.word(1);
    head += " HTTP/1.1\r\n";
    for (const std::string_view lines : request.endToEnd(but)) head += lines;
  }
  static http::Gather endRequest(std::string head, const std::shared_ptr<const http::Message>& request) {
    if (!request->body().empty() || request->length() || request->chunked())
      head += "Content-Length: " + std::to_string(request->body().size()) + "\r\n";
    head += "\r\n";
    http::Gather pieces;
    pieces.text(std::move(head));
    pieces.keep(request);
    pieces.view(request->body());
    return pieces;
  }

  void hop(const Inside& inside, const CallAct& act) {
    // Fields of this hop alone are named in Connection: the next process drops them, and whatever a client
    // put under these names.
    std::string head;
    beginRequest(head, *inside.request, kHop);
    head += "Rackroute-Hop: " + textOf(act.ask) +
            "\r\nConnection: rackroute-hop, rackroute-caller-service, rackroute-expect-instance, "
            "rackroute-deadline-ms\r\n";
    const Span until = loop_.now() + act.ask.left + kSpare + kHopSpare;
    hops_.send(
        act.at, endRequest(std::move(head), inside.request), {}, inside.request->word(0) == "HEAD", until,
        [this, call = act.call, sent = act.sent](Errand how, std::shared_ptr<const http::Message> answer) {
          HopTold told;
          Hopped hopped = Hopped::told;
          std::uint32_t status = 0;
          if (how == Errand::answered) {
            const auto field = answer->field(kHop);
            const auto read = field ? toldFrom(*field) : std::nullopt;
            if (read) told = *read;
            if (!read) hopped = Hopped::broken;
            status = answer->status();
          } else {
            hopped = how == Errand::notSent  ? Hopped::notSent
                     : how == Errand::silent ? Hopped::silent
                                             : Hopped::broken;
          }
          this->act(shuttle_.hopped(loop_.now(), call, sent, hopped, told, status, std::move(answer)));
        });
  }

  void act(DoorAct& act) {
    const auto found = asks_.find(act.ask);
    if (found == asks_.end()) return;
    if (act.kind == DoorAct::Kind::run) return serve(found->second, act);
    const Inside inside = std::move(found->second);
    asks_.erase(found);
    const std::string told = "Rackroute-Hop: " + textOf(act.told) + "\r\nConnection: rackroute-hop\r\n";
    if (!act.bytes) return inside.guest->answer(503, told, "");
    std::string fields;
    if (const auto attempt = inside.request->field(kAttempt))
      fields = "Rackroute-Attempt-Id: " + std::string(*attempt) + "\r\n";
    inside.guest->pass(std::static_pointer_cast<const http::Message>(act.bytes), fields + told, kAttempt);
  }

  void serve(const Inside& inside, const DoorAct& act) {
    std::string head;
    beginRequest(head, *inside.request, kHop);
    head += "Rackroute-Deadline-Ms: " + std::to_string(act.left / 1ms) +
            "\r\nRackroute-Expect-Instance: " + act.instance.value + "\r\n";
    if (!act.caller.value.empty()) head += "Rackroute-Caller-Service: " + act.caller.value + "\r\n";
    const std::string attempt(inside.request->field(kAttempt).value_or(""));
    servers_.send(act.server, endRequest(std::move(head), inside.request), attempt,
                  inside.request->word(0) == "HEAD", loop_.now() + act.left + kSpare,
                  [this, ask = act.ask](Errand how, const std::shared_ptr<const http::Message>& answer) {
                    ServerAnswer told;
                    AtServer end = AtServer::broken;
                    switch (how) {
                      case Errand::answered:
                        end = AtServer::answered;
                        told.status = answer->status();
                        told.notRun = answer->field(kNotRun).has_value() || answer->status() == 421;
                        told.bytes = answer;
                        told.size = answer->body().size() + 512;
                        break;
                      case Errand::notSent:
                        end = AtServer::notSent;
                        break;
                      case Errand::silent:
                        end = AtServer::timedOut;
                        break;
                      case Errand::spoilt:
                        end = AtServer::spoilt;
                        break;
                      case Errand::broken:
                        break;
                    }
                    this->act(shuttle_.ran(loop_.now(), ask, end, told));
                  });
  }

  void act(const FeedAct& act) {
    const auto found = talks_.find(act.at);
    switch (act.kind) {
      case FeedAct::Kind::say:
        if (found != talks_.end()) found->second->say(act.text);
        break;
      case FeedAct::Kind::hangUp:
        if (found != talks_.end()) {
          const auto talk = found->second;
          talks_.erase(found);
          log(Weight::info, "session", act.at.value, "silent");
          talk->end(sidecar::Reason::silent);
        }
        break;
      case FeedAct::Kind::dial: {
        if (found != talks_.end()) return;
        const auto talk = std::make_shared<Talk>(loop_, packer_, Poco::Net::StreamSocket(), act.at.value);
        talks_[act.at] = talk;
        talk->connect(
            act.at, kDialControl,
            {[this, at = act.at] { this->act(shuttle_.reached(loop_.now(), at)); },
             [this, at = act.at](const json& word) { this->act(shuttle_.heard(loop_.now(), at, word)); },
             [this, at = act.at] { shuttle_.alive(loop_.now(), at); },
             [this, at = act.at, talk = talk.get()] {
               const auto held = talks_.find(at);
               if (held == talks_.end() || held->second.get() != talk) return;
               talks_.erase(held);
               this->act(shuttle_.ended(loop_.now(), at));
             }});
        break;
      }
      default:
        break;
    }
  }

  void wakeInTime() {
    const Span next = shuttle_.nextTick(loop_.now());
    if (wakes_ && next >= wakeAt_) return;
    loop_.cancel(wake_);
    wakes_ = true;
    wakeAt_ = next;
    wake_ = loop_.at(next, [this] {
      wakes_ = false;
      tick();
    });
  }

  void tick() {
    if (clients_) {
      const Limits& limits = shuttle_.caller().book().limits();
      clients_->header = limits.header;
      clients_->idle = limits.idle;
    }
    act(shuttle_.tick(loop_.now()));
    if (const bool ready = shuttle_.ready(loop_.now()); ready != told_) {
      told_ = ready;
      log(Weight::info, "ready", "", ready ? "requests are taken" : "clients are to go elsewhere");
    }
  }

  void tellAnew() {
    auto sheet = readSheetFile(sheetFile_);
    if (!sheet) return log(Weight::error, sheet.error().step, sheet.error().peer, sheet.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : sheet.value().seeds) seeds.push_back(talkAddress(seed, sheet_.firstPort));
    shuttle_.seeds(std::move(seeds));
  }

  void stop() {
    if (stopAt_ > Span{0}) return;
    stopAt_ = loop_.now();
    log(Weight::info, "stop", "", "leaving");
    clients_->closing = hopsIn_->closing = true;
    act(shuttle_.leave(loop_.now()));
    look();
  }

  [[nodiscard]] Span endAt() const { return stopAt_ + sheet_.grace - kBeforeKill; }

  void look() {
    const Span now = loop_.now();
    const bool quiet = calls_.empty() && asks_.empty() && lastAsked_ + kQuiet <= now;
    if ((quiet && stopAt_ + kStillComing <= now) || endAt() <= now) return loop_.stop();
    loop_.in(kLook, [this] { look(); });
  }

  MeshLoop loop_;
  Packer packer_;
  JobSheet sheet_;
  std::string sheetFile_;
  sidecar::Signals signals_;
  Shuttle shuttle_;
  Errands hops_;
  Errands servers_;
  House clients_, hopsIn_, looks_, beats_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<CallNo, Inside> calls_;
  std::map<AskNo, Inside> asks_;
  std::map<Address, std::shared_ptr<Talk>> talks_;
  sidecar::Loop::TimerId wake_;
  Span wakeAt_{};
  bool wakes_ = false;
  bool told_ = false;  // whether the log's last word is that it is ready
  Span lastAsked_{};
  Span stopAt_{};
  std::uint64_t lastCall_ = 0;
  std::uint64_t lastAsk_ = 0;
};

int run(int count, char** words) {
  CLI::App app("The data plane of a rackroute mesh: carries the requests of one machine.",
               "rackroute-shuttle");
  std::string file;
  std::string level = "warning";
  app.add_option("--settings", file, "The settings file; otherwise the one that RACKROUTE_CONFIG names");
  app.add_option("--log", level, "The least that is logged")
      ->check(CLI::IsMember({"info", "warning", "error"}));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, count, words);
  openLog("shuttle", level);
  const std::string path = sheetPath(file);
  auto read = readSheetFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const JobSheet sheet = std::move(read).value();
  for (const auto& [name, at] :
       {std::pair("inbound", sheet.inbound), std::pair("outbound", sheet.outbound)}) {
    if (at.value.empty())
      throw std::runtime_error("settings (" + path + "): listen_addrs." + name + " is missing");
  }
  limitDescriptors(sheet);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const LifeNo life{static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  Shuttle::Built built;
  built.caller.node = sheet.node;
  built.caller.zone = sheet.zone;
  built.caller.service = sheet.target;
  built.caller.allowance = {sheet.retryRatio, sheet.retrySlack, sheet.retryWindow};
  built.caller.seed = life.value ^ std::hash<std::string>{}(sheet.node.value);
  built.door.node = sheet.node;
  built.door.at = sheet.inbound;
  built.door.zone = sheet.zone;
  built.door.life = life;
  built.door.service = sheet.target;
  built.door.server = sheet.server;
  built.door.drain = sheet.drain;
  built.door.keyWindow = sheet.keyWindow;
  built.door.mostKept = (std::max<std::size_t>(sheet.memoryMb, 64) << 20) / kKeptPart;
  built.feed.node = sheet.node;
  built.feed.at = sheet.inbound;
  built.feed.zone = sheet.zone;
  built.feed.life = life;
  for (const Address& seed : sheet.seeds) built.feed.seeds.push_back(talkAddress(seed, sheet.firstPort));
  return ShuttleProgram(sheet, std::move(built), path).run();
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** words) {
  return rackroute::mesh::guardedMain("rackroute-shuttle",
                                      [&] { return rackroute::mesh::run(count, words); });
}
