#pragma once

// JSON layout of each type sent over the wire: field names for objects, member order for arrays. Used by the
// message codec only.

#include <concepts>
#include <tuple>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh::codec {

template <class Owner, class Member>
struct Field {
  const char* name;
  Member Owner::*member;
  bool required = true;
};
template <class Owner, class Member>
constexpr Field<Owner, Member> field(const char* name, Member Owner::*member) {
  return {name, member};
}

/// An optional field, which earlier versions do not send; it keeps its default value when missing.
template <class Owner, class Member>
constexpr Field<Owner, Member> optionalField(const char* name, Member Owner::*member) {
  return {name, member, false};
}

/// Objects define `fields`, and messages also `kind`. Arrays define `elements`, their members in order.
template <class T>
struct Layout;

template <>
struct Layout<VoterId> {
  static constexpr auto elements = std::make_tuple(&VoterId::at, &VoterId::incarnation);
};
template <>
struct Layout<VoterSet> {
  static constexpr auto fields =
      std::make_tuple(field("epoch", &VoterSet::epoch), field("voters", &VoterSet::voters),
                      field("readers", &VoterSet::readers), field("before", &VoterSet::previousSize),
                      field("founders", &VoterSet::foundingSize));
};
template <>
struct Layout<Ballot> {
  static constexpr auto elements = std::make_tuple(&Ballot::round, &Ballot::proposer);
};
template <>
struct Layout<RegisterId> {
  static constexpr auto elements = std::make_tuple(&RegisterId::item, &RegisterId::version);
};
template <>
struct Layout<AcceptedOrder> {
  static constexpr auto elements = std::make_tuple(&AcceptedOrder::ballot, &AcceptedOrder::order);
};
template <>
struct Layout<DecidedRegister> {
  static constexpr auto elements = std::make_tuple(&DecidedRegister::id, &DecidedRegister::hash);
};
template <>
struct Layout<Holder> {
  static constexpr auto elements = std::make_tuple(&Holder::at, &Holder::life, &Holder::no);
};
template <>
struct Layout<Vote> {
  static constexpr auto elements = std::make_tuple(&Vote::claim, &Vote::holder);
};

