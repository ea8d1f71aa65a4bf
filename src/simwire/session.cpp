#include "simwire/session.hpp"

#include <charconv>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace rackroute::simwire {
namespace {

constexpr std::size_t kLists = 16;

[[noreturn]] void malformed(std::string_view what, std::string_view value) {
  throw Malformed(std::string(what) + ": '" + std::string(value) + "'");
}

template <class Number>
Number number(std::string_view text, std::string_view what) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) malformed(what, text);
  return value;
}

std::int64_t micros(std::string_view text, std::string_view what) {
  const double value = number<double>(text, what);
  if (!(std::abs(value) < 9e12)) malformed(what, text);
  return std::llround(value * 1000.0);
}

bool flag(std::string_view text, std::string_view what) {
  if (text != "0" && text != "1") malformed(what, text);
  return text == "1";
}

void split(std::string_view text, char at, std::vector<std::string_view>& parts) {
  parts.clear();
  for (std::size_t from = 0;;) {
    const std::size_t end = text.find(at, from);
    parts.push_back(text.substr(from, end - from));
    if (end == std::string_view::npos) return;
    from = end + 1;
  }
}

void writeMicros(std::string& out, std::int64_t value) {
  const std::uint64_t size =
      value < 0 ? 0 - static_cast<std::uint64_t>(value) : static_cast<std::uint64_t>(value);
  if (value < 0) out += '-';
  const std::string fraction = std::to_string(size % 1000);
  out += std::to_string(size / 1000) + '.' + std::string(3 - fraction.size(), '0') + fraction;
}

// The same server has the same id in every process: its name's FNV-1a hash.
ServerId serverId(std::string_view name) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return {hash};
}

class Names {  // ids for names, in the order of their first mention
 public:
  std::uint32_t id(std::string_view name) {
    return ids_.emplace(std::string(name), static_cast<std::uint32_t>(ids_.size())).first->second;
  }
  [[nodiscard]] std::uint32_t known(std::string_view name, std::string_view what) const {
    const auto at = ids_.find(name);
    if (at == ids_.end()) malformed(what, name);
    return at->second;
  }

 private:
  std::map<std::string, std::uint32_t, std::less<>> ids_;
};

/// The pairs of the first message, by name.
class Pairs {
 public:
  Pairs(const std::vector<std::string_view>& parts, std::size_t from) {
    for (std::size_t i = from; i < parts.size(); ++i) {
      const std::size_t at = parts[i].find('=');
      if (at == std::string_view::npos) malformed("a setting without a value", parts[i]);
      values_[parts[i].substr(0, at)] = parts[i].substr(at + 1);
    }
  }
  [[nodiscard]] std::string_view text(const std::string& name) const {
    const auto at = values_.find(name);
    return at == values_.end() ? std::string_view{} : at->second;
  }
  template <class Number>
  [[nodiscard]] Number value(const std::string& name, Number otherwise) const {
    const std::string_view found = text(name);
    return found.empty() || found == "-" ? otherwise : number<Number>(found, name);
  }
  [[nodiscard]] Span span(const std::string& name) const {
    const std::string_view found = text(name);
    return Span{found.empty() || found == "-" ? 0 : micros(found, name)};
  }
  [[nodiscard]] bool yes(const std::string& name) const { return text(name) == "true" || text(name) == "1"; }

 private:
  std::map<std::string_view, std::string_view, std::less<>> values_;
};

template <class Value>
Value word(std::string_view text, std::string_view what,
           std::initializer_list<std::pair<std::string_view, Value>> words) {
  for (const auto& [name, value] : words) {
    if (name == text) return value;
  }
  malformed(what, text);
}

// A time in a load report, whose pairs stand as name:value with commas between; 0 if it is not there.
Span reported(std::string_view report, std::string_view name) {
  while (!report.empty() && report != "-") {
    const std::string_view pair = report.substr(0, report.find(','));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) malformed("load", pair);
    if (pair.substr(0, colon) == name) return Span{micros(pair.substr(colon + 1), name)};
    report.remove_prefix(std::min(report.size(), pair.size() + 1));
  }
  return Span{0};
}

