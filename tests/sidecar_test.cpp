// End-to-end tests of the sidecar process against hand-played clients, servers and discovery.

#include "sidecar_process.hpp"

using namespace rackroute::program;

TEST_CASE("a query is forwarded unchanged, its response returned unchanged, and connections are reused") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("book", "Idempotency-Key: 5c0f\r\n"));
  Peer server = sidecar.acceptServer();
  const std::string sent = server.readMessage();
  CHECK(sent.find("POST /book/7f3a9c21e0b4d655 HTTP/1.1\r\n") == 0);
  CHECK(has(sent, "X-Request-Id: 9b1f"));
  CHECK(has(sent, "Idempotency-Key: 5c0f\r\n"));
  CHECK(sent.substr(sent.size() - 4) == "body");
  const int left = std::stoi(sent.substr(sent.find("X-Deadline-Ms: ") + 15));
  CHECK((left > 0 && left <= 2000));
  const std::string body("a\0b\r\n\r\n", 7);
  server.send(okResponse(body, "X-Load: {\"busy\":oops\r\n"));
  const std::string answer = client.readMessage();
  CHECK(answer.find("HTTP/1.1 200 ") == 0);
  CHECK(answer.substr(answer.size() - 7) == body);
  client.send(query("read"));
  CHECK(has(server.readMessage(), "GET /read/"));
  server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("on") + chunk("e") +
              "0\r\n\r\n");
  CHECK(has(client.readMessage(), "Content-Length: 3\r\n\r\none"));
}

TEST_CASE("a response longer than any query is returned complete, and its connection reused") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  const std::string body(300000, 'x');
  server.send(okResponse(body));
  CHECK(has(client.readMessage(), body));
  client.send(query("pay"));
  server.readMessage();
  server.send(okResponse("next"));
  CHECK(has(client.readMessage(), "next"));
}

TEST_CASE("the service time is read from the load report, and idle connections do not keep the loop busy") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(okResponse("done", "X-Load: {\"busy\":0.3,\"lat_ms\":96.153}\r\n"));
  CHECK_FALSE(has(client.readMessage(), "X-Load"));
  std::this_thread::sleep_for(500ms);  // a busy loop would turn some 20,000 times
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  const std::string log = sidecar.log();
  CHECK(has(log, "service_us=96153"));
  CHECK(std::stoi(log.substr(log.find(" turns=") + 7)) < 1000);
}

