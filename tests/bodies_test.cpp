// Large and slow messages: streamed in bounded memory and never sent twice.

#include "sidecar_process.hpp"

using namespace rackroute::program;

namespace {

const std::string kPiece(50000, 'x');
constexpr int kPieces = 40;

std::string post(const std::string& framing) {
  std::string head = query("book", "Idempotency-Key: 5c0f\r\n" + framing);
  return head.substr(0, head.rfind("Content-Length: 4")) + "\r\n";
}

std::string length(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }

const std::string kLong = "HTTP/1.1 200 OK\r\n" + length(kPieces * kPiece.size()) + "\r\n";

}  // namespace

TEST_CASE("a long body is streamed to the server, and its long response is streamed back") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  const bool chunked = GENERATE(false, true);
  client.send(post(chunked ? "Transfer-Encoding: chunked\r\n" : length(kPieces * kPiece.size())));
  const auto piece = [&] { return chunked ? chunk(kPiece) : kPiece; };
  for (int i = 0; i < 4; ++i) client.send(piece());
  Peer server = sidecar.acceptServer();  // most of the body has not been sent yet
  CHECK(has(server.readUntil("\r\n\r\n"), "POST /book/"));
  std::thread sender([&] {
    for (int i = 4; i < kPieces; ++i) client.send(piece());
    if (chunked) client.send("0\r\n\r\n");
  });
  if (chunked) {
    server.readUntil("\r\n0\r\n\r\n");
  } else {
    CHECK(server.discard(kPieces * kPiece.size()) == kPieces * kPiece.size());
  }
  sender.join();
  server.send(kLong + kPiece);
  CHECK(has(client.readUntil("\r\n\r\n"), "HTTP/1.1 200 "));  // most of the response has not been sent yet
  std::thread responder([&] {
    for (int i = 1; i < kPieces; ++i) server.send(kPiece);
  });
  CHECK(client.discard(kPieces * kPiece.size()) == kPieces * kPiece.size());
  responder.join();
  client.send(query("pay"));  // both connections are reused
  server.readMessage();
  server.send(okResponse("next"));
  CHECK(has(client.readMessage(), "next"));
}

TEST_CASE("a slow reader pauses its own server connection and delays no other query") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer slow = sidecar.connect();
  slow.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send("HTTP/1.1 200 OK\r\n" + length(40000000) + "\r\n");
  const std::size_t sent = server.sendUntilBlocked(kPiece, 39000000);
  CHECK(sent < 39000000);
  Peer quick = sidecar.connect();
  quick.send(query("read"));
  Peer other = sidecar.acceptServer();
  other.readMessage();
  other.send(okResponse("done"));
  CHECK(has(quick.readMessage(), "done"));
  slow.readUntil("\r\n\r\n");
  CHECK(slow.discard(sent) == sent);
}

TEST_CASE("a streamed response that breaks off is truncated for the client, and its query not retried") {
  Sidecar sidecar(2);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(kLong + kPiece + kPiece);
  client.readUntil("\r\n\r\n");
  server.reset();
  CHECK(client.discard(kPieces * kPiece.size()) < kPieces * kPiece.size());
  CHECK(sidecar.noServerDialled());
}

TEST_CASE("a client that leaves while a body or response is streamed releases its server connection") {
  const bool body = GENERATE(true, false);
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  if (body) {
    client.send(post(length(1000000)) + kPiece + kPiece);
  } else {
    client.send(query("read"));
  }
  Peer server = sidecar.acceptServer();
  server.readUntil("\r\n\r\n");
  if (!body) {
    server.send(kLong + kPiece);
    client.readUntil("\r\n\r\n");
  }
  client.reset();
  CHECK(server.discard(1000000) < 1000000);  // the sidecar closes it
}

TEST_CASE("a streamed body is not sent again, and one that is never completed is ended") {
  Sidecar sidecar(2);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(post(length(1000000)) + kPiece + kPiece);
  Peer server = sidecar.acceptServer();
  server.readUntil("\r\n\r\n");
  SECTION("the server rejects it") {
    server.send("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = client.readMessage();
    CHECK(has(answer, "HTTP/1.1 503 "));
    CHECK(has(answer, "Connection: close"));
  }
  SECTION("the server dies") {
    server.reset();
    CHECK(has(client.readMessage(), "HTTP/1.1 503 "));  // its last byte was not written, so it never ran
  }
  SECTION("the client stalls") {
    CHECK(client.closedByPeer());
    CHECK(server.discard(1000000) < 1000000);
  }
  CHECK(sidecar.noServerDialled());
}

TEST_CASE("a streamed body that becomes malformed is rejected, and its execution ended") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(post("Transfer-Encoding: chunked\r\n") + chunk(kPiece) + chunk(kPiece));
  Peer server = sidecar.acceptServer();
  server.readUntil("\r\n\r\n");
  client.send("no size\r\n");
  CHECK(has(client.readMessage(), "HTTP/1.1 400 "));
  CHECK(server.discard(1000000) < 1000000);  // the sidecar closes it
  sidecar.signal(SIGTERM);
  CHECK(sidecar.waitForExit() == 0);
  CHECK_FALSE(has(sidecar.log(), "error fault"));
}

TEST_CASE("Expect: 100-continue, HTTP/1.0 and responses that end with the connection are supported") {
  Sidecar sidecar(1);
  sidecar.start();
  Peer client = sidecar.connect();
  client.send(post("Expect: 100-continue\r\n" + length(4)));
  CHECK(has(client.readUntil("\r\n\r\n"), "HTTP/1.1 100 "));
  client.send("body");
  Peer server = sidecar.acceptServer();
  CHECK_FALSE(has(server.readMessage(), "Expect"));
  server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil close");
  server.close();
  CHECK(has(client.readMessage(), "until close"));
  std::string old = query("read");
  client.send(old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0"));
  server = sidecar.acceptServer();
  server.readMessage();
  server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(kPiece) + chunk(kPiece));
  const std::string head = client.readUntil("\r\n\r\n");
  CHECK_FALSE(has(head, "chunked"));
  CHECK(has(head, "Connection: close"));
  server.send("0\r\n\r\n");
  CHECK(client.discard(1000000) == 2 * kPiece.size());
}
