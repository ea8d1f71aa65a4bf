#pragma once

// What the module keeps of a query and of its executions. It owns nothing else and decides nothing.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rackroute/balancer.hpp"

namespace rackroute {

using ServerSlot = std::size_t;
using QuerySlot = std::uint32_t;

struct Pending {  // an execution that is out at a server
  QuerySlot query;
  ExecutionNo no;
  Span sentAt;
  double others;                  // executions that were out there when it was sent
  std::optional<Span> started{};  // its answer streams to the client since; its work is done
  bool coming = false;            // the query's body is still on its way
  bool overdue = false;           // counted as a time-out before its end
};

struct UseRun {                // of one use case at one server
  std::uint32_t failures = 0;  // in a row
  Span since{};                // the first of them
  Span shutUntil = Span::min();
};

enum class Fate { out, neverRan, mayHaveRun };

struct Execution {
  ServerSlot server;
  Span sentAt;
  ZoneId zone;
  CellId cell;
  Fate fate = Fate::out;
};

struct Held {  // a query that is owed its final answer, or still has executions out
  Query query{};
  Span arrived{};
  Span deadline{};
  std::uint32_t turn = 0;
  std::uint32_t out = 0;
  bool inUse = false;
  bool answered = false;
  bool waiting = false;
  double rank = 0;  // among those waiting
  std::vector<Execution> executions{};
};

}  // namespace rackroute
