#include <filesystem>

#include "migrate/translate.hpp"
#include "program.hpp"

using namespace rackroute;
using namespace rackroute::program;

namespace {

int moveFile(const std::vector<std::string>& words, std::string* said = nullptr) {
  Poco::Pipe out;
  Poco::ProcessHandle process = Poco::Process::launch(RACKROUTE_MIGRATE, words, nullptr, &out, nullptr);
  Poco::PipeInputStream stream(out);
  const std::string all{std::istreambuf_iterator<char>(stream), {}};
  if (said != nullptr) *said = all;
  return process.wait();
}

std::string text(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

void fill(std::string& form, const std::string& before, const std::string& added) {
  REQUIRE(has(form, before));
  form.insert(form.find(before), added);
}

}  // namespace

TEST_CASE("a moved file lists its gaps, is refused with them open, and serves once they are filled") {
  const Poco::TemporaryFile folder;
  std::filesystem::create_directory(folder.path());
  const std::string old = folder.path() + "/old.json";
  Sidecar sidecar(1);
  std::ofstream(old) << sidecar.form();
  std::string said;
  CHECK(moveFile({old}, &said) == 3);
  for (const char* const path : {"peers_total", "my_number", "azs", "locality"})
    CHECK(has(said, "missing  settings." + std::string(path) + ": "));
  CHECK(has(said, "missing  known.endpoints: 1 servers"));
  CHECK(has(said, "set      settings.weights: live"));
  CHECK(text(old) == sidecar.form());

  std::string form = text(old + ".new");
  Sidecar open(1);
  open.launch(form);
  CHECK(open.ended() == 1);
  CHECK(has(open.log(), "locality is needed with weights: 'live'"));

  fill(form, "\"weights\"", R"("locality":"a","peers_total":4,"my_number":2,)");
  sidecar.tell(form);
  sidecar.launch(form);
  Peer watch = accept(sidecar.discovery);
  watch.until("\r\n\r\n");
  watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk(R"({"index":1,"snapshot":true,"endpoints":[)" + entry("s-9", sidecar.servers[0]) + "]}\n"));
  std::this_thread::sleep_for(200ms);
  Peer client = sidecar.connect();
  client.say(query("read"));
  Peer server = sidecar.server();
  server.message();
  server.say(served("moved"));
  CHECK(has(client.message(), "moved"));
}

TEST_CASE("a dry run says the same and leaves the folder as it was; no file is written over unasked") {
  const Poco::TemporaryFile folder;
  std::filesystem::create_directory(folder.path());
  const std::string old = folder.path() + "/old.json";
  std::ofstream(old) << Sidecar(1).form();
  std::string dry;
  CHECK(moveFile({old, "--dry-run"}, &dry) == 3);
  CHECK(std::distance(std::filesystem::directory_iterator(folder.path()), {}) == 1);
  std::string said;
  CHECK(moveFile({old}, &said) == 3);
  CHECK(said.substr(0, said.rfind("\nwritten ")) == dry.substr(0, dry.rfind("\nnothing written")));
  CHECK(moveFile({old}) == 1);
  CHECK(moveFile({old, "--replace"}) == 3);
  CHECK(moveFile({old, "-o", old, "--replace"}) == 1);
  CHECK(moveFile({old, "-o", folder.path() + "/none/new.json"}) == 1);
  CHECK(moveFile({}) == 2);
  CHECK(std::distance(std::filesystem::directory_iterator(folder.path()), {}) == 2);
}

TEST_CASE("two locations are carried over, unknown keys are named, and what is no old file is refused") {
  const std::string rest =
      R"("listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","known":{"endpoints":[]})";
  const auto with = [&](const std::string& settings) {
    return "{" + rest + R"(,"settings":)" + settings + "}";
  };
  const auto made =
      migrate::translate(with(R"({"azs":["a","b"],"locality":"b","bounds":{"max_executions":2}})"));
  CHECK(has(made.text, "\"locality\": \"b\""));
  CHECK(has(made.text, "\"max_executions\": 2"));
  CHECK(has(migrate::report(migrate::translate("{\"extra\":1," + rest + R"(,"settings":{}})")),
            "missing  extra: "));
  for (const std::string& bad :
       {std::string("listen"), std::string("[]"), std::string("{}"), "{" + rest + "}", with("1"),
        with(R"({"weights":"live"})"), with(R"({"weights":"heavy"})")})
    CHECK_THROWS_AS(migrate::translate(bad), migrate::Refused);
}
