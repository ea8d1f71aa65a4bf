#include "sidecar/exchange.hpp"

#include <algorithm>
#include <utility>

#include "sidecar/client_side.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

constexpr std::size_t kMostKnown = 65536;  // servers ever listed; years of a fleet that renews itself daily

}  // namespace

void Exchange::start(const settings::ParsedSettings& told, ClientSide& clients, ServerSide& servers,
                     Discovery& discovery, const Listed& known) {
  clients_ = &clients;
  servers_ = &servers;
  discovery_ = &discovery;
  loop_.counters.finals.resize(told.config.useCases.size());
  balancer_.emplace(told.config, *this);
  serversListed(known);
}

void Exchange::take(const std::shared_ptr<const http::Message>& message, const Query& query) {
  ++loop_.counters.queries;
  InFlight& taken = inFlight_[query.id];
  taken.message = message;
  taken.useCase = query.useCase;
  taken.coming = query.coming;
  ++open_;
  const QueryHandle handle = balancer_->take(loop_.now(), query);
  inFlight_.at(query.id).handle = handle;
  settle(query.id);
}

void Exchange::bodyPart(QueryId query, std::string data, bool last) {
  const auto at = inFlight_.find(query);
  if (at == inFlight_.end()) return;  // answered before it was whole: the rest is of no use
  InFlight& coming = at->second;
  if (!coming.takes) {
    coming.begun += data;
    coming.begunLast = coming.begunLast || last;
    // What has come stays; the client waits with the rest until there is a server for it.
    if (!coming.answered) clients_->pauseBody(query, true);
  } else if (servers_->bodyPart({query, *coming.takes}, std::move(data), last)) {
    clients_->pauseBody(query, true);
  }
  if (!last) return;
  coming.handle->bodyWhole(loop_.now());
  settle(query);
}

void Exchange::bodyWanted(ExecutionKey execution) { clients_->pauseBody(execution.query, false); }

bool Exchange::answerBegins(ExecutionKey execution, const std::shared_ptr<const http::Message>& head) {
  const auto at = inFlight_.find(execution.query);
  if (at == inFlight_.end() || at->second.answered) return false;
  at->second.streams = execution.no;
  at->second.answered = true;  // it belongs to this execution, for better or worse
  clients_->begin(execution.query, head);
  at->second.handle->answerStarted(loop_.now(), execution.no);
  settle({});
  return true;
}

void Exchange::answerPart(ExecutionKey execution, std::string data) {
  if (clients_->part(execution.query, std::move(data))) servers_->pauseAnswer(execution, true);
}

void Exchange::answerWanted(QueryId query) {
  const auto at = inFlight_.find(query);
  if (at != inFlight_.end() && at->second.streams) servers_->pauseAnswer({query, *at->second.streams}, false);
}

void Exchange::clientLeft(QueryId query) {
  const auto at = inFlight_.find(query);
  if (at == inFlight_.end()) return;
  // Guards against servers that go on sending, or waiting for a body, for nobody.
  if (at->second.streams) servers_->cancel({query, *at->second.streams});
  if (at->second.takes) servers_->cancelComing({query, *at->second.takes});
  if (std::exchange(at->second.streams, std::nullopt)) --open_;
  if (!std::exchange(at->second.answered, true)) --open_;
  at->second.handle->clientLeft(loop_.now());
  settle(query);
}

void Exchange::executionEnded(ExecutionKey execution, Outcome outcome, Span service,
                              const std::shared_ptr<const http::Message>& answer) {
  ++loop_.counters.outcomes.at(static_cast<std::size_t>(outcome));
  Line(Level::debug) << "execution query=" << execution.query.value << " no=" << execution.no.value
                     << " outcome=" << nameOf(outcome) << " service_us=" << service.count();
  const auto at = inFlight_.find(execution.query);
  if (at == inFlight_.end()) return;
  InFlight& query = at->second;
  if (query.streams == execution.no) {
    query.streams.reset();
    Finals& finals = answered(query);
    const bool whole = outcome == Outcome::completed;
    ++(whole ? finals.completed : finals.failed);
    ++(whole ? loop_.counters.completed : loop_.counters.aborted);
    whole ? clients_->last(execution.query) : clients_->cut(execution.query);
  } else if (outcome == Outcome::completed && query.answered) {
    ++loop_.counters.lateAnswers;
  }
  if (outcome == Outcome::completed && !query.answered) {
    ++answered(query).completed;
    ++loop_.counters.completed;
    clients_->complete(execution.query, answer);
  }
  // Guards against a bad query that would go from server to server and count against each: that a server
  // can't use it is told of the query, not of the server, and so is its final answer.
  if (outcome == Outcome::moot && !query.answered) {
    ++answered(query).failed;
    clients_->turnAway(execution.query);
  }
  query.handle->executionEnded(loop_.now(), execution.no, outcome, query.answered, service);
  settle(execution.query);
}

