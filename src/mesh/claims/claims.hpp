#pragma once

// The keys of operations and who holds each: what one control process has promised, and what one data-plane
// process asks of all of them. A claim is won with votes of a quorum, so two claims of one key are never both
// won. They know no disk and no sockets; nothing may be told of a promise before it is on disk.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh/names.hpp"

namespace rackroute::mesh {

/// A key, shortened; whoever holds the same print is the same operation.
struct KeyPrint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const KeyPrint&) const = default;
};
KeyPrint printOfKey(std::string_view key);
std::string textOf(const KeyPrint& print);
std::optional<KeyPrint> printFrom(std::string_view text);

struct HashKeyPrint {
  std::size_t operator()(const KeyPrint& print) const { return print.high ^ print.low; }
};

/// What one control process has promised.
class Promises {
 public:
  struct Promise {
    Holder holder;
    Span at{};
  };
  /// How long a promise is kept.
  explicit Promises(Span keep) : keep_(keep) {}

  /// Who holds the key after this claim; itself, if nobody did.
  const Holder& claim(Span now, const KeyPrint& key, const Holder& claim);
  /// The holder never ran and never will; true if the promise was its own and is gone.
  bool giveBack(const KeyPrint& key, const Holder& holder);
  /// What was promised earlier, by this process or by another whose copy is read.
  void learn(Span at, const KeyPrint& key, const Holder& holder);
  /// Promises that have ended, a bounded number a call; they are forgotten.
  std::vector<KeyPrint> expire(Span now);
  [[nodiscard]] const std::unordered_map<KeyPrint, Promise, HashKeyPrint>& all() const { return promises_; }

 private:
  Span keep_;
  std::unordered_map<KeyPrint, Promise, HashKeyPrint> promises_;
  std::vector<std::pair<Span, KeyPrint>> order_;  // as promised; the first may have gone
  std::size_t first_ = 0;
};

/// The claims of one life of a data-plane process.
class Claims {
 public:
  struct Ended {
    ClaimNo no;
    bool won = false;
    std::optional<Holder> holder;  // who holds it, if a voter said so
  };
  struct Open {
    ClaimNo no;
    KeyPrint key;
  };

  /// voters: how many control processes there are in all; quorum: how many must have promised.
  void electorate(std::size_t voters, std::size_t quorum);
  /// How many voters are within reach now.
  void reach(std::size_t voters) { reached_ = voters; }
  /// Whether a claim could be won now.
  [[nodiscard]] bool hopeful(Span now) const {
    return quorum_ > 0 && reached_ >= quorum_ && now >= hopelessUntil_;
  }
  /// When one that could not be won may be tried again: soon, while the voters may only be slow.
  [[nodiscard]] Span comeBack(Span now) const;
  ClaimNo open(Span now, const KeyPrint& key, Span until);
  /// A vote; nothing if the claim is not decided by it, or was before.
  std::optional<Ended> vote(const Address& voter, ClaimNo no, bool granted,
                            const std::optional<Holder>& holder);
  /// Claims whose time is over without a quorum; all, where no quorum is within reach.
  std::vector<Ended> expire(Span now);
  [[nodiscard]] std::optional<Span> nextEnd() const;
  /// Those without this voter's vote, to be told to it when its session stands anew.
  [[nodiscard]] std::vector<Open> without(const Address& voter) const;

 private:
  struct Claim {
    KeyPrint key;
    Span until{};
    std::set<Address> granted;
    std::map<Address, std::optional<Holder>> refused;
  };
  std::size_t voters_ = 0;
  std::size_t quorum_ = 0;  // 0: not told yet
  std::size_t reached_ = 0;
  Span hopelessUntil_{};               // after a claim that nobody decided
  Span undecidedSince_ = Span::max();  // since when none has been
  std::uint64_t last_ = 0;
  std::map<ClaimNo, Claim> open_;
};

}  // namespace rackroute::mesh