Outcome outcome(std::string_view text) {
  return word<Outcome>(text, "verdict",
                       {{"10", Outcome::completed},
                        {"20", Outcome::error},
                        {"30", Outcome::full},
                        {"40", Outcome::timeout},
                        {"50", Outcome::connectFailed},
                        {"60", Outcome::reset},
                        {"70", Outcome::cancelled},
                        {"80", Outcome::moot}});
}

}  // namespace

/// One balancer and its end of the wire.
class Instance : public Host {
 public:
  Instance(std::string_view number, std::string_view seed, const Pairs& pairs, std::int64_t clock,
           std::string& reply)
      : number_(number), start_(clock), reply_(reply) {
    balancer_ = std::make_unique<Balancer>(terms(seed, pairs), *this);
  }

  void execute(QueryId query, ServerId server, Span timeout) override {
    begin("FORWARD", query);
    reply_ += '\t';
    writeMicros(reply_, timeout.count());
    reply_ += '\t';
    reply_ += servers_.at(server.value);
    reply_ += '\n';
  }
  void cancel(QueryId query, ExecutionNo execution) override {
    begin("ABORT_ATTEMPT", query);
    reply_ += '\t' + std::to_string(execution.value) + '\n';
  }
  void reject(QueryId query, Span comeBackAfter) override {
    begin("DENY", query);
    reply_ += '\t';
    writeMicros(reply_, comeBackAfter.count());
    reply_ += '\n';
    answered_.push_back(query);
  }
  void abort(QueryId query) override {
    begin("END_FAILED", query);
    reply_ += '\n';
    answered_.push_back(query);
  }
  void wakeAt(Span time) override {
    begin("SCHEDULE");
    reply_ += '\t';
    writeMicros(reply_, start_ + time.count());
    reply_ += "\t0\n";
  }
  void watchServers() override {
    begin("LISTEN");
    reply_ += "\t1\n";
  }
  void listServers() override {
    begin("FETCH");
    reply_ += '\n';
  }

  [[nodiscard]] Span now(std::int64_t clock) const { return Span{clock - start_}; }
  Balancer& balancer() { return *balancer_; }
  ZoneId zone(std::string_view name) { return {zones_.id(name)}; }
  ServerId server(const std::string& name) {
    const ServerId id = serverId(name);
    servers_.emplace(id.value, name);
    return id;
  }

  void take(const std::vector<std::string_view>& parts, Span at) {
    Query query;
    query.id = {number<std::uint32_t>(parts[2], "op_id")};
    query.timeLeft = Span{micros(parts[3], "expires_in_ms")};
    query.useCase = {useCases_.known(parts[4], "profile")};
    if (parts[5] != "-" && !parts[5].empty()) {
      std::uint64_t key{};
      const auto end = std::from_chars(parts[5].data(), parts[5].data() + parts[5].size(), key, 16);
      if (end.ec != std::errc{} || end.ptr != parts[5].data() + parts[5].size())
        malformed("path_key", parts[5]);
      query.key = KeyId{key};
    }
    if (accounts_ > 0 && parts[6] != "-" && parts[6] != "0")
      query.account = {accountNames_.known(parts[6], "user_group")};
    queries_.insert_or_assign(query.id.value, balancer_->take(at, query));
    settle();
  }
  void ended(const std::vector<std::string_view>& parts, Span at) {
    const ExecutionNo no{number<std::uint32_t>(parts[3], "send_no")};
    const Outcome how = outcome(parts[5]);
    const bool terminal = flag(parts[7], "terminal");
    const Span service = reported(parts[8], "lat_ms");
    with(parts[2], [&](QueryHandle& query) { query.executionEnded(at, no, how, terminal, service); });
  }
  void begun(const std::vector<std::string_view>& parts) {
    const ExecutionNo no{number<std::uint32_t>(parts[4], "send_no")};
    with(parts[2], [&](QueryHandle& query) { query.answerStarted(no); });
  }
  void left(const std::vector<std::string_view>& parts, Span at) {
    with(parts[2], [&](QueryHandle& query) { query.clientLeft(at); });
  }
  /// Forgets the queries that are over.
  void settle() {
    for (const QueryId query : answered_) {
      const auto at = queries_.find(query.value);
      if (at != queries_.end() && at->second.over()) queries_.erase(at);
    }
    answered_.clear();
  }