TEST_CASE("an execution that never ran is retried, one that may have run is not") {
  struct Case {
    std::string response;
    bool ran;
  };
  const Case sample =
      GENERATE(Case{"HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
               Case{"HTTP/1.1 504 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
               Case{"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true},
               Case{"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", true},
               Case{"HTTP/1.1 500 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
               Case{"HTTP/1.1 302 x\r\nContent-Length: 0\r\n\r\n", true}, Case{"nonsense\r\n\r\n", true},
               Case{"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n", true},
               Case{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf", true}, Case{"", true});
  CAPTURE(sample.response);
  Sidecar sidecar;
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  if (!sample.response.empty()) server.send(sample.response);
  if (sample.response.empty() || has(sample.response, "half")) server.reset();
  if (sample.ran) {
    CHECK(client.readMessage().find("HTTP/1.1 502 ") == 0);
    CHECK(sidecar.noServerDialled());
  } else {
    Peer other = sidecar.acceptServer();
    other.readMessage();
    other.send(okResponse("done"));
    CHECK(has(client.readMessage(), "done"));
  }
  if (has(sample.response, "302") || has(sample.response, "nonsense") || has(sample.response, "3000000000"))
    CHECK(server.closedByPeer());
}

TEST_CASE("after a refused connection the query goes to the other server") {
  Sidecar sidecar;
  const std::string config = sidecar.configuration();
  sidecar.start();
  sidecar.servers.erase(sidecar.servers.begin());  // its listener closes
  for (int i = 0; i < 6; ++i) {
    Peer client = sidecar.connect();
    client.send(query("pay"));
    Peer server = sidecar.acceptServer();
    server.readMessage();
    server.send(okResponse("done", "Connection: close\r\n"));
    CHECK(has(client.readMessage(), "done"));
    CHECK(server.closedByPeer());
  }
}

TEST_CASE("after a connect timeout the query goes to the other server") {
  Sidecar sidecar;
  ServerSocket full;  // its accept queue is full
  full.bind(SocketAddress("127.0.0.1", 0));
  full.listen(0);
  std::vector<StreamSocket> queued(3);
  for (StreamSocket& socket : queued) socket.connectNB(full.address());
  sidecar.servers[0] = full;
  sidecar.start();
  sidecar.servers.erase(sidecar.servers.begin());
  for (int i = 0; i < 8; ++i) {
    Peer client = sidecar.connect();
    client.send(query("pay"));
    Peer server = sidecar.acceptServer();
    server.readMessage();
    server.send(okResponse("done", "Connection: close\r\n"));
    CHECK(has(client.readMessage(), "done"));
  }
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  CHECK(has(sidecar.log(), "reason=dial_timeout"));
}

TEST_CASE("an incomplete response is not passed on, and an idempotent query is retried on the other server") {
  Sidecar sidecar;
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  server.close();
  Peer other = sidecar.acceptServer();
  other.readMessage();
  other.send(okResponse("complete"));
  const std::string answer = client.readMessage();
  CHECK(has(answer, "complete"));
  CHECK_FALSE(has(answer, "half"));
}

TEST_CASE("a silent server ends at the execution timeout with one response, and its connection is closed") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("pay", "", "300"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  CHECK(client.readMessage().find("HTTP/1.1 502 ") == 0);
  CHECK(server.closedByPeer());
  CHECK(client.staysSilent());
}

TEST_CASE("a late response to a client that left is dropped, and its server connection reused") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  client.close();
  std::this_thread::sleep_for(50ms);
  server.send(okResponse("late"));
  std::this_thread::sleep_for(50ms);
  Peer next = sidecar.connect();
  next.send(query("read"));
  server.readMessage();
  server.send(okResponse("fresh"));
  const std::string answer = next.readMessage();
  CHECK(has(answer, "fresh"));
  CHECK_FALSE(has(answer, "late"));
}

TEST_CASE("an invalid query is answered with an error, closes its connection and reaches no server") {
  const std::string line = "GET /read/1 HTTP/1.1\r\n";
  const std::string id = "X-Request-Id: 1\r\n";
  const std::string rest = "X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";
  const std::string good = id + "X-Class: read\r\n" + rest;
  const auto [text, status] = GENERATE_COPY(
      std::pair<std::string, std::string>{"GET /read\r\n\r\n", "400"},
      std::pair<std::string, std::string>{line + id + rest, "400"},
      std::pair<std::string, std::string>{line + "X-Class: read\r\n" + rest, "400"},
      std::pair<std::string, std::string>{line + id + "X-Class: read\r\nContent-Length: 0\r\n\r\n", "400"},
      std::pair<std::string, std::string>{
          line + id + "X-Class: read\r\nX-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", "400"},
      std::pair<std::string, std::string>{line + id + "X-Class: unheard\r\n" + rest, "400"},
      std::pair<std::string, std::string>{"POST /book/1 HTTP/1.1\r\n" + id + "X-Class: book\r\n" + rest,
                                          "400"},
      std::pair<std::string, std::string>{line + id + good, "400"},
      std::pair<std::string, std::string>{line + "X-Request-Id:\r\nX-Class: read\r\n" + rest, "400"},
      std::pair<std::string, std::string>{line + "X-Deadline-Ms: 500\r\n" + good, "400"},
      std::pair<std::string, std::string>{line + id + "X-Class: read\r\nX-Deadline-Ms: 0\r\n\r\n", "400"},
      std::pair<std::string, std::string>{"GET /pay/1 HTTP/1.1\r\n" + good, "400"},
      std::pair<std::string, std::string>{"POST /read/1 HTTP/1.1\r\n" + good, "400"},
      std::pair<std::string, std::string>{line + "Content-Length: 0\r\n" + good + "x", "400"},
      std::pair<std::string, std::string>{line + "Transfer-Encoding: chunked\r\n" + good, "400"},
      std::pair<std::string, std::string>{"PUT /read/1 HTTP/1.1\r\n" + id + "X-Class: read\r\n" + rest,
                                          "400"},
      std::pair<std::string, std::string>{line + "A: " + std::string(20000, 'a'), "431"},
      std::pair<std::string, std::string>{line + "Content-Length: 60000000\r\n\r\n", "413"});
  CAPTURE(text.substr(0, 200));
  Sidecar sidecar;
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(text);
  const std::string answer = client.readMessage();
  CHECK(answer.find("HTTP/1.1 " + status + ' ') == 0);
  CHECK(has(answer, "Connection: close\r\n"));
  CHECK(client.closedByPeer());
  CHECK(sidecar.noServerDialled());
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  const std::string log = sidecar.log();
  const std::size_t at = log.find("reason=bad_message");
  CHECK(at != std::string::npos);
  CHECK(log.find("reason=bad_message", at + 1) == std::string::npos);
}

TEST_CASE("a client that stalls in the middle of a query does not delay others") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer stalled = sidecar.connect();
  const std::string slow = query("read");
  stalled.send(slow.substr(0, 90));
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(okResponse("on"));
  CHECK(has(client.readMessage(), "on"));
  stalled.send(slow.substr(90));
  server.readMessage();
  server.send(okResponse("at last"));
  CHECK(has(stalled.readMessage(), "at last"));
}

TEST_CASE("connections without a query, with an incomplete one or without another one time out") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer silent = sidecar.connect();
  Peer half = sidecar.connect();
  half.send(query("read").substr(0, 90));
  Peer once = sidecar.connect();
  once.send("GET /up HTTP/1.1\r\n\r\n");
  once.readMessage();
  CHECK(silent.closedByPeer());
  CHECK(once.closedByPeer());
  CHECK(half.readMessage().find("HTTP/1.1 408 ") == 0);
  CHECK(half.closedByPeer());
}

TEST_CASE("hundreds of idle connections leave descriptors for queries and their executions") {
  Sidecar sidecar(1);
  sidecar.descriptorLimit = "64";
  sidecar.start();
  std::vector<Peer> silent;
  for (int i = 0; i < 200; ++i) silent.push_back(sidecar.connect());
  for (int i = 0; i < 8; ++i) {
    Peer client = sidecar.connect();
    client.send(query("pay"));
    Peer server = sidecar.acceptServer();
    server.readMessage();
    server.send(okResponse("done", "Connection: close\r\n"));
    CHECK(has(client.readMessage(), "done"));
    for (int more = 0; more < 20; ++more) silent.push_back(sidecar.connect());
  }
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  CHECK(has(sidecar.log(), " out_of_descriptors=0 "));
}

TEST_CASE("one-off connections are closed with their response when many are open, reused ones are not") {
  Sidecar sidecar(1);
  sidecar.descriptorLimit = "64";
  sidecar.start();
  Peer reused = sidecar.connect();
  Peer server = [&] {
    reused.send(query("read"));
    return sidecar.acceptServer();
  }();
  const auto ask = [&](Peer& client) {
    client.send(query("read"));
    server.readMessage();
    server.send(okResponse("done"));
    return client.readMessage();
  };
  server.readMessage();
  server.send(okResponse("done"));
  CHECK_FALSE(has(reused.readMessage(), "Connection: close"));
  std::vector<Peer> checks;
  int ended = 0;
  for (int i = 0; i < 24; ++i) {
    checks.push_back(sidecar.connect());
    checks.back().send("GET /up HTTP/1.1\r\n\r\n");
    const std::string answer = checks.back().readMessage();
    CHECK(has(answer, "200 OK"));
    if (has(answer, "Connection: close")) ++ended;
  }
  CHECK(ended == 17);  // a quarter of the clients' 32 connections is kept: seven checks and the reused one
  CHECK_FALSE(has(ask(reused), "Connection: close"));
  CHECK_FALSE(has(ask(reused), "Connection: close"));
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  CHECK(has(sidecar.log(), "reason=crowded"));
}

TEST_CASE("an invalid query ends with a 4xx and does not count against servers") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  const std::string sent = query("read");
  client.send(sent);
  Peer server = sidecar.acceptServer();
  server.readMessage();
  Peer copy = sidecar.connect();  // duplicate of an id in flight
  copy.send(sent);
  CHECK(copy.readMessage().find("HTTP/1.1 400 ") == 0);
  CHECK(copy.closedByPeer());
  Peer pipelined = sidecar.connect();
  pipelined.send(query("read") + query("read"));
  CHECK(pipelined.readMessage().find("HTTP/1.1 400 ") == 0);
  CHECK(pipelined.closedByPeer());
  CHECK(sidecar.noServerDialled());
  server.send("HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n");
  CHECK(client.readMessage().find("HTTP/1.1 400 ") == 0);
  for (int i = 0; i < 3; ++i) {  // three errors in a row would eject the server for this use case
    Peer next = sidecar.connect();
    next.send(query("read"));
    server.readMessage();
    server.send("HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n");
    CHECK(next.readMessage().find("HTTP/1.1 400 ") == 0);
  }
  Peer good = sidecar.connect();
  good.send(query("read"));
  server.readMessage();
  server.send(okResponse("good"));
  CHECK(has(good.readMessage(), "good"));
  good.send(query("pay"));
  server.readMessage();
  good.send(query("pay"));  // before its response
  CHECK(good.closedByPeer());
}

TEST_CASE("a connection that the server closed while idle is not reused") {
  Sidecar sidecar(1);
  sidecar.start();
  for (int i = 0; i < 3; ++i) {
    Peer client = sidecar.connect();
    client.send(query("pay"));
    Peer server = sidecar.acceptServer();
    server.readMessage();
    server.send(okResponse("done"));
    CHECK(has(client.readMessage(), "done"));
    server.close();
  }
}

TEST_CASE("an idle connection is closed before the server's own timeout") {
  Sidecar sidecar(1);
  sidecar.bounds = R"("conn_idle_ms":400)";
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(okResponse("done"));
  client.readMessage();
  CHECK(server.closedByPeer());
}

TEST_CASE("watch lines are parsed wherever they are split, and a malformed one restarts the watch") {
  Sidecar sidecar(2);
  ServerSocket hidden = sidecar.servers[1];
  sidecar.servers.pop_back();
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  CHECK(has(watch.readUntil("\r\n\r\n"), "GET /discovery/hosts?watch=1&after=41 HTTP/1.1\r\n"));
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
  const std::string update = R"({"index":42,"snapshot":false,"endpoints":[)" +
                             endpointEntry("s-0", sidecar.servers[0], "draining") + "," +
                             endpointEntry("s-new", hidden) + "]}\n";
  for (const char byte : update) watch.send(chunk(std::string(1, byte)));
  std::this_thread::sleep_for(100ms);
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer server = accept(hidden);
  server.readMessage();
  server.send(okResponse("new"));
  CHECK(has(client.readMessage(), "new"));

  watch.send(chunk(R"({"index":43,"snapshot":true,"endpoints":[{"name":"s-0","status":"odd"}]})"
                   "\n"));
  CHECK(watch.closedByPeer());
  Peer again = accept(sidecar.discovery);
  CHECK(has(again.readUntil("\r\n\r\n"), "after=42"));
  again.send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
  Peer third = accept(sidecar.discovery);
  third.readUntil("\r\n\r\n");
  client.send(query("pay"));  // the last valid list stays in use
  server.readMessage();
  server.send(okResponse("held"));
  CHECK(has(client.readMessage(), "held"));
}

TEST_CASE("an empty list is verified by another call, and a changed server address is used") {
  Sidecar sidecar(2);
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  watch.readUntil("\r\n\r\n");
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunk("{\"index\":42,\"snapshot\":true,\"endpoints\":[]}\n"));
  Peer list = accept(sidecar.discovery);
  CHECK(has(list.readUntil("\r\n\r\n"), "GET /discovery/hosts HTTP/1.1\r\n"));
  ServerSocket moved(SocketAddress("127.0.0.1", 0));
  list.send(okResponse(R"({"index":42,"snapshot":true,"endpoints":[)" + endpointEntry("s-0", moved) + "," +
                       endpointEntry("s-1", moved) + "]}"));
  CHECK(list.closedByPeer());
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer server = accept(moved);
  server.readMessage();
  server.send(okResponse("moved"));
  CHECK(has(client.readMessage(), "moved"));
}

TEST_CASE("connections to a removed server are closed, and another server at its address gets a new one") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  watch.readUntil("\r\n\r\n");
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer before = sidecar.acceptServer();
  before.readMessage();
  before.send(okResponse("before"));
  CHECK(has(client.readMessage(), "before"));
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
             chunk("{\"index\":42,\"snapshot\":false,\"endpoints\":[" +
                   endpointEntry("s-0", sidecar.servers[0], "removed") + "," +
                   endpointEntry("s-9", sidecar.servers[0]) + "]}\n"));
  CHECK(before.closedByPeer());
  client.send(query("pay"));
  Peer after = sidecar.acceptServer();
  after.readMessage();
  after.send(okResponse("after"));
  CHECK(has(client.readMessage(), "after"));
}

