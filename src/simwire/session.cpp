#include "simwire/session.hpp"

#include <charconv>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "terms/balancer_settings.hpp"

namespace rackroute::simwire {
namespace {

using settings::microsFromMillis;
using settings::throwMalformed;

constexpr std::size_t kLists = 16;

template <class Number>
Number number(std::string_view text, std::string_view what) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) throwMalformed(what, text);
  return value;
}

bool flag(std::string_view text, std::string_view what) {
  if (text != "0" && text != "1") throwMalformed(what, text);
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

settings::KeyValues pairs(const std::vector<std::string_view>& parts, std::size_t from) {
  settings::KeyValues made;
  for (std::size_t i = from; i < parts.size(); ++i) {
    const std::size_t at = parts[i].find('=');
    if (at == std::string_view::npos) throwMalformed("a setting without a value", parts[i]);
    made.insert_or_assign(std::string(parts[i].substr(0, at)), std::string(parts[i].substr(at + 1)));
  }
  return made;
}

template <class Value>
Value word(std::string_view text, std::string_view what,
           std::initializer_list<std::pair<std::string_view, Value>> words) {
  for (const auto& [name, value] : words) {
    if (name == text) return value;
  }
  throwMalformed(what, text);
}

// A time in a load report, whose pairs stand as name:value with commas between; 0 if it is not there.
Span reported(std::string_view report, std::string_view name) {
  while (!report.empty() && report != "-") {
    const std::string_view pair = report.substr(0, report.find(','));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) throwMalformed("load", pair);
    if (pair.substr(0, colon) == name) return Span{microsFromMillis(pair.substr(colon + 1), name)};
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
  Instance(std::string_view name, std::uint64_t seed, const settings::KeyValues& pairs, std::int64_t clock,
           std::string& reply)
      : number_(name), start_(clock), reply_(reply), told_(seed, pairs) {
    balancer_ = std::make_unique<Balancer>(told_.config, *this);
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
  ZoneId zone(std::string_view name) { return {told_.zones.id(name)}; }
  ServerId server(const std::string& name) {
    const ServerId id = settings::serverId(name);
    servers_.emplace(id.value, name);
    return id;
  }

  void take(const std::vector<std::string_view>& parts, Span at) {
    Query query;
    query.id = {number<std::uint32_t>(parts[2], "op_id")};
    query.timeLeft = Span{microsFromMillis(parts[3], "expires_in_ms")};
    query.useCase = {told_.useCases.idOf(parts[4], "profile")};
    if (parts[5] != "-" && !parts[5].empty()) {
      std::uint64_t key{};
      const auto end = std::from_chars(parts[5].data(), parts[5].data() + parts[5].size(), key, 16);
      if (end.ec != std::errc{} || end.ptr != parts[5].data() + parts[5].size())
        throwMalformed("path_key", parts[5]);
      query.key = KeyId{key};
    }
    if (!told_.accounts.empty() && parts[6] != "-" && parts[6] != "0")
      query.account = {told_.accounts.idOf(parts[6], "user_group")};
    queries_.insert_or_assign(query.id.value, balancer_->take(at, query));
    settle();
  }
  void ended(const std::vector<std::string_view>& parts, Span at) {
    const ExecutionNo no{number<std::uint32_t>(parts[3], "send_no")};
    const Outcome how = outcome(parts[5]);
    const bool terminal = flag(parts[7], "terminal");
    const Span service = reported(parts[8], settings::kServiceTimeField);
    with(parts[2], [&](QueryHandle& query) { query.executionEnded(at, no, how, terminal, service); });
  }
  void begun(const std::vector<std::string_view>& parts, Span at) {
    const ExecutionNo no{number<std::uint32_t>(parts[4], "send_no")};
    with(parts[2], [&](QueryHandle& query) { query.answerStarted(at, no); });
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

  std::string number_;
  std::int64_t start_;
  std::string& reply_;
  settings::ParsedSettings told_;
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
    if (inBatch_ || parts_.size() < 2) throwMalformed("a batch begins badly", line);
    clock_ = microsFromMillis(parts_[1], "clock");
    inBatch_ = true;
    return false;
  }
  if (!inBatch_) throwMalformed("an event outside a batch", name);
  if (entriesDue_ > 0) {
    if (name != "SERVER") throwMalformed("a list entry is missing before", name);
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
  if (known == fields.end()) throwMalformed("unknown message", name);
  if (parts.size() < known->second) throwMalformed("a field is missing", name);
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
    self.begun(parts, now);
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
    if (slot >= kLists) throwMalformed("slot", parts[4]);
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
  auto made = std::make_unique<Instance>(parts[1], number<std::uint64_t>(parts[2], "salt"), pairs(parts, 3),
                                         clock_, reply_);
  instances_.insert_or_assign(number<std::int64_t>(parts[1], "instance"), std::move(made));
}

void Session::defineList(const std::vector<std::string_view>& parts) {
  slot_ = number<std::size_t>(parts[1], "slot");
  if (slot_ >= kLists) throwMalformed("slot", parts[1]);
  lists_[slot_].clear();
  entriesDue_ = number<std::size_t>(parts[2], "number of entries");
}

void Session::entry(const std::vector<std::string_view>& parts) {
  if (parts.size() < 8) throwMalformed("a list entry lacks fields", parts.front());
  Entry made;
  made.lifecycle = word<Lifecycle>(
      parts[2], "lifecycle",
      {{"SERVING", Lifecycle::serving}, {"DRAINING", Lifecycle::draining}, {"DELETED", Lifecycle::gone}});
  made.zone = parts[3];
  made.size = parts[4] == "-" ? 1.0 : number<double>(parts[4], "share");
  made.since = parts[5] == "-" ? 0 : microsFromMillis(parts[5], "since_ms");
  made.cell = parts[6] == "-" ? 0 : number<std::int64_t>(parts[6], "cell");
  made.name = parts[7];
  lists_[slot_].push_back(std::move(made));
  --entriesDue_;
}

}  // namespace rackroute::simwire
