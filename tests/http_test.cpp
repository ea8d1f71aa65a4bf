// The HTTP parser: splitting of input, strictness, size limits and forwarding of header fields.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/gather_buffer.hpp"
#include "http/message.hpp"

using namespace rackroute::http;

namespace {

const std::string kRequest =
    "POST /bind/7f3a HTTP/1.1\r\nHost: b\r\nX-Class:  bind \r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "POST /bind/7f3a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nT: "
    "1\r\n\r\n";

ParseStatus readAll(Reader::Kind kind, std::string text) {
  Reader reader(kind);
  return reader.read(text);
}

std::string joined(const std::vector<std::string_view>& lines) {
  std::string all;
  for (const std::string_view line : lines) all += line;
  return all;
}

}  // namespace

TEST_CASE("a request parses the same wherever its bytes are split, and the bytes after it are kept") {
  const std::string bytes = GENERATE(kRequest, kChunked);
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    Reader reader(Reader::Kind::request);
    std::string in = bytes.substr(0, split);
    if (split < bytes.size()) REQUIRE(reader.read(in) == ParseStatus::needMore);
    in += bytes.substr(split) + "GET /next";
    REQUIRE(reader.read(in) == ParseStatus::done);
    const Message message = reader.take(in);
    CHECK(message.startLinePart(1) == "/bind/7f3a");
    CHECK(message.body() == "hello");
    CHECK(in == "GET /next");
    CHECK(reader.read(in) == ParseStatus::needMore);
  }
}

TEST_CASE("a chunked body can be parsed byte by byte") {
  Reader reader(Reader::Kind::request);
  std::string in;
  for (std::size_t i = 0; i < kChunked.size(); ++i) {
    in += kChunked[i];
    REQUIRE(reader.read(in) == (i + 1 < kChunked.size() ? ParseStatus::needMore : ParseStatus::done));
  }
  CHECK(reader.take(in).body() == "hello");
}

