#pragma once

// What a data-plane process hears from the control plane: its sessions, the configuration as it comes, news
// of servers from each service's home. It owns the sessions' state and the items in force here; it takes
// inputs and returns what to say, with no I/O and no clock. It must never let go of what it holds because
// nobody tells it anything.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/configuration/items.hpp"
#include "mesh/registry/registry_messages.hpp"

namespace rackroute::mesh {

struct ControlClientAction {
  enum class Kind { say, dial, hangUp, server, configured, vote, standing, told };
  Kind kind = Kind::say;
  Address at{};                               // say, dial, hangUp, standing: the control process
  std::shared_ptr<const std::string> text{};  // say: one word; shared by all whom the same is said to
  News news{};                                // server
  ClaimNo claim{};                            // vote
  bool granted = false;                       // vote
  std::optional<Holder> holder{};             // vote
};
using ControlClientActions = std::vector<ControlClientAction>;

class ControlClient {
 public:
  struct Built {
    NodeName node;
    Address at;  // where others of the mesh reach this process
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // of the control plane's own session
  };
  explicit ControlClient(Built built);

  ControlClientActions reached(Span now, const Address& at);
  ControlClientActions ended(Span now, const Address& at);  // a session, or a dial that failed
  ControlClientActions heard(Span now, const Address& at, const nlohmann::json& word);
  /// Bytes of a word that is not whole yet.
  void alive(Span now, const Address& at);
  ControlClientActions tick(Span now);
  void seeds(std::vector<Address> seeds);
  /// The services whose servers are wanted.
  ControlClientActions follow(const std::vector<ServiceName>& services);
  /// The same word to every control process that is reached.
  ControlClientActions sayAll(const nlohmann::json& word);
  [[nodiscard]] static Span tickEvery();
  [[nodiscard]] const Items& items() const { return items_; }
  /// Whether what is in force came from as many control processes as are needed to know the newest.
  [[nodiscard]] bool ready(Span now) const;
  [[nodiscard]] std::size_t sessions() const;
  [[nodiscard]] std::size_t voters() const { return voters_; }
  [[nodiscard]] std::size_t quorum() const { return quorum_; }
  [[nodiscard]] std::size_t members() const { return members_; }

 private:
  struct Control {
    bool up = false;
    Span next{};  // when it may be dialled
    Span lastHeard{};
    Span lastSaid{};
    std::string zone;
    bool whole = false;
    bool settled = false;
    std::uint64_t digest = 0;  // of its items, as last told in this session; 0: not yet
    bool answered = false;     // it gave all the items that it holds
    Span differsSince = Span::max();
    std::set<ServiceName> followed;
  };
  void say(const Address& to, const nlohmann::json& word, ControlClientActions& acts);
  void say(const Address& to, std::shared_ptr<const std::string> text, ControlClientActions& acts);
  void learn(const nlohmann::json& list);
  void compare(Control& control);
  void assign(ControlClientActions& acts);

  Built built_;
  Items items_;
  std::map<Address, Control> controls_;
  std::vector<ServiceName> services_;
  std::size_t voters_ = 0;
  std::size_t quorum_ = 0;
  std::size_t members_ = 0;
  std::optional<Span> firstItems_;
  Span wantedAt_{};  // when the items that differ were last asked for
  Span now_{};
};

}  // namespace rackroute::mesh
