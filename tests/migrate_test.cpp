#include <filesystem>

#include "migrate/translate.hpp"
#include "program.hpp"

using namespace rackroute;
using namespace rackroute::program;

namespace {

int moveFile(const std::vector<std::string>& words, std::string& said) {
  Poco::Pipe out;
  Poco::ProcessHandle process = Poco::Process::launch(RACKROUTE_MIGRATE, words, nullptr, &out, &out);
  Poco::PipeInputStream stream(out);
  said.assign(std::istreambuf_iterator<char>(stream), {});
  return process.wait();
}

std::string text(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("a moved file lists its gaps, is refused while they are open, and serves once they are filled") {
  const Poco::TemporaryFile folder;
  std::filesystem::create_directory(folder.path());
  const std::string old = folder.path() + "/old.json";
  Sidecar sidecar(1);
  std::ofstream(old) << sidecar.form();
  const auto files = [&] { return std::distance(std::filesystem::directory_iterator(folder.path()), {}); };
  std::string dry;
  CHECK(moveFile({old, "--dry-run"}, dry) == 3);
  CHECK(files() == 1);
  std::string said;
  CHECK(moveFile({old}, said) == 3);
  CHECK(said.substr(0, said.rfind("\nwritten ")) == dry.substr(0, dry.rfind("\nnothing written")));
  for (const char* const path :
       {"settings.peers_total", "settings.my_number", "settings.azs", "settings.locality", "known.endpoints"})
    CHECK(has(said, "missing  " + std::string(path) + ": "));
  for (const std::vector<std::string>& words :
       {std::vector<std::string>{old}, {old, "-o", old, "--replace"}, {old, "-o", old + "/none"}})
    CHECK(moveFile(words, said) == 1);
  CHECK(moveFile({old, "--replace"}, said) == 3);
  CHECK(files() == 2);
  CHECK(text(old) == sidecar.form());

  std::string form = text(old + ".new");
  Sidecar open(1);
  open.launch(form);
  CHECK(open.ended() == 1);
  CHECK(has(open.log(), "locality is needed with weights: 'live'"));
  form.insert(form.find("\"weights\""), R"("locality":"a","peers_total":4,"my_number":2,)");
  form.insert(form.find("[", form.find("endpoints")) + 1, entry("s-9", sidecar.servers[0]));
  Peer client = sidecar.start(form).connect();
  client.say(query("read"));
  Peer server = sidecar.server();
  server.message();
  server.say(served("moved"));
  CHECK(has(client.message(), "moved"));
}

TEST_CASE("two locations are carried over, unknown keys are named, and what is no old file is refused") {
  const std::string rest = R"({"listen":"h:1","discovery":"h:2","seed":"1","known":{"endpoints":[]},"odd":1)";
  const auto with = [&](const std::string& settings) { return rest + R"(,"settings":)" + settings + "}"; };
  const auto made = migrate::translate(with(R"({"azs":["a","b"],"locality":"b"})"));
  CHECK(has(made.text, "\"locality\": \"b\""));
  CHECK(has(migrate::report(made), "missing  odd: "));
  for (const std::string& bad : {std::string("listen"), std::string("[]"), rest + "}", with("1"),
                                 with(R"({"weights":"live"})"), with(R"({"weights":"heavy"})")})
    CHECK_THROWS_AS(migrate::translate(bad), migrate::Refused);
}