 private:
  template <class Call>
  void with(std::string_view field, Call call) {
    const std::uint32_t id = number<std::uint32_t>(field, "op_id");
    const auto at = queries_.find(id);
    if (at != queries_.end()) {
      call(at->second);
      if (at->second.over()) queries_.erase(at);
    }
    settle();
  }
  void begin(std::string_view name) {
    reply_ += name;
    reply_ += '\t';
    reply_ += number_;
  }
  void begin(std::string_view name, QueryId query) {
    begin(name);
    reply_ += '\t' + std::to_string(query.value);
  }

  Terms terms(std::string_view seed, const Pairs& pairs) {
    Terms terms;
    terms.seed = number<std::uint64_t>(seed, "salt");
    const auto useCases = pairs.value<std::uint32_t>("use_cases.count", 0);
    for (std::uint32_t i = 0; i < useCases; ++i) {
      const std::string at = "use_cases." + std::to_string(i) + '.';
      useCases_.id(pairs.text(at + "name"));
      UseCase use;
      use.repeat = word<Repeat>(pairs.text(at + "effect"), at + "effect",
                                {{"retryable", Repeat::idempotent},
                                 {"dedup", Repeat::deduplicated},
                                 {"fragile", Repeat::nonIdempotent}});
      use.group = word<DedupGroup>(pairs.text(at + "group"), at + "group",
                                   {{"all", DedupGroup::all},
                                    {"zone", DedupGroup::zone},
                                    {"cell", DedupGroup::cell},
                                    {"", DedupGroup::cell}});
      use.dedupWindow = pairs.span(at + "window_ms");
      use.importance = pairs.value(at + "importance", 1.0);
      use.lateImportance = pairs.value(at + "late_importance", 0.0);
      use.sloTime = pairs.span(at + "slo_time_ms");
      terms.useCases.push_back(use);
    }
    accounts_ = pairs.value<std::uint32_t>("accounts.count", 0);
    for (std::uint32_t i = 0; i < accounts_; ++i) {
      const std::string at = "accounts." + std::to_string(i) + '.';
      accountNames_.id(pairs.text(at + "name"));
      terms.accounts.push_back(pairs.value(at + "portion", 0.0));
    }
    terms.beyondShareImportance = pairs.value("beyond_share_importance", 1.0);
    terms.zone = zone(pairs.text("locality"));
    terms.balancers = pairs.value<std::uint32_t>("peers_total", 1);
    terms.number = pairs.value<std::uint32_t>("my_number", 0);
    terms.discoveryOnRequest = pairs.text("registry_mode") == "on_request";
    terms.longestAdvice = pairs.yes("bounds.retry_after") ? pairs.span("bounds.max_retry_after_ms") : Span{0};
    terms.mostExecutions = pairs.value<std::uint32_t>("bounds.max_executions", 1);
    terms.warmKeys = pairs.yes("family_info.warm_keys");
    terms.tick = pairs.span("granularity_ms");
    terms.drainGrace = pairs.span("rules.drain_grace_ms");
    terms.coldShare = pairs.value("rules.cold_share", 1.0);
    terms.coldTime = pairs.span("rules.cold_ms");
    terms.tipMultiple = pairs.value("rules.tip_multiple", 1.0);
    terms.tipWindow = pairs.span("rules.overload_for_ms");
    return terms;
  }

  std::string number_;
  std::int64_t start_;
  std::string& reply_;
  Names zones_;
  Names useCases_;
  Names accountNames_;
  std::uint32_t accounts_ = 0;
  std::unordered_map<std::uint64_t, std::string> servers_;
  std::unordered_map<std::uint32_t, QueryHandle> queries_;
  std::vector<QueryId> answered_;
  std::unique_ptr<Balancer> balancer_;
};

Session::Session() : lists_(kLists) {}
Session::~Session() = default;

std::string Session::takeReply() {
  std::string reply = std::move(reply_);
  reply_.clear();
  return reply;
}

bool Session::read(std::string_view line) {
  split(line, '\t', parts_);
  const std::string_view name = parts_.front();
  if (name == "BEGIN_BATCH") {
    if (inBatch_ || parts_.size() < 2) malformed("a batch begins badly", line);
    clock_ = micros(parts_[1], "clock");
    inBatch_ = true;
    return false;
  }
  if (!inBatch_) malformed("an event outside a batch", name);
  if (entriesDue_ > 0) {
    if (name != "SERVER") malformed("a list entry is missing before", name);
    entry(parts_);
    return false;
  }
  if (name == "END") {
    inBatch_ = false;
    reply_ += "END\n";
    return true;
  }
  event(parts_);
  return false;
}

