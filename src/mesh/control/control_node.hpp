#pragma once

// The control process: holds the configuration, the roster and the promises on keys, and brings news to the
// data plane. It owns them; it takes inputs and returns what to send, write and answer, with no I/O and no
// clock. It must never acknowledge a change, nor tell of a promise, before enough disks hold it, and never
// vote on keys while it may have lost promises of its own.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/claims/claims.hpp"
#include "mesh/configuration/items.hpp"
#include "mesh/registry/registry.hpp"

namespace rackroute::mesh {

using SessionNo = Id<struct SessionTag, std::uint64_t>;            // one session, whoever dialled it
using OperatorCallNo = Id<struct OperatorCallTag, std::uint64_t>;  // one call of an operator
using BatchNo = Id<struct BatchTag, std::uint64_t>;                // one write to disk

struct ControlAction {
  enum class Kind { say, dial, hangUp, write, answer };
  Kind kind = Kind::say;
  SessionNo session{};                        // say, hangUp
  std::shared_ptr<const std::string> text{};  // say: one word; shared by all whom the same is said to
  Address at{};                               // dial
  BatchNo batch{};                            // write; told of its end by written()
  std::vector<std::pair<std::string, std::optional<std::string>>> entries{};  // write; none: removed
  OperatorCallNo call{};                                                      // answer
  std::uint32_t status = 0;
  std::string body{};
};
using ControlActions = std::vector<ControlAction>;

class ControlNode {
 public:
  struct Built {
    NodeName node;
    Address at;  // of the mesh's own session here
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // of the mesh's own session
    std::size_t voters = 1;      // control processes in all
    bool firstBoot = false;
    Span keyWindow{};
    Span wallAtStart{};  // the machine's time of day at span 0, since its epoch
  };
  explicit ControlNode(Built built);

  /// What the disk holds; empty at the first start and after a loss. To be called once, before all else.
  void read(const std::map<std::string, std::string>& stored);
  ControlActions start(Span now);
  ControlActions came(Span now, SessionNo session);                        // somebody dialled
  ControlActions reached(Span now, SessionNo session, const Address& at);  // a dial came up
  ControlActions unreached(Span now, const Address& at);                   // it did not
  ControlActions ended(Span now, SessionNo session);
  ControlActions heard(Span now, SessionNo session, const nlohmann::json& word);
  /// Bytes of a word that is not whole yet.
  void alive(Span now, SessionNo session);
  ControlActions written(Span now, BatchNo batch, bool done);
  ControlActions change(Span now, OperatorCallNo call, std::string_view body);
  ControlActions readBack(Span now, OperatorCallNo call);
  ControlActions tick(Span now);
  void seeds(std::vector<Address> seeds);
  [[nodiscard]] static Span tickEvery();
  [[nodiscard]] bool whole() const { return whole_; }
  [[nodiscard]] const Items& items() const { return items_; }
  [[nodiscard]] const Promises& promises() const { return promises_; }
  [[nodiscard]] std::size_t quorum() const { return quorum_; }

 private:
  struct Session {
    bool mine = false;  // dialled here
    bool core = false;
    Address at;  // of another control process
    NodeName node;
    LifeNo life;
    bool greeted = false;
    std::set<ServiceName> follows;
    Span lastHeard{};
    std::uint64_t digest = 0;  // as last told
    bool whole = false;
    Span differsSince = Span::max();
    bool helped = false;  // it gave all its promises to this process, which had lost its own
  };
  struct Change {  // a call that waits for copies or for word of others
    std::vector<Item> items;
    Span until{};
    std::set<Address> copies;                         // control processes that hold them on disk
    std::size_t parts = 1;                            // words that carry them
    std::map<Address, std::set<std::size_t>> stored;  // of these, on whose disk
    std::set<Address> read;                           // that told what they hold
    bool own = false;                                 // on this disk
    bool reading = false;
    bool asksBack = false;  // the call wants all that stands
    BatchNo batch;
  };
  struct Batch {
    std::vector<std::pair<SessionNo, nlohmann::json>> words;  // to be said once it is on disk
    std::optional<OperatorCallNo> call;
    bool makesWhole = false;
  };
  static void say(SessionNo to, const nlohmann::json& word, ControlActions& acts);
  static void say(SessionNo to, std::shared_ptr<const std::string> text, ControlActions& acts);
  using Words = std::vector<std::shared_ptr<const std::string>>;
  static void sayEach(SessionNo to, const Words& words, ControlActions& acts);
  void sayCore(const nlohmann::json& word, ControlActions& acts);
  void dialCore(Span now, ControlActions& acts);
  void learnCore(Span now, const nlohmann::json& list, ControlActions& acts);
  void drop(Span now, SessionNo no, ControlActions& acts);
  void greet(Span now, SessionNo no, Session& session, const nlohmann::json& word, ControlActions& acts);
  void follow(SessionNo no, Session& session, const nlohmann::json& word, ControlActions& acts);
  void news(const std::vector<News>& news, ControlActions& acts);
  void newsOf(const NodeName& node, ControlActions& acts);
  bool merge(const std::vector<Item>& items, ControlActions& acts);
  void pushItems(const std::vector<Item>& items, ControlActions& acts);
  void claims(Span now, SessionNo no, const Session& session, const nlohmann::json& word,
              ControlActions& acts);
  void spread(Span now, OperatorCallNo call, Change& change, ControlActions& acts);
  void decide(Span now, OperatorCallNo call, ControlActions& acts);
  void readRound(OperatorCallNo call, ControlActions& acts);
  void answer(OperatorCallNo call, std::uint32_t status, std::string body, ControlActions& acts);
  void recover(Span now, ControlActions& acts);
  ControlAction& write(ControlActions& acts);
  [[nodiscard]] bool settled(Span now) const;
  [[nodiscard]] nlohmann::json pulse(Span now) const;

  Built built_;
  std::size_t quorum_;
  bool whole_ = true;
  Items items_;
  Promises promises_;
  Registry registry_;
  std::map<SessionNo, Session> sessions_;
  std::set<Address> core_;            // all that are known, this one too
  std::map<Address, Span> dialling_;  // and when the next dial may be
  std::map<Address, SessionNo> reached_;
  std::map<OperatorCallNo, Change> changes_;
  std::map<BatchNo, Batch> batches_;
  std::uint64_t lastBatch_ = 0;
  std::vector<std::shared_ptr<const std::string>> allItems_;  // as words, for those that start with nothing
  std::uint64_t allItemsDigest_ = 0;
  Span pulseAt_{};
  Span sweepAt_{};
};

}  // namespace rackroute::mesh
