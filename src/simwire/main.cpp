// Runs one simulator session over standard input and output.

#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simwire/session.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  rackroute::simwire::Session session;
  std::string line;
  std::size_t number = 0;
  try {
    while (std::getline(std::cin, line)) {
      ++number;
      if (session.read(line)) std::cout << session.takeReply() << std::flush;
    }
    if (!session.betweenBatches()) throw rackroute::simwire::MalformedValue("input ends within a batch");
  } catch (const std::exception& error) {
    std::cerr << "line " << number << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}
