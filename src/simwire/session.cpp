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

constexpr std::size_t kListSlots = 16;

template <class Number>
Number parseNumber(std::string_view text, std::string_view what) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) throwMalformed(what, text);
  return value;
}

bool parseFlag(std::string_view text, std::string_view what) {
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
  const std::uint64_t magnitude =
      value < 0 ? 0 - static_cast<std::uint64_t>(value) : static_cast<std::uint64_t>(value);
  if (value < 0) out += '-';
  const std::string fraction = std::to_string(magnitude % 1000);
  out += std::to_string(magnitude / 1000) + '.' + std::string(3 - fraction.size(), '0') + fraction;
}

settings::KeyValues parseSettings(const std::vector<std::string_view>& parts, std::size_t from) {
  settings::KeyValues result;
  for (std::size_t i = from; i < parts.size(); ++i) {
    const std::size_t at = parts[i].find('=');
    if (at == std::string_view::npos) throwMalformed("setting without a value", parts[i]);
    result.insert_or_assign(std::string(parts[i].substr(0, at)), std::string(parts[i].substr(at + 1)));
  }
  return result;
}

template <class Value>
Value parseName(std::string_view text, std::string_view what,
                std::initializer_list<std::pair<std::string_view, Value>> names) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  throwMalformed(what, text);
}

// A time in a load report of the form name:value,name:value; 0 if the name is missing.
Span reportedTime(std::string_view report, std::string_view name) {
  while (!report.empty() && report != "-") {
    const std::string_view pair = report.substr(0, report.find(','));
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) throwMalformed("load", pair);
    if (pair.substr(0, colon) == name) return Span{microsFromMillis(pair.substr(colon + 1), name)};
    report.remove_prefix(std::min(report.size(), pair.size() + 1));
  }
  return Span{0};
}

Outcome parseOutcome(std::string_view text) {
  return parseName<Outcome>(text, "verdict",
                            {{"10", Outcome::completed},
                             {"20", Outcome::error},
                             {"30", Outcome::full},
                             {"40", Outcome::timeout},
                             {"50", Outcome::connectFailed},
                             {"60", Outcome::reset},
                             {"70", Outcome::cancelled},
                             {"80", Outcome::invalidQuery}});
}

}  // namespace

/// One balancer instance, which writes its actions to the reply.
class Instance : public BalancerHost {
 public:
  Instance(std::string_view name, std::uint64_t seed, const settings::KeyValues& pairs, std::int64_t clock,
           std::string& reply)
      : instanceId_(name), start_(clock), reply_(reply), settings_(seed, pairs) {
    balancer_ = std::make_unique<Balancer>(settings_.config, *this);
  }

  void execute(QueryId query, ServerId server, Span timeout) override {
    beginLine("FORWARD", query);
    reply_ += '\t';
    writeMicros(reply_, timeout.count());
    reply_ += '\t';
    reply_ += servers_.at(server.value);
    reply_ += '\n';
  }
  void cancel(QueryId query, ExecutionNo execution) override {
    beginLine("ABORT_ATTEMPT", query);
    reply_ += '\t' + std::to_string(execution.value) + '\n';
  }
  void reject(QueryId query, Span retryAfter) override {
    beginLine("DENY", query);
    reply_ += '\t';
    writeMicros(reply_, retryAfter.count());
    reply_ += '\n';
    answeredQueries_.push_back(query);
  }
  void abort(QueryId query) override {
    beginLine("END_FAILED", query);
    reply_ += '\n';
    answeredQueries_.push_back(query);
  }
  void wakeAt(Span time) override {
    beginLine("SCHEDULE");
    reply_ += '\t';
    writeMicros(reply_, start_ + time.count());
    reply_ += "\t0\n";
  }
  void watchServers() override {
    beginLine("LISTEN");
    reply_ += "\t1\n";
  }
  void listServers() override {
    beginLine("FETCH");
    reply_ += '\n';
  }

  [[nodiscard]] Span now(std::int64_t clock) const { return Span{clock - start_}; }
  Balancer& balancer() { return *balancer_; }
  ZoneId zone(std::string_view name) { return {settings_.zones.id(name)}; }
  ServerId server(const std::string& name) {
    const ServerId id = settings::serverId(name);
    servers_.emplace(id.value, name);
    return id;
  }

  void submit(const std::vector<std::string_view>& parts, Span at) {
    Query query;
    query.id = {parseNumber<std::uint32_t>(parts[2], "op_id")};
    query.timeLeft = Span{microsFromMillis(parts[3], "expires_in_ms")};
    query.useCase = {settings_.useCases.idOf(parts[4], "profile")};
    if (parts[5] != "-" && !parts[5].empty()) {
      std::uint64_t key{};
      const auto end = std::from_chars(parts[5].data(), parts[5].data() + parts[5].size(), key, 16);
      if (end.ec != std::errc{} || end.ptr != parts[5].data() + parts[5].size())
        throwMalformed("path_key", parts[5]);
      query.key = KeyId{key};
    }
    if (!settings_.accounts.empty() && parts[6] != "-" && parts[6] != "0")
      query.account = {settings_.accounts.idOf(parts[6], "user_group")};
    queries_.insert_or_assign(query.id.value, balancer_->submit(at, query));
    eraseFinished();
  }
  void executionEnded(const std::vector<std::string_view>& parts, Span at) {
    const ExecutionNo no{parseNumber<std::uint32_t>(parts[3], "send_no")};
    const Outcome outcome = parseOutcome(parts[5]);
    const bool terminal = parseFlag(parts[7], "terminal");
    const Span service = reportedTime(parts[8], settings::kServiceTimeField);
    withQuery(parts[2],
              [&](QueryHandle& query) { query.executionEnded(at, no, outcome, terminal, service); });
  }
  void responseStarted(const std::vector<std::string_view>& parts, Span at) {
    const ExecutionNo no{parseNumber<std::uint32_t>(parts[4], "send_no")};
    withQuery(parts[2], [&](QueryHandle& query) { query.responseStarted(at, no); });
  }
  void clientLeft(const std::vector<std::string_view>& parts, Span at) {
    withQuery(parts[2], [&](QueryHandle& query) { query.clientLeft(at); });
  }
  /// Erases the answered queries that have finished.
  void eraseFinished() {
    for (const QueryId query : answeredQueries_) {
      const auto at = queries_.find(query.value);
      if (at != queries_.end() && at->second.finished()) queries_.erase(at);
    }
    answeredQueries_.clear();
  }

