// rackroute-migrate OLD [-o NEW] [--dry-run] [--replace]: reads a configuration of the old shape and writes
// its counterpart for the new one. The old file is never touched; the new one is written whole or not at all.

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
using rackroute::migrate::Refused;

enum Exit { kDone = 0, kFailed = 1, kUsage = 2, kGaps = 3 };  // as docs/migration.md has them

struct Asked {
  std::string from;
  std::string to;
  bool dry = false;
  bool replace = false;
};

bool read(int count, char** words, Asked& asked) {
  for (int i = 1; i < count; ++i) {
    const std::string word = words[i];
    if (word == "--dry-run") {
      asked.dry = true;
    } else if (word == "--replace") {
      asked.replace = true;
    } else if (word == "-o" && i + 1 < count) {
      asked.to = words[++i];
    } else if (word.empty() || word[0] == '-' || !asked.from.empty()) {
      return false;
    } else {
      asked.from = word;
    }
  }
  if (asked.to.empty()) asked.to = asked.from + ".new";
  return !asked.from.empty();
}

std::string whole(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw Refused("it can't be read");
  return text.str();
}

// Guards against half a file, and against one that came to stand there meanwhile: written beside, then
// linked.
void write(const Asked& asked, const std::string& text) {
  const std::string beside = asked.to + "." + std::to_string(::getpid());
  std::ofstream file(beside, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  const bool made = file && (asked.replace ? std::rename(beside.c_str(), asked.to.c_str()) == 0
                                           : ::link(beside.c_str(), asked.to.c_str()) == 0);
  const int why = errno;
  ::unlink(beside.c_str());
  if (!made) throw Refused(asked.to + " can't be written: " + std::strerror(why));
}

}  // namespace

int main(int count, char** words) {
  Asked asked;
  if (!read(count, words, asked)) {
    std::cerr << "usage: rackroute-migrate OLD [-o NEW] [--dry-run] [--replace]\n";
    return kUsage;
  }
  try {
    const auto made = rackroute::migrate::translate(whole(asked.from));
    std::error_code none;
    if (fs::equivalent(asked.from, asked.to, none)) throw Refused("the new file would be the old one");
    if (fs::exists(asked.to) && !asked.replace)
      throw Refused(asked.to + " is there already; --replace writes over it");
    if (!asked.dry) write(asked, made.text);
    std::cout << rackroute::migrate::report(made) << (asked.dry ? "nothing written, would be " : "written ")
              << asked.to << (made.gaps() ? ", with gaps: supply what is missing\n" : "\n");
    return made.gaps() ? kGaps : kDone;
  } catch (const std::exception& error) {
    std::cerr << "rackroute-migrate: " << asked.from << ": " << error.what() << '\n';
    return kFailed;
  }
}