TEST_CASE("a silent watch is restarted") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
  Peer again = accept(sidecar.discovery);
  CHECK(has(again.readUntil("\r\n\r\n"), "watch=1"));
}

TEST_CASE("a reload moves the watch to the new discovery address and loses no query") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer watch = accept(sidecar.discovery);
  watch.readUntil("\r\n\r\n");
  Peer client = sidecar.connect();
  client.send(query("pay"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  const ServerSocket old = std::exchange(sidecar.discovery, ServerSocket(SocketAddress("127.0.0.1", 0)));
  const std::string moved = sidecar.configuration();
  sidecar.writeConfig("{\"discovery\":");  // an incomplete file changes nothing
  sidecar.signal(SIGHUP);
  sidecar.writeConfig(moved.substr(0, moved.find("fragile")) + "brittle" +
                      moved.substr(moved.find("fragile") + 7));
  sidecar.signal(SIGHUP);
  CHECK(watch.staysSilent());
  sidecar.writeConfig(moved);
  sidecar.signal(SIGHUP);
  Peer newWatch = accept(sidecar.discovery);
  CHECK(has(newWatch.readUntil("\r\n\r\n"), "watch=1&after=41"));
  CHECK(watch.closedByPeer());
  sidecar.signal(SIGHUP);  // an unchanged address keeps the watch
  newWatch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk("{\"index\":3,\"snapshot\":true,\"endpoints\":[" +
                      endpointEntry("s-0", sidecar.servers[0]) + "]}\n"));
  CHECK(newWatch.staysSilent());
  server.send(okResponse("held"));
  CHECK(has(client.readMessage(), "held"));
  sidecar.signal(SIGTERM);
  sidecar.signal(SIGHUP);
  CHECK(sidecar.waitForExit() == 0);
  const std::string log = sidecar.log();
  CHECK(has(log, "reload_refused"));
  CHECK(has(log, " discovery_failures=0 lists=2 "));
}

