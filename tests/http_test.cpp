#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/gather.hpp"
#include "http/message.hpp"

using namespace rackroute::http;

namespace {

const std::string kQuery =
    "POST /bind/7f3a HTTP/1.1\r\nHost: b\r\nX-Class:  bind \r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunked =
    "POST /bind/7f3a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nT: "
    "1\r\n\r\n";

Progress readWhole(Reader::Kind kind, std::string text) {
  Reader reader(kind);
  return reader.read(text);
}

std::string text(const std::vector<std::string_view>& lines) {
  std::string all;
  for (const std::string_view line : lines) all += line;
  return all;
}

}  // namespace

TEST_CASE("a query reads the same wherever its bytes are split, and what follows it is kept") {
  const std::string whole = GENERATE(kQuery, kChunked);
  for (std::size_t split = 0; split <= whole.size(); ++split) {
    Reader reader(Reader::Kind::query);
    std::string in = whole.substr(0, split);
    if (split < whole.size()) REQUIRE(reader.read(in) == Progress::more);
    in += whole.substr(split) + "GET /next";
    REQUIRE(reader.read(in) == Progress::done);
    const Message message = reader.take(in);
    CHECK(message.word(1) == "/bind/7f3a");
    CHECK(message.body() == "hello");
    CHECK(in == "GET /next");
    CHECK(reader.read(in) == Progress::more);
  }
}

TEST_CASE("a body of chunks reads the same byte by byte") {
  Reader reader(Reader::Kind::query);
  std::string in;
  for (std::size_t i = 0; i < kChunked.size(); ++i) {
    in += kChunked[i];
    REQUIRE(reader.read(in) == (i + 1 < kChunked.size() ? Progress::more : Progress::done));
  }
  CHECK(reader.take(in).body() == "hello");
}

TEST_CASE("what two readers could take apart differently is malformed") {
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
  CHECK(readWhole(Reader::Kind::query, head) == Progress::malformed);
}

TEST_CASE("bounds hold: of the head, of a body by length, of a body in chunks, of a size line") {
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  CHECK(readWhole(Reader::Kind::query, post + "A: " + std::string(kLongestHead, 'a')) ==
        Progress::headTooLong);
  CHECK(readWhole(Reader::Kind::query, post + "Content-Length: 65536\r\n\r\n") == Progress::more);
  CHECK(readWhole(Reader::Kind::query, post + "Content-Length: 65537\r\n\r\n") == Progress::bodyTooLong);
  CHECK(readWhole(Reader::Kind::query, post + "Content-Length: 99999999999999999999\r\n\r\n") ==
        Progress::bodyTooLong);
  CHECK(readWhole(Reader::Kind::query, chunked + "10001\r\n") == Progress::bodyTooLong);
  CHECK(readWhole(Reader::Kind::query, chunked + "1;" + std::string(300, 'x')) == Progress::malformed);
}

