// Long and slow messages: passed on as they come, in bounded memory, and never more than once.

#include "program.hpp"

using namespace rackroute::program;

namespace {

const std::string kPiece(50000, 'x');
constexpr int kPieces = 40;  // two million bytes in all

std::string post(const std::string& framing) {
  std::string head = query("book", "Idempotency-Key: 5c0f\r\n" + framing);
  return head.substr(0, head.rfind("Content-Length: 4")) + "\r\n";
}

std::string length(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }

const std::string kLong = "HTTP/1.1 200 OK\r\n" + length(kPieces * kPiece.size()) + "\r\n";

}  // namespace

TEST_CASE("a long body goes to the server as it comes, and its long answer comes back as it goes") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  const bool chunks = GENERATE(false, true);
  client.say(post(chunks ? "Transfer-Encoding: chunked\r\n" : length(kPieces * kPiece.size())));
  const auto piece = [&] { return chunks ? chunk(kPiece) : kPiece; };
  for (int i = 0; i < 4; ++i) client.say(piece());
  Peer server = sidecar.server();  // with most of the body still to come
  CHECK(has(server.until("\r\n\r\n"), "POST /book/"));
  std::thread rest([&] {
    for (int i = 4; i < kPieces; ++i) client.say(piece());
    if (chunks) client.say("0\r\n\r\n");
  });
  if (chunks) {
    server.until("\r\n0\r\n\r\n");
  } else {
    CHECK(server.swallow(kPieces * kPiece.size()) == kPieces * kPiece.size());
  }
  rest.join();
  server.say(kLong + kPiece);
  CHECK(has(client.until("\r\n\r\n"), "HTTP/1.1 200 "));  // with most of the answer still to come
  std::thread answers([&] {
    for (int i = 1; i < kPieces; ++i) server.say(kPiece);
  });
  CHECK(client.swallow(kPieces * kPiece.size()) == kPieces * kPiece.size());
  answers.join();
  client.say(query("pay"));  // both connections serve again
  server.message();
  server.say(served("next"));
  CHECK(has(client.message(), "next"));
}

TEST_CASE("a slow reader makes its server wait, and nobody else") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer slow = sidecar.connect();
  slow.say(query("read"));
  Peer server = sidecar.server();
  server.message();
  server.say("HTTP/1.1 200 OK\r\n" + length(40000000) + "\r\n");
  const std::size_t taken = server.push(kPiece, 39000000);
  CHECK(taken < 39000000);
  Peer quick = sidecar.connect();
  quick.say(query("read"));
  Peer other = sidecar.server();
  other.message();
  other.say(served("done"));
  CHECK(has(quick.message(), "done"));
  slow.until("\r\n\r\n");
  CHECK(slow.swallow(taken) == taken);
}

TEST_CASE("a long answer that breaks is cut for the client, and its query not sent again") {
  Sidecar sidecar(2);
  sidecar.start();
  Peer client = sidecar.connect();
  client.say(query("read"));
  Peer server = sidecar.server();
  server.message();
  server.say(kLong + kPiece + kPiece);
  client.until("\r\n\r\n");
  server.reset();
  CHECK(client.swallow(kPieces * kPiece.size()) < kPieces * kPiece.size());
  CHECK(sidecar.nobodyDialled());
}

TEST_CASE("a client that leaves while its body comes, or its answer, leaves its server free") {
  const bool body = GENERATE(true, false);
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  if (body) {
    client.say(post(length(1000000)) + kPiece + kPiece);
  } else {
    client.say(query("read"));
  }
  Peer server = sidecar.server();
  server.until("\r\n\r\n");
  if (!body) {
    server.say(kLong + kPiece);
    client.until("\r\n\r\n");
  }
  client.reset();
  CHECK(server.swallow(1000000) < 1000000);  // it ends
}

TEST_CASE("a body that was passed on is not sent again, and one that never comes whole is ended") {
  Sidecar sidecar(2);
  sidecar.start();
  Peer client = sidecar.connect();
  client.say(post(length(1000000)) + kPiece + kPiece);
  Peer server = sidecar.server();
  server.until("\r\n\r\n");
  SECTION("the server turns it away") {
    server.say("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = client.message();
    CHECK(has(answer, "HTTP/1.1 503 "));
    CHECK(has(answer, "Connection: close"));
  }
  SECTION("the server dies") {
    server.reset();
    CHECK(has(client.message(), "HTTP/1.1 503 "));  // its last byte was never written: it never ran
  }
  SECTION("the client stalls") {
    CHECK(client.ends());
    CHECK(server.swallow(1000000) < 1000000);
  }
  CHECK(sidecar.nobodyDialled());
}

TEST_CASE("a body that goes bad on its way is refused, and its execution ended unrun") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.say(post("Transfer-Encoding: chunked\r\n") + chunk(kPiece) + chunk(kPiece));
  Peer server = sidecar.server();
  server.until("\r\n\r\n");
  client.say("no size\r\n");
  CHECK(has(client.message(), "HTTP/1.1 400 "));
  CHECK(server.swallow(1000000) < 1000000);  // it ends
  sidecar.signal(SIGTERM);
  CHECK(sidecar.ended() == 0);
  CHECK_FALSE(has(sidecar.log(), "error fault"));
}

TEST_CASE("all forms are served: asked to go on, the older version, ends by the connection's end") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.say(post("Expect: 100-continue\r\n" + length(4)));
  CHECK(has(client.until("\r\n\r\n"), "HTTP/1.1 100 "));
  client.say("body");
  Peer server = sidecar.server();
  CHECK_FALSE(has(server.message(), "Expect"));
  server.say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");
  server.close();
  CHECK(has(client.message(), "to the end"));
  std::string old = query("read");
  client.say(old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0"));
  server = sidecar.server();
  server.message();
  server.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(kPiece) + chunk(kPiece));
  const std::string head = client.until("\r\n\r\n");
  CHECK_FALSE(has(head, "chunked"));
  CHECK(has(head, "Connection: close"));
  server.say("0\r\n\r\n");
  CHECK(client.swallow(1000000) == 2 * kPiece.size());
}
