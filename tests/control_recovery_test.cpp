// Control nodes whose disks and power go again while they recover: whatever the moment, they come back by
// themselves, and a read of the configuration ends.

#include <catch2/catch.hpp>
#include <random>

#include "control_requests.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace rackroute::mesh::test;
using namespace std::chrono_literals;

namespace {

constexpr Span kRecover = 15s;  // after the last loss

void lose(ControlCluster& cluster, const std::string& at) {
  cluster.kill(at);
  cluster.wipe(at);
}

/// All that must be so once everything has been back for a while.
void requireRecovered(ControlCluster& cluster) {
  for (const std::string& at : names(4)) {
    REQUIRE(cluster.node(at).settled());
    REQUIRE(statusOf(cluster, cluster.readBack(at)) == 200);
    REQUIRE(routeAt(cluster, at, "look")->generation == Generation{5});
  }
  REQUIRE(send(cluster, name(0), change("look", 6)) == 200);
}

}  // namespace

TEST_CASE("a control process that loses its disk twice joins again, whenever the second loss comes") {
  const bool allLosePower = GENERATE(false, true);
  for (Span between = 0ms; between < 1600ms; between += allLosePower ? 36ms : 12ms) {
    ControlCluster cluster = founded(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    lose(cluster, name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    cluster.run(between);
    lose(cluster, name(3));
    if (allLosePower) {
      for (const std::string& at : names(3)) cluster.kill(at);
      cluster.run(500ms);
      for (const std::string& at : names(3)) cluster.start(at);
    }
    cluster.run(50ms);
    cluster.start(name(3));
    cluster.run(kRecover);
    INFO("between the losses " << between.count() << " us, all lose power: " << allLosePower);
    requireRecovered(cluster);
  }
}

namespace {

/// Troubles drawn close together while one machine's disk is replaced: cuts, losses of power, disks that
/// refuse, and that machine's disk lost again.
class DrawnTroubles {
 public:
  DrawnTroubles(ControlCluster& cluster, unsigned seed) : cluster_(cluster), draw_(seed) {}

  void strike() {
    cluster_.run(std::chrono::milliseconds(below(3) == 0 ? below(900) : below(40)));
    const std::string& one = all_[below(4)];
    const std::string& other = all_[below(4)];
    switch (below(6)) {
      case 0:
        if (one != other) cluster_.cut(one, other);
        return;
      case 1:
        cutHalves();
        return;
      case 2:
        return joinAll();
      case 3:
        cluster_.kill(one);
        return restart(one);
      case 4:
        cluster_.refuseWrites(one, below(2) == 0);
        return;
      default:
        lose(cluster_, all_[3]);
        return restart(all_[3]);
    }
  }
  void end() {
    joinAll();
    for (const std::string& at : all_) {
      cluster_.refuseWrites(at, false);
      if (!cluster_.up(at)) cluster_.start(at);
    }
  }

 private:
  unsigned below(unsigned end) { return static_cast<unsigned>(draw_() % end); }
  void restart(const std::string& at) {
    cluster_.run(std::chrono::milliseconds(below(60)));
    cluster_.start(at);
  }
  void cutHalves() {
    for (const std::size_t left : {0U, 1U}) {
      for (const std::size_t right : {2U, 3U}) cluster_.cut(all_[left], all_[right]);
    }
  }
  void joinAll() {
    for (const std::string& one : all_) {
      for (const std::string& other : all_) cluster_.join(one, other);
    }
  }

  ControlCluster& cluster_;
  std::mt19937 draw_;
  std::vector<std::string> all_ = names(4);
};

}  // namespace

TEST_CASE("drawn cuts, losses of power and refusals while a disk is replaced never hold up reads for good") {
  for (unsigned seed = 1; seed <= 240; ++seed) {
    ControlCluster cluster = founded(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    DrawnTroubles troubles(cluster, seed);
    lose(cluster, name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    for (int i = 0; i < 8; ++i) troubles.strike();
    troubles.end();
    cluster.run(kRecover);
    INFO("seed " << seed);
    requireRecovered(cluster);
  }
}

TEST_CASE("a record of the agreement that can't be read makes its voter another one, and ends no process") {
  for (const std::string record : {"o/0000000000000001", "b/floor", "b/rounds", "d/route/look"}) {
    ControlCluster cluster = founded(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    const Incarnation before = cluster.node(name(3)).membership().self().incarnation;
    cluster.kill(name(3));
    cluster.disk(name(3))[record] = "{";
    cluster.start(name(3));
    CHECK(cluster.refused().size() == 1);
    CHECK(cluster.node(name(3)).membership().self().incarnation != before);
    cluster.run(kRecover);
    requireRecovered(cluster);
  }
}

TEST_CASE("a control process that was cut off while it read serves soon after it is reached again") {
  for (Span readsFor = 0ms; readsFor <= 200ms; readsFor += 10ms) {
    ControlCluster cluster = founded(4);
    cluster.kill(name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    cluster.run(readsFor);
    cluster.cutOff(name(3));
    cluster.run(20ms);
    cluster.cutOff(name(3), false);
    cluster.run(2s);
    cluster.cutOff(name(3));
    cluster.run(600ms);
    cluster.cutOff(name(3), false);
    // Until the ways that broke are noticed and dialled anew.
    cluster.run(2300ms);
    INFO("reads for " << readsFor.count() << " us before it is cut off");
    CHECK(cluster.node(name(3)).settled());
  }
}