template <>
struct Layout<Hello> {
  static constexpr const char* kind = "hello";
  static constexpr auto fields = std::make_tuple(
      field("format", &Hello::format), field("control", &Hello::control), field("node", &Hello::node),
      field("life", &Hello::life), field("at", &Hello::at), field("inc", &Hello::incarnation),
      field("founder", &Hello::founder), field("holds", &Hello::holdsState));
};
template <>
struct Layout<Welcome> {
  static constexpr const char* kind = "welcome";
  static constexpr auto fields = std::make_tuple(
      field("format", &Welcome::format), field("self", &Welcome::self), field("founder", &Welcome::founder),
      field("holds", &Welcome::holdsState), field("zone", &Welcome::zone),
      field("controls", &Welcome::controls), field("voters", &Welcome::voters),
      field("life", &Welcome::highestLife), optionalField("own_life", &Welcome::life));
};
template <>
struct Layout<Heartbeat> {
  static constexpr const char* kind = "beat";
  static constexpr auto fields = std::make_tuple(
      field("seq", &Heartbeat::sequence), field("echo", &Heartbeat::echo), field("epoch", &Heartbeat::epoch),
      field("digest", &Heartbeat::digest), field("holds", &Heartbeat::holdsState),
      field("settled", &Heartbeat::settled), field("members", &Heartbeat::members));
};
template <>
struct Layout<ControlAddresses> {
  static constexpr const char* kind = "controls";
  static constexpr auto fields = std::make_tuple(field("list", &ControlAddresses::list));
};
template <>
struct Layout<VotersUpdate> {
  static constexpr const char* kind = "voters";
  static constexpr auto fields = std::make_tuple(field("set", &VotersUpdate::voters));
};
template <>
struct Layout<Prepare> {
  static constexpr const char* kind = "prepare";
  static constexpr auto fields = std::make_tuple(
      field("ballot", &Prepare::ballot), field("epoch", &Prepare::epoch), field("list", &Prepare::registers));
};
template <>
struct Layout<PrepareReply> {
  static constexpr const char* kind = "prepared";
  static constexpr auto fields = std::make_tuple(
      field("ballot", &PrepareReply::ballot), field("epoch", &PrepareReply::epoch),
      field("voter", &PrepareReply::voter), field("granted", &PrepareReply::granted),
      field("promised", &PrepareReply::promised), field("accepted", &PrepareReply::accepted),
      field("decided", &PrepareReply::decided), field("standing", &PrepareReply::currentItems));
};
template <>
struct Layout<Accept> {
  static constexpr const char* kind = "accept";
  static constexpr auto fields =
      std::make_tuple(field("ballot", &Accept::ballot), field("epoch", &Accept::epoch),
                      field("order", &Accept::order), optionalField("decided", &Accept::mayBeDecided));
};
template <>
struct Layout<AcceptReply> {
  static constexpr const char* kind = "accepted";
  static constexpr auto fields =
      std::make_tuple(field("ballot", &AcceptReply::ballot), field("epoch", &AcceptReply::epoch),
                      field("voter", &AcceptReply::voter), field("granted", &AcceptReply::granted),
                      field("promised", &AcceptReply::promised), field("decided", &AcceptReply::decided),
                      field("standing", &AcceptReply::currentItems));
};
template <>
struct Layout<Decided> {
  static constexpr const char* kind = "decided";
  static constexpr auto fields =
      std::make_tuple(field("order", &Decided::order), optionalField("later", &Decided::later));
};
template <>
struct Layout<ItemsRequest> {
  static constexpr const char* kind = "want";
  static constexpr auto fields =
      std::make_tuple(field("versions", &ItemsRequest::versions), field("read", &ItemsRequest::read),
                      field("confirmed", &ItemsRequest::confirmed));
};
template <>
struct Layout<ItemsReply> {
  static constexpr const char* kind = "items";
  // The list must come last because itemsReplies() appends it after the other fields.
  static constexpr auto fields =
      std::make_tuple(field("part", &ItemsReply::part), field("parts", &ItemsReply::parts),
                      field("read", &ItemsReply::read), field("holds", &ItemsReply::holdsState),
                      field("confirmed", &ItemsReply::confirmed), field("list", &ItemsReply::items));
};
template <>
struct Layout<ReadRequest> {
  static constexpr const char* kind = "read";
  static constexpr auto fields =
      std::make_tuple(field("read", &ReadRequest::read), field("epoch", &ReadRequest::epoch));
};
template <>
struct Layout<ReadReply> {
  static constexpr const char* kind = "reading";
  static constexpr auto fields = std::make_tuple(
      field("read", &ReadReply::read), field("epoch", &ReadReply::epoch), field("voter", &ReadReply::voter),
      field("digest", &ReadReply::digest), field("accepted", &ReadReply::accepted));
};
template <>
struct Layout<RegistryUpdate> {
  static constexpr const char* kind = "roster";
  static constexpr auto fields =
      std::make_tuple(field("nodes", &RegistryUpdate::nodes), field("list", &RegistryUpdate::servers),
                      optionalField("replaced", &RegistryUpdate::replaced));
};
template <>
struct Layout<ServersUpdate> {
  static constexpr const char* kind = "servers";
  static constexpr auto fields = std::make_tuple(
      field("list", &ServersUpdate::servers), optionalField("replaced", &ServersUpdate::replaced),
      optionalField("record", &ServersUpdate::record), optionalField("recorded", &ServersUpdate::recorded));
};
template <>
struct Layout<Subscribe> {
  static constexpr const char* kind = "follow";
  static constexpr auto fields = std::make_tuple(field("list", &Subscribe::services));
};
template <>
struct Layout<ClaimRequest> {
  static constexpr const char* kind = "claim";
  static constexpr auto fields =
      std::make_tuple(field("epoch", &ClaimRequest::epoch), field("at", &ClaimRequest::at),
                      field("list", &ClaimRequest::claims));
};
template <>
struct Layout<ReleaseRequest> {
  static constexpr const char* kind = "release";
  static constexpr auto fields =
      std::make_tuple(field("at", &ReleaseRequest::at), field("list", &ReleaseRequest::claims));
};
template <>
struct Layout<Votes> {
  static constexpr const char* kind = "votes";
  static constexpr auto fields = std::make_tuple(field("epoch", &Votes::epoch), field("voter", &Votes::voter),
                                                 field("list", &Votes::votes));
};
template <>
struct Layout<SnapshotRequest> {
  static constexpr const char* kind = "snapshot";
  static constexpr auto fields = std::make_tuple(field("epoch", &SnapshotRequest::epoch));
};
template <>
struct Layout<SnapshotPart> {
  static constexpr const char* kind = "state";
  static constexpr auto fields =
      std::make_tuple(field("epoch", &SnapshotPart::epoch), field("voter", &SnapshotPart::voter),
                      field("part", &SnapshotPart::part), field("last", &SnapshotPart::last),
                      field("promises", &SnapshotPart::promises), field("accepted", &SnapshotPart::accepted),
                      field("decided", &SnapshotPart::decided));
};

template <class T>
concept ObjectLayout = requires {
  Layout<T>::fields;
};
template <class T>
concept ArrayLayout = requires {
  Layout<T>::elements;
};

}  // namespace rackroute::mesh::codec
