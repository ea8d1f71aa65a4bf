#include "mesh/control/agreement_store.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rackroute::mesh::agreement_store {
namespace {

using nlohmann::json;

std::string hexOf(std::uint64_t number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, number);
  return text.data();
}

json toJson(const Ballot& ballot) { return json::array({ballot.round, ballot.proposer.value}); }

Ballot ballotFrom(const json& from) {
  return {from.at(0).get<std::uint64_t>(), {from.at(1).get<std::uint64_t>()}};
}

}  // namespace

std::string promiseKey(const Ballot& ballot) {
  return std::string(kPromisePrefix) + hexOf(ballot.round) + "-" + hexOf(ballot.proposer.value);
}

std::string orderKey(std::uint64_t id) { return std::string(kOrderPrefix) + hexOf(id); }

std::string historyKey(const ItemKey& name) { return std::string(kHistoryPrefix) + textOf(name); }

std::string formatBallot(const Ballot& ballot) { return toJson(ballot).dump(); }

Ballot parseBallot(const std::string& text) { return ballotFrom(json::parse(text)); }

std::string formatPromise(const PromisedRegisters& promise) {
  json registers = json::array();
  for (const RegisterId& id : promise.registers) {
    registers.push_back(json::array({textOf(id.item), id.version.value}));
  }
  return json{{"ballot", toJson(promise.ballot)}, {"registers", std::move(registers)}}.dump();
}

PromisedRegisters parsePromise(const std::string& text) {
  const json from = json::parse(text);
  PromisedRegisters promise;
  promise.ballot = ballotFrom(from.at("ballot"));
  for (const json& entry : from.at("registers")) {
    const auto key = keyOf(entry.at(0).get<std::string>());
    if (key) promise.registers.push_back({*key, {entry.at(1).get<std::uint64_t>()}});
  }
  return promise;
}

std::string formatOrder(const AcceptedOrder& accepted) {
  // Reuses the serialized items of the messages that carried them.
  std::string text = "{\"ballot\":" + formatBallot(accepted.ballot) + ",\"items\":[";
  for (const Item& item : accepted.order->items) text += wireOf(item) + ',';
  if (text.back() == ',') text.pop_back();
  return text + "]}";
}

AcceptedOrder parseOrder(const std::string& text) {
  const json from = json::parse(text);
  std::vector<Item> items;
  for (const json& item : from.at("items")) items.push_back(itemFromJson(item));
  return {ballotFrom(from.at("ballot")), makeOrder(std::move(items))};
}

std::string formatHistory(const std::vector<DecidedVersion>& versions) {
  json list = json::array();
  for (const DecidedVersion& entry : versions) {
    list.push_back(json::array({entry.version.value, entry.hash}));
  }
  return list.dump();
}

std::vector<DecidedVersion> parseHistory(const std::string& text) {
  std::vector<DecidedVersion> versions;
  for (const json& entry : json::parse(text)) {
    versions.push_back({{entry.at(0).get<std::uint64_t>()}, entry.at(1).get<std::uint64_t>()});
  }
  return versions;
}

}  // namespace rackroute::mesh::agreement_store
