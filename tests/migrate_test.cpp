#include <filesystem>

#include "migrate/translate.hpp"
#include "sidecar_process.hpp"

using namespace rackroute;
using namespace rackroute::program;

namespace {

int runMigrate(const std::vector<std::string>& arguments, std::string& output) {
  Poco::Pipe out;
  Poco::ProcessHandle process = Poco::Process::launch(RACKROUTE_MIGRATE, arguments, nullptr, &out, &out);
  Poco::PipeInputStream stream(out);
  output.assign(std::istreambuf_iterator<char>(stream), {});
  return process.wait();
}

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("a migrated file lists missing values, is rejected until they are supplied, and then serves") {
  const Poco::TemporaryFile directory;
  std::filesystem::create_directory(directory.path());
  const std::string old = directory.path() + "/old.json";
  Sidecar sidecar(1);
  std::ofstream(old) << sidecar.configuration();
  const auto fileCount = [&] {
    return std::distance(std::filesystem::directory_iterator(directory.path()), {});
  };
  std::string dryRun;
  CHECK(runMigrate({old, "--dry-run"}, dryRun) == 3);
  CHECK(fileCount() == 1);
  std::string output;
  CHECK(runMigrate({old}, output) == 3);
  CHECK(output.substr(0, output.rfind("\nwritten ")) == dryRun.substr(0, dryRun.rfind("\nnothing written")));
  for (const char* const path :
       {"settings.peers_total", "settings.my_number", "settings.azs", "settings.locality", "known.endpoints"})
    CHECK(has(output, "missing  " + std::string(path) + ": "));
  for (const std::vector<std::string>& arguments :
       {std::vector<std::string>{old}, {old, "-o", old, "--replace"}, {old, "-o", old + "/none"}})
    CHECK(runMigrate(arguments, output) == 1);
  CHECK(runMigrate({old, "--replace"}, output) == 3);
  CHECK(fileCount() == 2);
  CHECK(readFile(old) == sidecar.configuration());

  std::string config = readFile(old + ".new");
  Sidecar incomplete(1);
  incomplete.launch(config);
  CHECK(incomplete.waitForExit() == 1);
  CHECK(has(incomplete.log(), "locality is needed with weights: 'live'"));
  config.insert(config.find("\"weights\""), R"("locality":"a","peers_total":4,"my_number":2,)");
  config.insert(config.find("[", config.find("endpoints")) + 1, endpointEntry("s-9", sidecar.servers[0]));
  Peer client = sidecar.start(config).connect();
  client.send(query("read"));
  Peer server = sidecar.acceptServer();
  server.readMessage();
  server.send(okResponse("moved"));
  CHECK(has(client.readMessage(), "moved"));
}

TEST_CASE("two locations are carried over, unknown keys are reported, and invalid input is rejected") {
  const std::string rest = R"({"listen":"h:1","discovery":"h:2","seed":"1","known":{"endpoints":[]},"odd":1)";
  const auto with = [&](const std::string& settings) { return rest + R"(,"settings":)" + settings + "}"; };
  const auto translation = migrate::translate(with(R"({"azs":["a","b"],"locality":"b"})"));
  CHECK(has(translation.text, "\"locality\": \"b\""));
  CHECK(has(migrate::report(translation), "missing  odd: "));
  for (const std::string& bad : {std::string("listen"), std::string("[]"), rest + "}", with("1"),
                                 with(R"({"weights":"live"})"), with(R"({"weights":"heavy"})")})
    CHECK_THROWS_AS(migrate::translate(bad), migrate::TranslationError);
}
