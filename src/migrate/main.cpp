// rackroute-migrate OLD [-o NEW] [--dry-run] [--replace]: translates a configuration of the old deployment
// model into the new one. The old file is not modified; the new one is written completely or not at all.

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "migrate/translate.hpp"

namespace {

namespace fs = std::filesystem;
using rackroute::migrate::TranslationError;

enum Exit { kDone = 0, kFailed = 1, kUsage = 2, kGaps = 3 };  // documented exit codes

struct Options {
  std::string input;
  std::string output;
  bool dryRun = false;
  bool replace = false;
};

bool parseOptions(int count, char** arguments, Options& options) {
  for (int i = 1; i < count; ++i) {
    const std::string argument = arguments[i];
    if (argument == "--dry-run") {
      options.dryRun = true;
    } else if (argument == "--replace") {
      options.replace = true;
    } else if (argument == "-o" && i + 1 < count) {
      options.output = arguments[++i];
    } else if (argument.empty() || argument[0] == '-' || !options.input.empty()) {
      return false;
    } else {
      options.input = argument;
    }
  }
  if (options.output.empty()) options.output = options.input + ".new";
  return !options.input.empty();
}

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw TranslationError("cannot read the file");
  return text.str();
}

// Writes a temporary file first, so that the output is never partial. Linking it fails if the output has been
// created in the meantime.
void write(const Options& options, const std::string& text) {
  const std::string temporary = options.output + "." + std::to_string(::getpid());
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  const bool result = file && (options.replace ? std::rename(temporary.c_str(), options.output.c_str()) == 0
                                               : ::link(temporary.c_str(), options.output.c_str()) == 0);
  const int error = errno;
  ::unlink(temporary.c_str());
  if (!result) throw TranslationError(options.output + " cannot be written: " + std::strerror(error));
}

}  // namespace

int main(int count, char** arguments) {
  Options options;
  if (!parseOptions(count, arguments, options)) {
    std::cerr << "usage: rackroute-migrate OLD [-o NEW] [--dry-run] [--replace]\n";
    return kUsage;
  }
  try {
    const auto result = rackroute::migrate::translate(readFile(options.input));
    std::error_code none;
    if (fs::equivalent(options.input, options.output, none))
      throw TranslationError("output is the same file as the input");
    if (fs::exists(options.output) && !options.replace)
      throw TranslationError(options.output + " already exists; use --replace to overwrite it");
    if (!options.dryRun) write(options, result.text);
    std::cout << rackroute::migrate::report(result)
              << (options.dryRun ? "nothing written, would write " : "written ") << options.output
              << (result.hasMissing() ? ", incomplete: supply the missing values\n" : "\n");
    return result.hasMissing() ? kGaps : kDone;
  } catch (const std::exception& error) {
    std::cerr << "rackroute-migrate: " << options.input << ": " << error.what() << '\n';
    return kFailed;
  }
}
