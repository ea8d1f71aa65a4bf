#include "mesh/control/messages.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <type_traits>

#include "mesh/control/message_layout.hpp"
#include "mesh/control/message_reader.hpp"
#include "mesh/control/message_writer.hpp"

namespace rackroute::mesh {
namespace {

using codec::Layout;
using codec::Reader;
using codec::Writer;
using nlohmann::json;

/// Limits the work per message to a few milliseconds on a slow machine, so that the receiver is not blocked.
constexpr std::size_t kItemsPerMessage = 150;

/// Server updates, which list the replaced servers separately.
template <class T>
concept CarriesServers = requires(T update) {
  update.servers;
  update.replaced;
};

template <CarriesServers T>
T withReplacedIds(T update) {
  for (const ServerStatus& status : update.servers) {
    if (status.served.replaced) update.replaced.push_back(status.served.id);
  }
  return update;
}

template <CarriesServers T>
void markReplaced(T& update) {
  for (ServerStatus& status : update.servers) {
    const auto& replaced = update.replaced;
    if (std::find(replaced.begin(), replaced.end(), status.served.id) == replaced.end()) continue;
    status.served.replaced = true;
    status.served.gone = false;
  }
  update.replaced.clear();
}

template <class T>
void put(const T& message, Writer& writer) {
  if constexpr (CarriesServers<T>) {
    writer.put(withReplacedIds(message));
  } else {
    writer.put(message);
  }
}

template <class T>
Message read(const json& text) {
  T message;
  Reader::get(text, message);
  if constexpr (CarriesServers<T>) markReplaced(message);
  return message;
}

struct Kind {
  std::string_view name;
  Message (*read)(const json& text);
};

template <class... T>
constexpr auto kindsOf(std::type_identity<std::variant<T...>>) {
  return std::array<Kind, sizeof...(T)>{Kind{Layout<T>::kind, &read<T>}...};
}
/// In the order of the alternatives of Message.
constexpr auto kKinds = kindsOf(std::type_identity<Message>{});

}  // namespace

std::string encode(const Message& message) {
  Writer writer;
  std::visit([&](const auto& each) { put(each, writer); }, message);
  return writer.take();
}

Result<Message> decode(const json& text) {
  if (!text.is_object()) return failure("message", "is not an object");
  const auto name = text.find("t");
  if (name == text.end() || !name->is_string()) return failure("message", "has no kind");
  const auto& kindName = name->get_ref<const std::string&>();
  const auto kind =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const Kind& each) { return each.name == kindName; });
  if (kind == kKinds.end()) return failure("message", "has an unknown kind");
  // Malformed input from a corrupt or foreign process is rejected as a whole.
  try {
    return kind->read(text);
  } catch (const json::exception& error) {
    return failure("message", kindName + ": " + error.what());
  }
}

std::vector<std::shared_ptr<const std::string>> itemsReplies(const ItemsReply& head,
                                                             const std::vector<Item>& items) {
  const std::size_t parts =
      std::max<std::size_t>(1, (items.size() + kItemsPerMessage - 1) / kItemsPerMessage);
  std::vector<std::shared_ptr<const std::string>> texts;
  texts.reserve(parts);
  ItemsReply reply = head;
  reply.items.clear();
  reply.parts = parts;
  for (std::size_t part = 0; part < parts; ++part) {
    reply.part = part;
    const std::size_t first = part * kItemsPerMessage;
    const std::size_t count = std::min(kItemsPerMessage, items.size() - first);
    Writer writer;
    writer.put(reply);
    writer.removeSuffix("[]}");
    writer.putList(std::span<const Item>(items).subspan(first, count));
    writer.append("}");
    texts.push_back(std::make_shared<const std::string>(writer.take()));
  }
  return texts;
}

std::string_view kindOf(const Message& message) { return kKinds[message.index()].name; }

json toJson(const VoterSet& set) {
  Writer writer;
  writer.put(set);
  return json::parse(writer.take());
}

VoterSet voterSetFrom(const json& from) {
  VoterSet set;
  Reader::get(from, set);
  return set;
}

}  // namespace rackroute::mesh
