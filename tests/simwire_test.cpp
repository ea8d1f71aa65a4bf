#include <catch2/catch.hpp>

#include "simwire/session.hpp"

using rackroute::simwire::MalformedValue;
using rackroute::simwire::Session;

namespace {

const char* const kStart =
    "START\t3\t42\tlocality=a\tbounds.max_executions=5\tgranularity_ms=5.0\tregistry_mode=on_request\t"
    "use_cases.count=1\tuse_cases.0.name=read\tuse_cases.0.effect=retryable\tuse_cases.0.group=all\t"
    "use_cases.0.slo_time_ms=500.0\tsomething.new=1";

std::string batch(Session& session, std::initializer_list<const char*> events) {
  session.read("BEGIN_BATCH\t8412.25");
  for (const char* event : events) session.read(event);
  REQUIRE(session.read("END"));
  return session.takeReply();
}

}  // namespace

TEST_CASE("a query is forwarded, retried on another server after a failure, and ignored after RETIRE") {
  Session session;
  CHECK(batch(session, {}) == "END\n");
  CHECK(batch(session, {kStart, "DEFINE_LIST\t0\t2", "SERVER\tk\tSERVING\ta\t1\t-\t0\t10.0.0.1:80",
                        "SERVER\tk\tSERVING\ta\t1\t-\t0\t10.0.0.2:80", "DISCOVERY\t3\tPersisted\t1\t0"}) ==
        "LISTEN\t3\t1\nEND\n");
  const std::string first = batch(session, {"REQ\t3\t77\t240.5\tread\t-\t-\t0\t-"});
  REQUIRE(first.find("FORWARD\t3\t77\t240.500\t10.0.0.") == 0);
  const std::string server = first.substr(23, 11);
  const std::string failed = "RESULT\t3\t77\t0\t" + server + "\t20\t1.5\t0\t-";
  const std::string second = batch(session, {failed.c_str()});
  CHECK(second.find("FORWARD\t3\t77\t") == 0);
  CHECK(second.find(server) == std::string::npos);
  CHECK(batch(session, {"RETIRE\t3", "CANCELLED_BY_CLIENT\t3\t77", "TIMEOUT_FIRED\t3\t0"}) == "END\n");
}

TEST_CASE("malformed input is rejected") {
  const auto* const line =
      GENERATE("NONSENSE\t3", "REQ\t3\t77", "RESULT\t3\tx\t0\ts\t10\t1\t1\t-",
               "RESULT\t3\t1\t0\ts\t11\t1\t1\t-", "RESULT\t3\t1\t0\ts\t10\t1\t1\tlat_ms",
               "RESULT\t3\t1\t0\ts\t10\t1\t1\tbusy:0.5,lat_ms:x", "DISCOVERY\t3\tPersisted\t1\t99",
               "REQ\t3\t77\tsoon\tread\t-\t-\t0\t-", "REQ\t3\t77\t10\tunheard\t-\t-\t0\t-", "BEGIN_BATCH\t1");
  Session session;
  session.read("BEGIN_BATCH\t1.0");
  session.read(kStart);
  CHECK_THROWS_AS(session.read(line), MalformedValue);
}

TEST_CASE("an event outside a batch is rejected") {
  Session session;
  CHECK_THROWS_AS(session.read("RETIRE\t3"), MalformedValue);
}