void Session::event(const std::vector<std::string_view>& parts) {
  static const std::map<std::string_view, std::size_t> fields = {
      {"START", 3},        {"RETIRE", 2}, {"DEFINE_LIST", 3}, {"DISCOVERY", 5},   {"REQ", 9},
      {"BEGUN", 6},        {"RESULT", 9}, {"INBOX", 3},       {"PING_RESULT", 5}, {"CANCELLED_BY_CLIENT", 3},
      {"TIMEOUT_FIRED", 3}};
  const std::string_view name = parts.front();
  const auto known = fields.find(name);
  if (known == fields.end()) malformed("unknown message", name);
  if (parts.size() < known->second) malformed("a field is missing", name);
  if (name == "START") return start(parts);
  if (name == "DEFINE_LIST") return defineList(parts);
  if (name == "RETIRE") {
    instances_.erase(number<std::int64_t>(parts[1], "instance"));
    return;
  }
  const auto at = instances_.find(number<std::int64_t>(parts[1], "instance"));
  if (at == instances_.end()) return;  // killed; nothing more is owed
  Instance& self = *at->second;
  const Span now = self.now(clock_);
  if (name == "REQ") {
    self.take(parts, now);
  } else if (name == "RESULT") {
    self.ended(parts, now);
  } else if (name == "BEGUN") {
    self.begun(parts);
  } else if (name == "CANCELLED_BY_CLIENT") {
    self.left(parts, now);
  } else if (name == "TIMEOUT_FIRED") {
    self.balancer().wake(now);
    self.settle();
  } else if (name == "DISCOVERY") {
    if (parts[2] == "Error") return self.balancer().discoveryFailed(now);
    const Listing listing = word<Listing>(
        parts[2], "scope",
        {{"Partial", Listing::changes}, {"Complete", Listing::complete}, {"Persisted", Listing::persisted}});
    const auto slot = number<std::size_t>(parts[4], "slot");
    if (slot >= kLists) malformed("slot", parts[4]);
    std::vector<ListedServer> servers;
    for (const Entry& listed : lists_[slot]) {
      ListedServer server;
      server.id = self.server(listed.name);
      server.lifecycle = listed.lifecycle;
      server.zone = self.zone(listed.zone);
      server.cell = {listed.cell};
      server.size = listed.size;
      if (listed.since != 0) server.startedAt = self.now(listed.since);
      servers.push_back(server);
    }
    self.balancer().serversListed(now, listing, servers);
    self.settle();
  }
}

void Session::start(const std::vector<std::string_view>& parts) {
  auto made = std::make_unique<Instance>(parts[1], parts[2], Pairs(parts, 3), clock_, reply_);
  instances_.insert_or_assign(number<std::int64_t>(parts[1], "instance"), std::move(made));
}

void Session::defineList(const std::vector<std::string_view>& parts) {
  slot_ = number<std::size_t>(parts[1], "slot");
  if (slot_ >= kLists) malformed("slot", parts[1]);
  lists_[slot_].clear();
  entriesDue_ = number<std::size_t>(parts[2], "number of entries");
}

void Session::entry(const std::vector<std::string_view>& parts) {
  if (parts.size() < 8) malformed("a list entry lacks fields", parts.front());
  Entry made;
  made.lifecycle = word<Lifecycle>(
      parts[2], "lifecycle",
      {{"SERVING", Lifecycle::serving}, {"DRAINING", Lifecycle::draining}, {"DELETED", Lifecycle::gone}});
  made.zone = parts[3];
  made.size = parts[4] == "-" ? 1.0 : number<double>(parts[4], "share");
  made.since = parts[5] == "-" ? 0 : micros(parts[5], "since_ms");
  made.cell = parts[6] == "-" ? 0 : number<std::int64_t>(parts[6], "cell");
  made.name = parts[7];
  lists_[slot_].push_back(std::move(made));
  --entriesDue_;
}

}  // namespace rackroute::simwire
