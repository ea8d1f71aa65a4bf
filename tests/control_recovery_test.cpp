// Control nodes that lose disks, power or connections again while they recover: they must always recover
// without help, and reads of the configuration must complete.

#include <catch2/catch.hpp>
#include <random>

#include "control_requests.hpp"

using namespace rackroute;
using namespace rackroute::mesh;
using namespace rackroute::mesh::test;
using namespace std::chrono_literals;

namespace {

constexpr Span kRecoveryTime = 15s;  // after the last fault

void killAndWipe(ControlCluster& cluster, const std::string& at) {
  cluster.kill(at);
  cluster.wipe(at);
}

/// Checks the cluster after all faults have been repaired for kRecoveryTime.
void requireRecovered(ControlCluster& cluster) {
  for (const std::string& at : names(4)) {
    REQUIRE(cluster.node(at).settled());
    REQUIRE(statusOf(cluster, cluster.readBack(at)) == 200);
    REQUIRE(routeAt(cluster, at, "look")->generation == Generation{5});
  }
  REQUIRE(send(cluster, name(0), change("look", 6)) == 200);
}

}  // namespace

TEST_CASE("a control process that loses its disk twice rejoins, whatever the time between the losses") {
  const bool allLosePower = GENERATE(false, true);
  for (Span between = 0ms; between < 1600ms; between += allLosePower ? 36ms : 12ms) {
    ControlCluster cluster = foundedCluster(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    killAndWipe(cluster, name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    cluster.run(between);
    killAndWipe(cluster, name(3));
    if (allLosePower) {
      for (const std::string& at : names(3)) cluster.kill(at);
      cluster.run(500ms);
      for (const std::string& at : names(3)) cluster.start(at);
    }
    cluster.run(50ms);
    cluster.start(name(3));
    cluster.run(kRecoveryTime);
    INFO("time between the losses " << between.count() << " us, all lose power: " << allLosePower);
    requireRecovered(cluster);
  }
}

namespace {

/// Random faults in quick succession while one machine's disk is replaced: disconnections, power losses,
/// disks that refuse writes, and repeated loss of that machine's disk.
class RandomFaults {
 public:
  RandomFaults(ControlCluster& cluster, unsigned seed) : cluster_(cluster), random_(seed) {}

  void inject() {
    cluster_.run(std::chrono::milliseconds(below(3) == 0 ? below(900) : below(40)));
    const std::string& one = all_[below(4)];
    const std::string& other = all_[below(4)];
    switch (below(6)) {
      case 0:
        if (one != other) cluster_.disconnect(one, other);
        return;
      case 1:
        splitInHalves();
        return;
      case 2:
        return reconnectAll();
      case 3:
        cluster_.kill(one);
        return restart(one);
      case 4:
        cluster_.refuseWrites(one, below(2) == 0);
        return;
      default:
        killAndWipe(cluster_, all_[3]);
        return restart(all_[3]);
    }
  }
  void repairAll() {
    reconnectAll();
    for (const std::string& at : all_) {
      cluster_.refuseWrites(at, false);
      if (!cluster_.running(at)) cluster_.start(at);
    }
  }

 private:
  unsigned below(unsigned end) { return static_cast<unsigned>(random_() % end); }
  void restart(const std::string& at) {
    cluster_.run(std::chrono::milliseconds(below(60)));
    cluster_.start(at);
  }
  void splitInHalves() {
    for (const std::size_t left : {0U, 1U}) {
      for (const std::size_t right : {2U, 3U}) cluster_.disconnect(all_[left], all_[right]);
    }
  }
  void reconnectAll() {
    for (const std::string& one : all_) {
      for (const std::string& other : all_) cluster_.reconnect(one, other);
    }
  }

  ControlCluster& cluster_;
  std::mt19937 random_;
  std::vector<std::string> all_ = names(4);
};

}  // namespace

TEST_CASE("random faults during the replacement of a disk never block reads of the configuration for good") {
  for (unsigned seed = 1; seed <= 240; ++seed) {
    ControlCluster cluster = foundedCluster(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    RandomFaults faults(cluster, seed);
    killAndWipe(cluster, name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    for (int i = 0; i < 8; ++i) faults.inject();
    faults.repairAll();
    cluster.run(kRecoveryTime);
    INFO("seed " << seed);
    requireRecovered(cluster);
  }
}

TEST_CASE("a malformed agreement record gives its voter a new incarnation and does not end the process") {
  for (const std::string record : {"o/0000000000000001", "b/floor", "b/rounds", "d/route/look"}) {
    ControlCluster cluster = foundedCluster(4);
    REQUIRE(send(cluster, name(0), change("look", 5)) == 200);
    const Incarnation before = cluster.node(name(3)).membership().self().incarnation;
    cluster.kill(name(3));
    cluster.disk(name(3))[record] = "{";
    cluster.start(name(3));
    CHECK(cluster.refusals().size() == 1);
    CHECK(cluster.node(name(3)).membership().self().incarnation != before);
    cluster.run(kRecoveryTime);
    requireRecovered(cluster);
  }
}

TEST_CASE("a control process that was isolated during recovery is settled soon after it is reconnected") {
  for (Span recoversFor = 0ms; recoversFor <= 200ms; recoversFor += 10ms) {
    ControlCluster cluster = foundedCluster(4);
    cluster.kill(name(3));
    cluster.run(100ms);
    cluster.start(name(3));
    cluster.run(recoversFor);
    cluster.isolate(name(3));
    cluster.run(20ms);
    cluster.isolate(name(3), false);
    cluster.run(2s);
    cluster.isolate(name(3));
    cluster.run(600ms);
    cluster.isolate(name(3), false);
    // Allows for the detection of broken sessions and for dialling them again.
    cluster.run(2300ms);
    INFO("reads for " << recoversFor.count() << " us before it is isolated");
    CHECK(cluster.node(name(3)).settled());
  }
}