TEST_CASE("messages that two parsers could frame differently are malformed") {
  const auto* const head = GENERATE(
      "GET /\r\n\r\n", "GET  / HTTP/1.1\r\n\r\n", "GET x HTTP/1.1\r\n\r\n", "G@T / HTTP/1.1\r\n\r\n",
      "GET / HTTP/2.0\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n", "GET / HTTP/1.1\r\nA : b\r\n\r\n",
      "GET / HTTP/1.1\r\n A: b\r\n\r\n", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
      "GET http:/// HTTP/1.1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 1\r\n 2\r\n\r\nab",
      "GET ftp://a/b HTTP/1.1\r\n\r\n", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "GET / HTTP/1.1\r\n: b\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\na", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n");
  CAPTURE(head);
  CHECK(readAll(Reader::Kind::request, head) == ParseStatus::malformed);
}

TEST_CASE("size limits apply to the head, to bodies by length and in chunks, and to chunk size lines") {
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(readAll(Reader::Kind::request, post + "A: " + std::string(kMaxHeadBytes, 'a')) ==
        ParseStatus::headTooLong);
  CHECK(readAll(Reader::Kind::request, post + "Content-Length: 65536\r\n\r\n") == ParseStatus::needMore);
  CHECK(readAll(Reader::Kind::request, post + "Content-Length: 65537\r\n\r\n") == ParseStatus::bodyTooLong);
  CHECK(readAll(Reader::Kind::request, post + "Content-Length: 99999999999999999999\r\n\r\n") ==
        ParseStatus::bodyTooLong);
  CHECK(readAll(Reader::Kind::request, chunked + "10001\r\n") == ParseStatus::bodyTooLong);
  CHECK(readAll(Reader::Kind::request, chunked + "1;" + std::string(300, 'x')) == ParseStatus::malformed);
}

TEST_CASE("a response needs explicit framing unless it has no body") {
  CHECK(readAll(Reader::Kind::response, "HTTP/1.1 200 OK\r\n\r\nbody") == ParseStatus::malformed);
  CHECK(readAll(Reader::Kind::response, "HTTP/1.1 503 Busy\r\n\r\n") == ParseStatus::done);
  CHECK(readAll(Reader::Kind::response, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n") == ParseStatus::done);
  CHECK(readAll(Reader::Kind::response, "HTTP/1.1 20 OK\r\n\r\n") == ParseStatus::malformed);
  CHECK(readAll(Reader::Kind::response, "SSH-2.0-x y\r\n\r\n") == ParseStatus::malformed);
}

TEST_CASE("header fields are forwarded unchanged, except hop-by-hop and framing fields") {
  Reader reader(Reader::Kind::request);
  std::string in =
      "POST / HTTP/1.1\r\nA: 1\r\nB:2\r\nConnection: close, X-Hop\r\nX-Hop: 3\r\nx-deadline-ms: 4\r\n"
      "Content-Length: 0\r\nC: 5\r\n\r\n";
  REQUIRE(reader.read(in) == ParseStatus::done);
  const Message message = reader.take(in);
  CHECK(joined(message.endToEndFields("X-Deadline-Ms")) == "A: 1\r\nB:2\r\nC: 5\r\n");
  CHECK(message.endToEndFields("X-Deadline-Ms").size() == 2);  // adjacent lines are joined
  CHECK_FALSE(message.keepsAlive());
  CHECK(message.field("x-HOP") == "3");
}

TEST_CASE("pieces written a few bytes at a time are complete and in order") {
  for (std::size_t step = 1; step < 9; ++step) {
    GatherBuffer gather;
    const auto owner = std::make_shared<const std::string>("middle");
    gather.text("front ");
    gather.keep(owner);
    gather.view(*owner);
    gather.text(" back");
    std::string out;
    while (!gather.empty()) {
      std::string all;
      for (const std::string_view piece : gather.pieces()) all += piece;
      out += all.substr(0, step);
      gather.written(std::min(step, all.size()));
    }
    CHECK(out == "front middle back");
    CHECK(owner.use_count() == 1);
  }
}

TEST_CASE("a folded field is unfolded, and an absolute-form target is reduced to its path") {
  Reader reader(Reader::Kind::request);
  std::string in = "GET http://backend.local:80/read/1?x HTTP/1.1\r\nA: b\r\n\tc\r\n d\r\nE: f\r\n\r\n";
  REQUIRE(reader.read(in) == ParseStatus::done);
  const Message message = reader.take(in);
  CHECK(message.startLinePart(1) == "/read/1?x");
  CHECK(message.field("A") == "b  \tc   d");
  CHECK(message.field("E") == "f");
}

TEST_CASE("a body read after its head decodes the same in random pieces, with each framing") {
  std::minstd_rand random(7);
  std::string data;
  for (int i = 0; i < 3000; ++i) data += static_cast<char>(random() & 0xff);
  std::string chunks;
  for (std::size_t at = 0; at < data.size();) {
    const std::size_t size = std::min<std::size_t>(1 + random() % 200, data.size() - at);
    chunks +=
        chunkHeader(size).insert(1 + (size > 15 ? 1 : 0), ";ext=\"x\"") + data.substr(at, size) + "\r\n";
    at += size;
  }
  struct Framing {
    std::string head;
    std::string body;
    ParseStatus end;
  };
  const Framing framing = GENERATE_COPY(
      Framing{"Content-Length: 3000\r\n", data, ParseStatus::done},
      Framing{"Transfer-Encoding: chunked\r\n", chunks + "0\r\nTrailer: x\r\n\r\n", ParseStatus::done},
      Framing{"Connection: close\r\n", data, ParseStatus::needMore});
  for (int round = 0; round < 40; ++round) {
    Reader reader(Reader::Kind::response);
    std::string in = "HTTP/1.1 200 OK\r\n" + framing.head + "\r\n";
    REQUIRE(reader.readHead(in) == ParseStatus::done);
    const Message head = reader.takeHead(in);
    BodyReader body(head, Reader::Kind::response, 4000);
    std::string out;
    ParseStatus progress = ParseStatus::needMore;
    for (std::size_t at = 0; at < framing.body.size();) {
      const std::size_t size = std::min<std::size_t>(1 + random() % (round + 1), framing.body.size() - at);
      REQUIRE(progress == ParseStatus::needMore);
      in += framing.body.substr(at, size);
      at += size;
      progress = body.read(in, out);
    }
    CHECK(progress == framing.end);
    CHECK(out == data);
    CHECK(body.untilClose() == (framing.end == ParseStatus::needMore));
  }
}

namespace {

/// Parses the bytes in pieces of the given size; returns the final status and the decoded body.
std::pair<ParseStatus, std::string> readInPieces(Reader::Kind kind, const std::string& bytes,
                                                 std::size_t piece) {
  Reader reader(kind, 4000);
  std::string in;
  std::string out;
  std::optional<BodyReader> body;
  ParseStatus progress = ParseStatus::needMore;
  for (std::size_t at = 0; at < bytes.size() && progress == ParseStatus::needMore; at += piece) {
    in += bytes.substr(at, piece);
    if (!body) {
      progress = reader.readHead(in);
      if (progress != ParseStatus::done) continue;
      body.emplace(reader.takeHead(in), kind, 4000);
    }
    progress = body->read(in, out);
  }
  return {progress, out};
}

}  // namespace

TEST_CASE("mutated messages parse the same in one piece and in many, and never exceed the body limit") {
  std::minstd_rand random(11);
  const std::string fragments[] = {"\r\n",
                                   "\r",
                                   "\n",
                                   " ",
                                   ":",
                                   "0",
                                   "fffffff",
                                   ";",
                                   "\t",
                                   "Content-Length: 5\r\n",
                                   "Transfer-Encoding: chunked\r\n",
                                   "HTTP/1.1",
                                   std::string(1, '\0'),
                                   "\x80"};
  for (int round = 0; round < 20000; ++round) {
    const bool isRequest = random() % 2 == 0;
    std::string bytes =
        isRequest
            ? (random() % 2 == 0 ? kRequest : kChunked)
            : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n c\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (auto changes = random() % 4; changes > 0; --changes) {
      const std::size_t at = random() % bytes.size();
      const std::string& fragment = fragments[random() % std::size(fragments)];
      if (random() % 2 == 0) bytes.erase(at, random() % 6);
      bytes.insert(std::min(at, bytes.size()), fragment);
    }
    const auto kind = isRequest ? Reader::Kind::request : Reader::Kind::response;
    const auto unsplit = readInPieces(kind, bytes, bytes.size());
    const auto split = readInPieces(kind, bytes, 1 + random() % 9);
    CAPTURE(bytes);
    REQUIRE(split.first == unsplit.first);
    if (unsplit.first == ParseStatus::done) REQUIRE(split.second == unsplit.second);
    REQUIRE(unsplit.second.size() <= 4000);
  }
}