 private:
  template <class Call>
  void withQuery(std::string_view field, Call call) {
    const std::uint32_t id = parseNumber<std::uint32_t>(field, "op_id");
    const auto at = queries_.find(id);
    if (at != queries_.end()) {
      call(at->second);
      if (at->second.finished()) queries_.erase(at);
    }
    eraseFinished();
  }
  void beginLine(std::string_view name) {
    reply_ += name;
    reply_ += '\t';
    reply_ += instanceId_;
  }
  void beginLine(std::string_view name, QueryId query) {
    beginLine(name);
    reply_ += '\t' + std::to_string(query.value);
  }

  std::string instanceId_;
  std::int64_t start_;
  std::string& reply_;
  settings::ParsedSettings settings_;
  std::unordered_map<std::uint64_t, std::string> servers_;
  std::unordered_map<std::uint32_t, QueryHandle> queries_;
  std::vector<QueryId> answeredQueries_;
  std::unique_ptr<Balancer> balancer_;
};

Session::Session() : lists_(kListSlots) {}
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
    if (inBatch_ || parts_.size() < 2) throwMalformed("invalid start of a batch", line);
    clock_ = microsFromMillis(parts_[1], "clock");
    inBatch_ = true;
    return false;
  }
  if (!inBatch_) throwMalformed("event outside a batch", name);
  if (entriesRemaining_ > 0) {
    if (name != "SERVER") throwMalformed("expected a list entry instead of", name);
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
  if (parts.size() < known->second) throwMalformed("missing field in message", name);
  if (name == "START") return start(parts);
  if (name == "DEFINE_LIST") return defineList(parts);
  if (name == "RETIRE") {
    instances_.erase(parseNumber<std::int64_t>(parts[1], "instance"));
    return;
  }
  const auto at = instances_.find(parseNumber<std::int64_t>(parts[1], "instance"));
  if (at == instances_.end()) return;  // the instance has been retired
  Instance& self = *at->second;
  const Span now = self.now(clock_);
  if (name == "REQ") {
    self.submit(parts, now);
  } else if (name == "RESULT") {
    self.executionEnded(parts, now);
  } else if (name == "BEGUN") {
    self.responseStarted(parts, now);
  } else if (name == "CANCELLED_BY_CLIENT") {
    self.clientLeft(parts, now);
  } else if (name == "TIMEOUT_FIRED") {
    self.balancer().wake(now);
    self.eraseFinished();
  } else if (name == "DISCOVERY") {
    if (parts[2] == "Error") return self.balancer().discoveryFailed(now);
    const ServerListKind kind = parseName<ServerListKind>(parts[2], "scope",
                                                          {{"Partial", ServerListKind::changes},
                                                           {"Complete", ServerListKind::complete},
                                                           {"Persisted", ServerListKind::persisted}});
    const auto slot = parseNumber<std::size_t>(parts[4], "slot");
    if (slot >= kListSlots) throwMalformed("slot", parts[4]);
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
    self.balancer().serversListed(now, kind, servers);
    self.eraseFinished();
  }
}

void Session::start(const std::vector<std::string_view>& parts) {
  auto result = std::make_unique<Instance>(parts[1], parseNumber<std::uint64_t>(parts[2], "salt"),
                                           parseSettings(parts, 3), clock_, reply_);
  instances_.insert_or_assign(parseNumber<std::int64_t>(parts[1], "instance"), std::move(result));
}

void Session::defineList(const std::vector<std::string_view>& parts) {
  slot_ = parseNumber<std::size_t>(parts[1], "slot");
  if (slot_ >= kListSlots) throwMalformed("slot", parts[1]);
  lists_[slot_].clear();
  entriesRemaining_ = parseNumber<std::size_t>(parts[2], "number of entries");
}

void Session::entry(const std::vector<std::string_view>& parts) {
  if (parts.size() < 8) throwMalformed("missing field in list entry", parts.front());
  Entry result;
  result.lifecycle = parseName<Lifecycle>(
      parts[2], "lifecycle",
      {{"SERVING", Lifecycle::serving}, {"DRAINING", Lifecycle::draining}, {"DELETED", Lifecycle::removed}});
  result.zone = parts[3];
  result.size = parts[4] == "-" ? 1.0 : parseNumber<double>(parts[4], "share");
  result.since = parts[5] == "-" ? 0 : microsFromMillis(parts[5], "since_ms");
  result.cell = parts[6] == "-" ? 0 : parseNumber<std::int64_t>(parts[6], "cell");
  result.name = parts[7];
  lists_[slot_].push_back(std::move(result));
  --entriesRemaining_;
}

}  // namespace rackroute::simwire
