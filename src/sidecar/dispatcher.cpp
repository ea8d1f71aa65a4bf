#include "sidecar/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "sidecar/client_listener.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/log.hpp"

namespace rackroute::sidecar {
namespace {

constexpr std::size_t kMaxEverListed = 65536;

}  // namespace

void Dispatcher::start(const settings::ParsedSettings& settings, ClientListener& clients, ServerPool& servers,
                       Discovery& discovery, const ServerList& known) {
  clients_ = &clients;
  servers_ = &servers;
  discovery_ = &discovery;
  loop_.counters.finalResults.resize(settings.config.useCases.size());
  balancer_.emplace(settings.config, *this);
  serversListed(known);
}

void Dispatcher::submit(const std::shared_ptr<const http::Message>& message, const Query& query) {
  ++loop_.counters.queries;
  QueryState& state = queries_[query.id];
  state.message = message;
  state.useCase = query.useCase;
  state.bodyStreaming = query.bodyStreaming;
  ++openQueries_;
  const QueryHandle handle = balancer_->submit(loop_.now(), query);
  queries_.at(query.id).handle = handle;
  eraseFinished(query.id);
}

void Dispatcher::bodyPart(QueryId query, std::string data, bool last) {
  const auto at = queries_.find(query);
  if (at == queries_.end()) return;  // answered before the body was complete
  QueryState& state = at->second;
  if (!state.bodyExecution) {
    state.earlyBody += data;
    state.earlyBodyComplete = state.earlyBodyComplete || last;
    // Buffers the first part and pauses the client until an execution starts.
    if (!state.answered) clients_->pauseBody(query, true);
  } else if (servers_->bodyPart({query, *state.bodyExecution}, std::move(data), last)) {
    clients_->pauseBody(query, true);
  }
  if (!last) return;
  state.handle->bodyComplete(loop_.now());
  eraseFinished(query);
}

void Dispatcher::resumeBody(ExecutionKey execution) { clients_->pauseBody(execution.query, false); }

bool Dispatcher::responseStarted(ExecutionKey execution, const std::shared_ptr<const http::Message>& head) {
  const auto at = queries_.find(execution.query);
  if (at == queries_.end() || at->second.answered) return false;
  at->second.streamingExecution = execution.no;
  at->second.answered = true;  // no other execution can answer this query any more
  clients_->beginResponse(execution.query, head);
  at->second.handle->responseStarted(loop_.now(), execution.no);
  eraseFinished({});
  return true;
}

void Dispatcher::responsePart(ExecutionKey execution, std::string data) {
  if (clients_->responsePart(execution.query, std::move(data))) servers_->pauseResponse(execution, true);
}

void Dispatcher::resumeResponse(QueryId query) {
  const auto at = queries_.find(query);
  if (at != queries_.end() && at->second.streamingExecution)
    servers_->pauseResponse({query, *at->second.streamingExecution}, false);
}

void Dispatcher::clientLeft(QueryId query) {
  const auto at = queries_.find(query);
  if (at == queries_.end()) return;
  // Stops servers from sending, or waiting for a body, without a client.
  if (at->second.streamingExecution) servers_->cancel({query, *at->second.streamingExecution});
  if (at->second.bodyExecution) servers_->cancelIfBodyIncomplete({query, *at->second.bodyExecution});
  if (std::exchange(at->second.streamingExecution, std::nullopt)) --openQueries_;
  if (!std::exchange(at->second.answered, true)) --openQueries_;
  at->second.handle->clientLeft(loop_.now());
  eraseFinished(query);
}

void Dispatcher::executionEnded(ExecutionKey execution, Outcome outcome, Span service,
                                const std::shared_ptr<const http::Message>& response) {
  ++loop_.counters.outcomes.at(static_cast<std::size_t>(outcome));
  LogLine(Level::debug) << "execution query=" << execution.query.value << " no=" << execution.no.value
                        << " outcome=" << nameOf(outcome) << " service_us=" << service.count();
  const auto at = queries_.find(execution.query);
  if (at == queries_.end()) return;
  QueryState& query = at->second;
  if (query.streamingExecution == execution.no) {
    query.streamingExecution.reset();
    FinalResults& finalResults = recordFinalResult(query);
    const bool completed = outcome == Outcome::completed;
    ++(completed ? finalResults.completed : finalResults.failed);
    ++(completed ? loop_.counters.completed : loop_.counters.aborted);
    completed ? clients_->endResponse(execution.query) : clients_->truncateResponse(execution.query);
  } else if (outcome == Outcome::completed && query.answered) {
    ++loop_.counters.lateAnswers;
  }
  if (outcome == Outcome::completed && !query.answered) {
    ++recordFinalResult(query).completed;
    ++loop_.counters.completed;
    clients_->complete(execution.query, response);
  }
  // An invalid query is not retried, as it would fail on each server and count against all of them.
  if (outcome == Outcome::invalidQuery && !query.answered) {
    ++recordFinalResult(query).failed;
    clients_->rejectInvalid(execution.query);
  }
  query.handle->executionEnded(loop_.now(), execution.no, outcome, query.answered, service);
  eraseFinished(execution.query);
}

void Dispatcher::serversListed(const ServerList& list) {
  ++loop_.counters.lists;
  LogLine(Level::debug) << "listed servers=" << list.servers.size()
                        << (list.kind == ServerListKind::changes ? " changes" : " whole");
  updateServerList(list);
  servers_->updateServers(list);
  balancer_->serversListed(loop_.now(), list.kind, list.servers);
  eraseFinished({});
}

void Dispatcher::discoveryFailed() {
  ++loop_.counters.discoveryFailures;
  balancer_->discoveryFailed(loop_.now());
}

void Dispatcher::disableServer(ServerId server) {
  servers_->setDisabled(server, true);
  balancer_->disableServer(loop_.now(), server);
  eraseFinished({});
}

void Dispatcher::enableServer(ServerId server, Span at) {
  servers_->setDisabled(server, false);
  balancer_->enableServer(at, server);
  eraseFinished({});
}

std::size_t Dispatcher::excludedServers() const {
  return static_cast<std::size_t>(std::count_if(list_.begin(), list_.end(), [this](const auto& server) {
    return server.second == Lifecycle::draining || balancer_->isExcluded(loop_.now(), server.first);
  }));
}

void Dispatcher::updateServerList(const ServerList& list) {
  if (list.kind != ServerListKind::changes) list_.clear();
  for (const ListedServer& server : list.servers) {
    recordListed(server.id);
    if (server.lifecycle == Lifecycle::removed) {
      list_.erase(server.id);
    } else {
      list_[server.id] = server.lifecycle;
    }
  }
}

void Dispatcher::recordListed(ServerId server) {
  if (everListed_.size() < kMaxEverListed) everListed_.insert(server);
}

FinalResults& Dispatcher::recordFinalResult(QueryState& query) {
  query.answered = true;
  --openQueries_;
  return loop_.counters.finalResults.at(query.useCase.value);
}

bool Dispatcher::freeDescriptor() { return servers_->freeDescriptor() || clients_->freeDescriptor(); }

void Dispatcher::execute(QueryId query, ServerId server, Span timeout) {
  ++loop_.counters.executions;
  QueryState& state = queries_.at(query);
  const ExecutionNo no{state.executions++};
  const bool bodyStreaming = state.bodyStreaming;
  servers_->execute({query, no}, server, state.message, timeout, bodyStreaming);
  if (!bodyStreaming) return;
  state.bodyExecution = no;
  servers_->bodyPart({query, no}, std::exchange(state.earlyBody, {}), state.earlyBodyComplete);
  loop_.post([this, query] { clients_->pauseBody(query, false); });
}

void Dispatcher::cancel(QueryId query, ExecutionNo execution) { servers_->cancel({query, execution}); }

void Dispatcher::reject(QueryId query, Span retryAfter) {
  ++loop_.counters.rejected;
  ++recordFinalResult(queries_.at(query)).rejected;
  answeredQueries_.push_back(query);
  clients_->reject(query, retryAfter);
}

void Dispatcher::abort(QueryId query) {
  ++loop_.counters.aborted;
  ++recordFinalResult(queries_.at(query)).failed;
  answeredQueries_.push_back(query);
  clients_->abort(query);
}

void Dispatcher::wakeAt(Span time) {
  loop_.at(time, [this] {
    balancer_->wake(loop_.now());
    eraseFinished({});
  });
}

void Dispatcher::watchServers() { discovery_->watch(); }

void Dispatcher::listServers() { discovery_->list(); }

// Erases this query and those answered by the balancer, if they have finished.
void Dispatcher::eraseFinished(QueryId query) {
  answeredQueries_.push_back(query);
  for (const QueryId finished : answeredQueries_) {
    const auto at = queries_.find(finished);
    if (at != queries_.end() && at->second.handle && at->second.handle->finished()) queries_.erase(at);
  }
  answeredQueries_.clear();
}

}  // namespace rackroute::sidecar
