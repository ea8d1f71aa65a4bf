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

#include "mesh/latch/latches.hpp"
#include "mesh/plan/items.hpp"
#include "mesh/roster/roster.hpp"

namespace rackroute::mesh {

using SessionNo = Id<struct SessionTag, std::uint64_t>;  // one session, whoever dialled it
using CallerNo = Id<struct CallerTag, std::uint64_t>;    // one call of an operator
using BatchNo = Id<struct BatchTag, std::uint64_t>;      // one write to disk

struct ViseAct {
  enum class Kind { say, dial, hangUp, write, answer };
  Kind kind = Kind::say;
  SessionNo session{};                        // say, hangUp
  std::shared_ptr<const std::string> text{};  // say: one word; shared by all whom the same is said to
  Address at{};                               // dial
  BatchNo batch{};                            // write; told of its end by written()
  std::vector<std::pair<std::string, std::optional<std::string>>> entries{};  // write; none: removed
  CallerNo call{};                                                            // answer
  std::uint32_t status = 0;
  std::string body{};
};
using ViseActs = std::vector<ViseAct>;

class Vise {
 public:
  struct Built {
    NodeName node;
    Address at;  // of the mesh's own talk here
    std::string zone;
    LifeNo life;
    std::vector<Address> seeds;  // of the mesh's own talk
    std::size_t voters = 1;      // control processes in all
    bool firstBoot = false;
    Span keyWindow{};
    Span wallAtStart{};  // the machine's time of day at span 0, since its epoch
  };
  explicit Vise(Built built);

  /// What the disk holds; empty at the first start and after a loss. To be called once, before all else.
  void read(const std::map<std::string, std::string>& stored);
  ViseActs start(Span now);
  ViseActs came(Span now, SessionNo session);                        // somebody dialled
  ViseActs reached(Span now, SessionNo session, const Address& at);  // a dial came up
  ViseActs unreached(Span now, const Address& at);                   // it did not
  ViseActs ended(Span now, SessionNo session);
  ViseActs heard(Span now, SessionNo session, const nlohmann::json& word);
  /// Bytes of a word that is not whole yet.
  void alive(Span now, SessionNo session);
  ViseActs written(Span now, BatchNo batch, bool done);
  ViseActs change(Span now, CallerNo call, std::string_view body);
  ViseActs readBack(Span now, CallerNo call);
  ViseActs tick(Span now);
  void seeds(std::vector<Address> seeds);
  [[nodiscard]] static Span tickEvery();
  [[nodiscard]] bool whole() const { return whole_; }
  [[nodiscard]] const Items& items() const { return items_; }
  [[nodiscard]] const Latches& latches() const { return latches_; }
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
    std::optional<CallerNo> call;
    bool makesWhole = false;
  };
  static void say(SessionNo to, const nlohmann::json& word, ViseActs& acts);
  static void say(SessionNo to, std::shared_ptr<const std::string> text, ViseActs& acts);
  using Words = std::vector<std::shared_ptr<const std::string>>;
  static void sayEach(SessionNo to, const Words& words, ViseActs& acts);
  void sayCore(const nlohmann::json& word, ViseActs& acts);
  void dialCore(Span now, ViseActs& acts);
  void learnCore(Span now, const nlohmann::json& list, ViseActs& acts);
  void drop(Span now, SessionNo no, ViseActs& acts);
  void greet(Span now, SessionNo no, Session& session, const nlohmann::json& word, ViseActs& acts);
  void follow(SessionNo no, Session& session, const nlohmann::json& word, ViseActs& acts);
  void news(const std::vector<News>& news, ViseActs& acts);
  void newsOf(const NodeName& node, ViseActs& acts);
  bool merge(const std::vector<Item>& items, ViseActs& acts);
  void pushItems(const std::vector<Item>& items, ViseActs& acts);
  void claims(Span now, SessionNo no, const Session& session, const nlohmann::json& word, ViseActs& acts);
  void spread(Span now, CallerNo call, Change& change, ViseActs& acts);
  void decide(Span now, CallerNo call, ViseActs& acts);
  void readRound(CallerNo call, ViseActs& acts);
  void answer(CallerNo call, std::uint32_t status, std::string body, ViseActs& acts);
  void recover(Span now, ViseActs& acts);
  ViseAct& write(ViseActs& acts);
  [[nodiscard]] bool settled(Span now) const;
  [[nodiscard]] nlohmann::json pulse(Span now) const;

  Built built_;
  std::size_t quorum_;
  bool whole_ = true;
  Items items_;
  Latches latches_;
  Roster roster_;
  std::map<SessionNo, Session> sessions_;
  std::set<Address> core_;            // all that are known, this one too
  std::map<Address, Span> dialling_;  // and when the next dial may be
  std::map<Address, SessionNo> reached_;
  std::map<CallerNo, Change> changes_;
  std::map<BatchNo, Batch> batches_;
  std::uint64_t lastBatch_ = 0;
  std::vector<std::shared_ptr<const std::string>> allItems_;  // as words, for those that start with nothing
  std::uint64_t allItemsDigest_ = 0;
  Span pulseAt_{};
  Span sweepAt_{};
};

}  // namespace rackroute::mesh