TEST_CASE("an answer's end must be told: only one that carries nothing may leave it out") {
  CHECK(readWhole(Reader::Kind::answer, "HTTP/1.1 200 OK\r\n\r\nbody") == Progress::malformed);
  CHECK(readWhole(Reader::Kind::answer, "HTTP/1.1 503 Busy\r\n\r\n") == Progress::done);
  CHECK(readWhole(Reader::Kind::answer, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n") == Progress::done);
  CHECK(readWhole(Reader::Kind::answer, "HTTP/1.1 20 OK\r\n\r\n") == Progress::malformed);
  CHECK(readWhole(Reader::Kind::answer, "SSH-2.0-x y\r\n\r\n") == Progress::malformed);
}

TEST_CASE("fields go on as they stand, but for those of one connection and of the framing") {
  Reader reader(Reader::Kind::query);
  std::string in =
      "POST / HTTP/1.1\r\nA: 1\r\nB:2\r\nConnection: close, X-Hop\r\nX-Hop: 3\r\nx-deadline-ms: 4\r\n"
      "Content-Length: 0\r\nC: 5\r\n\r\n";
  REQUIRE(reader.read(in) == Progress::done);
  const Message message = reader.take(in);
  CHECK(text(message.endToEnd("X-Deadline-Ms")) == "A: 1\r\nB:2\r\nC: 5\r\n");
  CHECK(message.endToEnd("X-Deadline-Ms").size() == 2);  // neighbours are one piece
  CHECK_FALSE(message.keepsOpen());
  CHECK(message.field("x-HOP") == "3");
}

TEST_CASE("pieces written a few bytes at a time come out whole and in order") {
  for (std::size_t step = 1; step < 9; ++step) {
    Gather gather;
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

TEST_CASE("a folded field is one line, and the absolute form tells the path") {
  Reader reader(Reader::Kind::query);
  std::string in = "GET http://backend.local:80/read/1?x HTTP/1.1\r\nA: b\r\n\tc\r\n d\r\nE: f\r\n\r\n";
  REQUIRE(reader.read(in) == Progress::done);
  const Message message = reader.take(in);
  CHECK(message.word(1) == "/read/1?x");
  CHECK(message.field("A") == "b  \tc   d");
  CHECK(message.field("E") == "f");
}

TEST_CASE("a body apart from its head reads the same in drawn pieces, whatever its form") {
  std::minstd_rand chance(7);
  std::string data;
  for (int i = 0; i < 3000; ++i) data += static_cast<char>(chance() & 0xff);
  std::string chunks;
  for (std::size_t at = 0; at < data.size();) {
    const std::size_t size = std::min<std::size_t>(1 + chance() % 200, data.size() - at);
    chunks += chunkHead(size).insert(1 + (size > 15 ? 1 : 0), ";ext=\"x\"") + data.substr(at, size) + "\r\n";
    at += size;
  }
  struct Form {
    std::string head;
    std::string body;
    Progress end;
  };
  const Form form = GENERATE_COPY(
      Form{"Content-Length: 3000\r\n", data, Progress::done},
      Form{"Transfer-Encoding: chunked\r\n", chunks + "0\r\nTrailer: x\r\n\r\n", Progress::done},
      Form{"Connection: close\r\n", data, Progress::more});
  for (int round = 0; round < 40; ++round) {
    Reader reader(Reader::Kind::answer);
    std::string in = "HTTP/1.1 200 OK\r\n" + form.head + "\r\n";
    REQUIRE(reader.readHead(in) == Progress::done);
    const Message head = reader.takeHead(in);
    Body body(head, Reader::Kind::answer, 4000);
    std::string out;
    Progress progress = Progress::more;
    for (std::size_t at = 0; at < form.body.size();) {
      const std::size_t size = std::min<std::size_t>(1 + chance() % (round + 1), form.body.size() - at);
      REQUIRE(progress == Progress::more);
      in += form.body.substr(at, size);
      at += size;
      progress = body.read(in, out);
    }
    CHECK(progress == form.end);
    CHECK(out == data);
    CHECK(body.untilClose() == (form.end == Progress::more));
  }
}

namespace {

/// What becomes of these bytes, shown in pieces of that size: the verdict, and the body read apart.
std::pair<Progress, std::string> verdict(Reader::Kind kind, const std::string& bytes, std::size_t piece) {
  Reader reader(kind, 4000);
  std::string in;
  std::string out;
  std::optional<Body> body;
  Progress progress = Progress::more;
  for (std::size_t at = 0; at < bytes.size() && progress == Progress::more; at += piece) {
    in += bytes.substr(at, piece);
    if (!body) {
      progress = reader.readHead(in);
      if (progress != Progress::done) continue;
      body.emplace(reader.takeHead(in), kind, 4000);
    }
    progress = body->read(in, out);
  }
  return {progress, out};
}

}  // namespace

TEST_CASE("spoilt messages get the same verdict in one piece and in many, and never more than the bound") {
  std::minstd_rand chance(11);
  const std::string bits[] = {"\r\n",
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
    const bool query = chance() % 2 == 0;
    std::string bytes =
        query ? (chance() % 2 == 0 ? kQuery : kChunked)
              : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n c\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (auto changes = chance() % 4; changes > 0; --changes) {
      const std::size_t at = chance() % bytes.size();
      const std::string& bit = bits[chance() % std::size(bits)];
      if (chance() % 2 == 0) bytes.erase(at, chance() % 6);
      bytes.insert(std::min(at, bytes.size()), bit);
    }
    const auto kind = query ? Reader::Kind::query : Reader::Kind::answer;
    const auto whole = verdict(kind, bytes, bytes.size());
    const auto split = verdict(kind, bytes, 1 + chance() % 9);
    CAPTURE(bytes);
    REQUIRE(split.first == whole.first);
    if (whole.first == Progress::done) REQUIRE(split.second == whole.second);
    REQUIRE(whole.second.size() <= 4000);
  }
}