void Exchange::serversListed(const Listed& listed) {
  ++loop_.counters.lists;
  Line(Level::debug) << "listed servers=" << listed.servers.size()
                     << (listed.listing == Listing::changes ? " changes" : " whole");
  remember(listed);
  servers_->listed(listed);
  balancer_->serversListed(loop_.now(), listed.listing, listed.servers);
  settle({});
}

void Exchange::discoveryFailed() {
  ++loop_.counters.discoveryFailures;
  balancer_->discoveryFailed(loop_.now());
}

void Exchange::takeOut(ServerId server) {
  servers_->takenOut(server, true);
  balancer_->takeOut(loop_.now(), server);
  settle({});
}

void Exchange::putBack(ServerId server, Span at) {
  servers_->takenOut(server, false);
  balancer_->putBack(at, server);
  settle({});
}

std::size_t Exchange::avoided() const {
  return static_cast<std::size_t>(std::count_if(list_.begin(), list_.end(), [this](const auto& server) {
    return server.second == Lifecycle::draining || balancer_->avoids(loop_.now(), server.first);
  }));
}

void Exchange::remember(const Listed& listed) {
  if (listed.listing != Listing::changes) list_.clear();
  for (const ListedServer& server : listed.servers) {
    learn(server.id);
    if (server.lifecycle == Lifecycle::gone) {
      list_.erase(server.id);
    } else {
      list_[server.id] = server.lifecycle;
    }
  }
}

void Exchange::learn(ServerId server) {
  if (everListed_.size() < kMostKnown) everListed_.insert(server);
}

Finals& Exchange::answered(InFlight& query) {
  query.answered = true;
  --open_;
  return loop_.counters.finals.at(query.useCase.value);
}

bool Exchange::freeDescriptor() { return servers_->freeDescriptor() || clients_->freeDescriptor(); }

void Exchange::execute(QueryId query, ServerId server, Span timeout) {
  ++loop_.counters.executions;
  InFlight& sent = inFlight_.at(query);
  const ExecutionNo no{sent.executions++};
  const bool coming = sent.coming;
  servers_->execute({query, no}, server, sent.message, timeout, coming);
  if (!coming) return;
  sent.takes = no;
  servers_->bodyPart({query, no}, std::exchange(sent.begun, {}), sent.begunLast);
  loop_.soon([this, query] { clients_->pauseBody(query, false); });
}

void Exchange::cancel(QueryId query, ExecutionNo execution) { servers_->cancel({query, execution}); }

void Exchange::reject(QueryId query, Span comeBackAfter) {
  ++loop_.counters.rejected;
  ++answered(inFlight_.at(query)).rejected;
  answered_.push_back(query);
  clients_->reject(query, comeBackAfter);
}

void Exchange::abort(QueryId query) {
  ++loop_.counters.aborted;
  ++answered(inFlight_.at(query)).failed;
  answered_.push_back(query);
  clients_->abort(query);
}

void Exchange::wakeAt(Span time) {
  loop_.at(time, [this] {
    balancer_->wake(loop_.now());
    settle({});
  });
}

void Exchange::watchServers() { discovery_->watch(); }

void Exchange::listServers() { discovery_->list(); }

// Forgets the queries that are over: this one, and those that the balancer answered by itself.
void Exchange::settle(QueryId query) {
  answered_.push_back(query);
  for (const QueryId over : answered_) {
    const auto at = inFlight_.find(over);
    if (at != inFlight_.end() && at->second.handle && at->second.handle->over()) inFlight_.erase(at);
  }
  answered_.clear();
}

}  // namespace rackroute::sidecar
