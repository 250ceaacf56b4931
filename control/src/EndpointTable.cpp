#include "EndpointTable.h"

#include "CommandResults.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/document/Document.h"

#include <utility>

namespace amaranth::control::detail {

namespace {

constexpr std::uint32_t MaxSlots = 100'000;
constexpr std::size_t MaxIdBytes = 128;

using EndpointOrder = std::pair<std::uint64_t, std::uint64_t>;

EndpointOrder orderOf(const document::Endpoint &Entry) {
  return {Entry.Incarnation, Entry.Sequence};
}

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdBytes;
}

bool isWellFormed(const document::Endpoint &Entry) {
  return isId(Entry.Id.value()) && isId(Entry.Node.value()) &&
         isId(Entry.NodeAddress.Ip) &&
         document::isValidName(Entry.Service.value()) &&
         document::isValidName(Entry.Version.value()) &&
         Entry.Zone.value().size() <= MaxIdBytes && Entry.Slots > 0 &&
         Entry.Slots <= MaxSlots;
}

bool isUnreachable(const EndpointTable::Record &Value) {
  return Value.Entry.State == document::EndpointState::Unreachable;
}

} // namespace

CommandResult EndpointTable::put(const PutEndpoint &Request, bool &Changed) {
  const document::Endpoint &Entry = Request.Entry;
  if (!isWellFormed(Entry))
    return makeResult(
        ResultCode::Invalid,
        "an endpoint requires ids, an address, a service, a version "
        "and 1 to 100000 slots");
  auto It = Records.find(Entry.Id);
  if (It != Records.end() && orderOf(Entry) < orderOf(It->second.Entry))
    return makeResult(ResultCode::Conflict,
                      "a newer state of the endpoint is already stored");
  if (It != Records.end() && It->second.Entry.Node != Entry.Node &&
      !isUnreachable(It->second))
    return makeResult(ResultCode::Forbidden, "the endpoint belongs to node '" +
                                                 It->second.Entry.Node.value() +
                                                 "'");
  // A late announcement of a process that has left can reach a node that has
  // restarted and does not remember the departure.
  if (It != Records.end() && It->second.Entry.UpstreamLeft &&
      !Entry.UpstreamLeft &&
      Entry.UpstreamIncarnation <= It->second.Entry.UpstreamIncarnation)
    return makeResult(ResultCode::Conflict,
                      "the upstream process has already left");
  if (It == Records.end()) {
    if (Records.size() >= MaxEndpoints && !evictOldestUnreachable())
      return makeResult(ResultCode::Busy, "the endpoint table is full");
    It = Records.try_emplace(Entry.Id).first;
  }
  AMARANTH_INVARIANT(orderOf(It->second.Entry) <= orderOf(Entry),
                     "endpoint reverted to an older state");
  Changed = !(It->second.Entry == Entry);
  It->second = {Entry, base::WallTime()};
  return makeResult(ResultCode::Accepted);
}

CommandResult EndpointTable::expire(const ExpireEndpoints &Request,
                                    base::WallTime Now, bool &Changed) {
  for (const ExpireEndpoints::Item &Item : Request.Items) {
    auto It = Records.find(Item.Id);
    if (It == Records.end() || isUnreachable(It->second) ||
        orderOf(It->second.Entry) >
            EndpointOrder(Item.Incarnation, Item.Sequence))
      continue;
    It->second.Entry.State = document::EndpointState::Unreachable;
    It->second.ExpiredAt = Now;
    Changed = true;
  }
  return makeResult(ResultCode::Accepted);
}

document::Endpoint EndpointTable::visible(const Record &Value) {
  document::Endpoint Entry = Value.Entry;
  // Nodes try unreachable endpoints when no other one is left.
  if (Entry.UpstreamLeft && isUnreachable(Value))
    Entry.State = document::EndpointState::Draining;
  Entry.UpstreamIncarnation = 0;
  Entry.UpstreamLeft = false;
  return Entry;
}

bool EndpointTable::removeExpired(base::WallTime Now) {
  return std::erase_if(Records, [Now](const auto &Item) {
           return isUnreachable(Item.second) &&
                  Item.second.ExpiredAt + UnreachableRetention <= Now;
         }) != 0;
}

bool EndpointTable::evictOldestUnreachable() {
  auto Oldest = Records.end();
  for (auto It = Records.begin(); It != Records.end(); ++It)
    if (isUnreachable(It->second) &&
        (Oldest == Records.end() ||
         It->second.ExpiredAt < Oldest->second.ExpiredAt))
      Oldest = It;
  if (Oldest == Records.end())
    return false;
  Records.erase(Oldest);
  return true;
}

Offset<flatbuffers::Vector<Offset<wire::EndpointRecord>>>
EndpointTable::write(Builder &Out) const {
  std::vector<Offset<wire::EndpointRecord>> List;
  for (const auto &[Id, Value] : Records) {
    auto Entry = writeEndpoint(Out, Value.Entry);
    List.push_back(
        wire::CreateEndpointRecord(Out, Entry, Value.ExpiredAt.count()));
  }
  return Out.CreateVector(List);
}

void EndpointTable::read(const wire::ControlSnapshot &From) {
  for (const wire::EndpointRecord *Item : *From.endpoints()) {
    document::Endpoint Entry = readEndpoint(*Item->entry());
    if (!isWellFormed(Entry))
      throw base::ProtocolError("malformed endpoint in a snapshot");
    base::EndpointId Id = Entry.Id;
    Records[Id] = {std::move(Entry), base::WallTime(Item->expired_at())};
  }
}

} // namespace amaranth::control::detail
