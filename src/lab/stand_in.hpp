#pragma once

// What both clocks share of a run: a stand-in server with the troubles it is in, what a client does with an
// answer, what each trouble does, and which servers each balancer was told of. No clock and no I/O of its
// own.

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lab/audit.hpp"
#include "lab/fleet.hpp"
#include "lab/registry_model.hpp"
#include "lab/server_model.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

/// Of a query's work that one costs that fails at once.
inline constexpr double kErrorWork = 0.05;

struct StandIn {
  explicit StandIn(const FleetServer& server) : drawn(server), model(server.traits) {}

  FleetServer drawn;
  ServerModel model;
  double errors = 0;  // share of queries that fail at once
  std::optional<std::uint32_t> errorsOf;
  double resets = 0;  // share of connections that break after the query
  double cuts = 0;    // share of answers that break off
  double spoils = 0;  // share of answers that can't be read
};

/// The marks of the servers that discard repeats together.
class MarkGroups {
 public:
  /// What an execution of it is at that server.
  Job jobOf(const Scenario& scenario, const Ask& ask, const FleetServer& server, std::uint64_t id);

 private:
  std::map<std::pair<DedupScope, std::int64_t>, Marks> marks_;
};

/// What a client does next: it comes again after so long, or it is over like this.
struct NextStep {
  std::optional<Span> again;
  Fate fate = Fate::failed;
};

/// After its answer; tries counts this one.
NextStep afterAnswer(const Scenario& scenario, const Ask& ask, std::uint32_t tries, Answer how, Span advice,
                     Span now);
/// After its time was up with none.
NextStep afterSilence(const Scenario& scenario, const Ask& ask, std::uint32_t tries, Span now);

/// Which servers each balancer was told of as serving, and the judge with it.
class ToldLists {
 public:
  ToldLists(const Scenario& scenario, const std::vector<FleetServer>& fleet, Audit& audit)
      : scenario_(scenario), fleet_(fleet), audit_(audit) {
    held_.assign(scenario.balancers, std::vector<bool>(fleet.size()));
  }
  void tell(Span now, std::uint32_t balancer, bool whole, const std::vector<RegistryEntry>& entries);

 private:
  const Scenario& scenario_;
  const std::vector<FleetServer> fleet_;
  Audit& audit_;
  std::vector<std::vector<bool>> held_;
};

/// What a trouble needs of the run that it befalls.
class Stricken {
 public:
  Stricken() = default;
  Stricken(const Stricken&) = delete;
  Stricken& operator=(const Stricken&) = delete;
  virtual ~Stricken() = default;

  virtual Span now() const = 0;
  virtual void later(Span wait, std::function<void()> deed) = 0;
  virtual StandIn& standIn(std::size_t server) = 0;
  virtual void turn(std::size_t server) = 0;  // its next end may be another now
  virtual void die(std::size_t server, bool vanish) = 0;
  virtual void come(std::size_t server) = 0;
  virtual void changed(std::size_t server, Lifecycle lifecycle) = 0;  // as discovery will know
  virtual void cutOff(std::optional<std::uint32_t> zone) = 0;
  virtual void watchBroke(std::uint32_t balancer) = 0;
  virtual void tellWhole(std::uint32_t balancer) = 0;
};

/// Begins or ends a trouble that hits these servers.
void play(const Trouble& trouble, bool begins, const std::vector<std::size_t>& hit, std::size_t servers,
          RegistryModel& registry, Stricken& run);

}  // namespace rackroute::lab