TEST_CASE("on SIGTERM queries in flight and late ones are answered before the process exits") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer idle = sidecar.connect();
  idle.send("GET /up HTTP/1.1\r\n\r\n");
  idle.readMessage();
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  sidecar.signal(SIGTERM);
  CHECK(idle.closedByPeer());
  Peer late = sidecar.connect();
  late.send(query("read"));
  Peer second = sidecar.acceptServer();
  second.readMessage();
  second.send(okResponse("late"));
  CHECK(has(late.readMessage(), "Connection: close\r\n"));
  server.send(okResponse("held"));
  const std::string answer = client.readMessage();
  CHECK(has(answer, "held"));
  CHECK(has(answer, "Connection: close\r\n"));
  client.close();
  late.close();
  CHECK(sidecar.waitForExit() == 0);
  CHECK(has(sidecar.log(), "counters queries=2 completed=2 rejected=0"));
}

TEST_CASE("when descriptors run out, idle connections are closed and no query is lost") {
  Sidecar sidecar(1);
  sidecar.descriptorLimit = "24";
  sidecar.start();
  Peer first = sidecar.connect();
  first.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(okResponse("done"));
  first.readMessage();
  std::vector<Peer> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(
        sidecar.connect());  // stays idle, as a connection with a query would be closed with its response
  }
  CHECK(first.closedByPeer());
  clients.push_back(sidecar.connect());
  clients.back().send(query("read"));
  server.readMessage();
  server.send(okResponse("done"));
  CHECK(has(clients.back().readMessage(), "done"));
  sidecar.signal(SIGUSR1);
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  CHECK(has(sidecar.log(), "counters queries=2 completed=2 "));
}

TEST_CASE("an invalid configuration at startup is reported in one line with a failure exit code") {
  Sidecar sidecar(1);
  std::string config = sidecar.configuration();
  bool setVariable = true;
  ServerSocket occupied;
  SECTION("LB_CONFIG not set") { setVariable = false; }
  SECTION("not JSON") { config = "listen"; }
  SECTION("empty object") { config = "{}"; }
  SECTION("host name instead of an address") { config.replace(config.find("127.0.0.1"), 9, "localhost"); }
  SECTION("address in use") { occupied = ServerSocket(sidecar.address); }
  SECTION("unknown effect of a use case") { config.replace(config.find("fragile"), 7, "brittle"); }
  sidecar.launch(config, setVariable);
  CHECK(sidecar.waitForExit() == 1);
  const std::string log = sidecar.log();
  CHECK(log.find("rackroute: ") == 0);
  CHECK(log.find('\n') == log.size() - 1);
}
