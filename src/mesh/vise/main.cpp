// The control plane's program: one thread that carries the Vise's words to sockets and its entries to the
// store. It decides nothing; it must never block but in the poll.

#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <utility>

#include "mesh/shop/calls.hpp"
#include "mesh/shop/guest.hpp"
#include "mesh/shop/listener.hpp"
#include "mesh/shop/log.hpp"
#include "mesh/shop/mesh_loop.hpp"
#include "mesh/shop/start.hpp"
#include "mesh/shop/store.hpp"
#include "mesh/shop/talk.hpp"
#include "mesh/vise/vise.hpp"
#include "sidecar/signals.hpp"

namespace rackroute::mesh {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr Span kDialTime = 400ms;   // for a session; a hung dial is given up before the next is due
constexpr auto kOpenPause = 300ms;  // between tries to open a store on a disk that refuses
constexpr Span kLastWords = 50ms;   // after the call to stop, for what was just acknowledged to leave

class ViseProgram {
 public:
  ViseProgram(const JobSheet& sheet, Vise::Built built, std::string sheetFile)
      : sheetFile_(std::move(sheetFile)),
        port_(sheet.firstPort),
        signals_(loop_),
        vise_(std::move(built)),
        store_(sheet.dataFolder) {}

  int run(const JobSheet& sheet) {
    vise_.read(openStore());
    store_.start([this](std::uint64_t batch, bool done) {
      loop_.post([this, batch, done] {
        if (!done) log(Weight::warning, "store", "", "a write was refused");
        act(vise_.written(loop_.now(), {batch}, done));
      });
    });
    talks_.emplace(loop_, talkAddress({sheet.ip + ":0"}, sheet.firstPort),
                   [this](Poco::Net::StreamSocket socket, std::string peer) {
                     came(std::move(socket), std::move(peer));
                   });
    if (!sheet.control.value.empty()) listenToOperators(sheet.control);
    signals_.on(SIGTERM, [this] { stop(); });
    signals_.on(SIGINT, [this] { stop(); });
    signals_.on(SIGHUP, [this] { tellAnew(); });
    loop_.guarded([this] {
      act(vise_.start(loop_.now()));
      tick();
    });
    log(Weight::info, "start", "", "listening", {{"whole", vise_.whole()}});
    loop_.run();
    log(Weight::info, "stop", "", "stopped");
    // Guards against a disk that hangs: the store's thread would be waited for past the grace. Nothing is
    // lost, as nothing is acknowledged before its sync.
    std::quick_exit(0);
  }

 private:
  std::map<std::string, std::string> openStore() {
    for (bool told = false;; told = true) {
      bool foreign = false;
      auto all = store_.open(foreign);
      if (all) return std::move(all).value();
      if (foreign) throw std::runtime_error(all.error().line());
      if (!told) log(Weight::error, all.error().step, all.error().peer, all.error().what);
      std::this_thread::sleep_for(kOpenPause);
    }
  }

  void listenToOperators(const Address& at) {
    house_ = std::make_shared<Guest::House>();
    for (const CallRow& row : kCalls) {
      if (row.by == CallBy::core) house_->mostBody = std::max(house_->mostBody, row.mostBytes);
    }
    house_->asked = [this](const std::shared_ptr<Guest>& guest,
                           std::shared_ptr<const http::Message> request) {
      bool known = false;
      const auto called =
          findCall(CallDoor::control, CallBy::core, request->word(0), request->word(1), known);
      if (!called) return guest->answer(known ? 405 : 404, "", "");
      const CallerNo no{++lastCall_};
      calls_[no] = guest;
      act(called->row->kind == CallKind::changeItems ? vise_.change(loop_.now(), no, request->body())
                                                     : vise_.readBack(loop_.now(), no));
    };
    house_->left = [](Guest&) {};
    operators_.emplace(loop_, at, [this](Poco::Net::StreamSocket socket, std::string peer) {
      std::make_shared<Guest>(loop_, house_, std::move(socket), std::move(peer))->start();
    });
  }

  void came(Poco::Net::StreamSocket socket, std::string peer) {
    const SessionNo no{++lastSession_};
    const auto talk = std::make_shared<Talk>(loop_, packer_, std::move(socket), std::move(peer));
    sessions_[no] = talk;
    talk->accepted(endsOf(no, [this, no] { act(vise_.came(loop_.now(), no)); }));
  }

  Talk::Ends endsOf(SessionNo no, std::function<void()> up) {
    return {std::move(up), [this, no](const json& word) { act(vise_.heard(loop_.now(), no, word)); },
            [this, no] { vise_.alive(loop_.now(), no); },
            [this, no] {
              sessions_.erase(no);
              act(vise_.ended(loop_.now(), no));
            }};
  }

  void dial(const Address& at) {
    const SessionNo no{++lastSession_};
    const auto talk = std::make_shared<Talk>(loop_, packer_, Poco::Net::StreamSocket(), at.value);
    sessions_[no] = talk;
    const auto up = std::make_shared<bool>(false);
    Talk::Ends ends = endsOf(no, [this, no, at, up] {
      *up = true;
      act(vise_.reached(loop_.now(), no, at));
    });
    ends.over = [this, no, at, up] {
      sessions_.erase(no);
      act(*up ? vise_.ended(loop_.now(), no) : vise_.unreached(loop_.now(), at));
    };
    talk->connect(at, kDialTime, std::move(ends));
  }

  void act(const ViseActs& acts) {
    for (const ViseAct& act : acts) {
      switch (act.kind) {
        case ViseAct::Kind::say:
          if (const auto found = sessions_.find(act.session); found != sessions_.end())
            found->second->say(act.text);
          break;
        case ViseAct::Kind::dial:
          dial(act.at);
          break;
        case ViseAct::Kind::hangUp:
          if (const auto found = sessions_.find(act.session); found != sessions_.end()) {
            const auto talk = found->second;
            log(Weight::info, "session", talk->name(), "hung up");
            talk->end(sidecar::Reason::silent);
          }
          break;
        case ViseAct::Kind::write:
          store_.write(act.batch.value, act.entries);
          break;
        case ViseAct::Kind::answer:
          if (const auto found = calls_.find(act.call); found != calls_.end()) {
            if (act.status >= 400) log(Weight::info, "change", "", act.body, {{"status", act.status}});
            found->second->answer(act.status, "Content-Type: application/json\r\n", act.body);
            calls_.erase(found);
          }
          break;
      }
    }
  }

  void tick() {
    act(vise_.tick(loop_.now()));
    loop_.in(Vise::tickEvery(), [this] { tick(); });
  }

  void tellAnew() {
    auto sheet = readSheetFile(sheetFile_);
    if (!sheet) return log(Weight::error, sheet.error().step, sheet.error().peer, sheet.error().what);
    std::vector<Address> seeds;
    for (const Address& seed : sheet.value().seeds) seeds.push_back(talkAddress(seed, port_));
    vise_.seeds(std::move(seeds));
  }

  void stop() {
    if (house_) house_->closing = true;
    loop_.in(kLastWords, [this] { loop_.stop(); });
  }

  MeshLoop loop_;
  Packer packer_;
  std::string sheetFile_;
  std::uint16_t port_;
  sidecar::Signals signals_;
  Vise vise_;
  std::optional<Listener> talks_;
  std::optional<Listener> operators_;
  std::shared_ptr<Guest::House> house_;
  std::map<SessionNo, std::shared_ptr<Talk>> sessions_;
  std::map<CallerNo, std::shared_ptr<Guest>> calls_;
  std::uint64_t lastSession_ = 0;
  std::uint64_t lastCall_ = 0;
  Store store_;  // last, so that its thread ends before what it tells
};

int run(int count, char** words) {
  CLI::App app(
      "The control plane of a rackroute mesh: holds the configuration, the servers and the promises on keys.",
      "rackroute-vise");
  std::string file;
  std::string level = "warning";
  std::size_t perZone = 1;
  app.add_option("--settings", file, "The settings file; otherwise the one that RACKROUTE_CONFIG names");
  app.add_option("--log", level, "The least that is logged")
      ->check(CLI::IsMember({"info", "warning", "error"}));
  app.add_option("--per-zone", perZone, "How many control processes each zone has")->check(CLI::Range(1, 9));
  app.set_version_flag("--version", kVersionText);
  CLI11_PARSE(app, count, words);
  openLog("vise", level);
  const std::string path = sheetPath(file);
  auto read = readSheetFile(path);
  if (!read) throw std::runtime_error(read.error().line());
  const JobSheet sheet = std::move(read).value();
  if (sheet.dataFolder.empty()) throw std::runtime_error("settings (" + path + "): data_dir names no folder");
  limitDescriptors(sheet);
  Vise::Built built;
  built.node = sheet.node;
  built.at = talkAddress({sheet.ip + ":0"}, sheet.firstPort);
  built.zone = sheet.zone;
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  built.life = {static_cast<std::uint64_t>(std::chrono::duration_cast<Span>(wall).count())};
  for (const Address& seed : sheet.seeds) built.seeds.push_back(talkAddress(seed, sheet.firstPort));
  built.voters = perZone * sheet.zones;
  built.firstBoot = sheet.firstBoot;
  built.keyWindow = sheet.keyWindow;
  built.wallAtStart = std::chrono::duration_cast<Span>(wall);
  // Of the voters less a quorum any number may be lost; more is to be known before it happens.
  if (const std::size_t borne = (built.voters - 1) / 2; borne < sheet.bearableLosses) {
    log(Weight::error, "settings", path, "too few control processes for the losses that are to be borne",
        {{"voters", built.voters}, {"borne", borne}, {"asked", sheet.bearableLosses}});
  }
  return ViseProgram(sheet, std::move(built), path).run(sheet);
}

}  // namespace
}  // namespace rackroute::mesh

int main(int count, char** words) {
  return rackroute::mesh::guardedMain("rackroute-vise", [&] { return rackroute::mesh::run(count, words); });
}
