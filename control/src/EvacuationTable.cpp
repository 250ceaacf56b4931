#include "EvacuationTable.h"

#include "CommandResults.h"
#include "amaranth/document/Document.h"

#include <algorithm>
#include <utility>

namespace amaranth::control::detail {

CommandResult EvacuationTable::set(const SetEvacuation &Request,
                                   base::LogIndex Index, base::WallTime Now,
                                   bool &Changed) {
  if (!document::isValidName(Request.Zone.value()))
    return makeResult(ResultCode::Invalid, "the zone's name is not valid");
  if (!isKnown(Request, Now))
    return makeResult(
        ResultCode::Invalid,
        fmt::format("no endpoint or control process is in zone {}",
                    Request.Zone.value()));
  if (!Records.contains(Request.Zone) && Records.size() >= MaxZones)
    return makeResult(ResultCode::Busy, "the table of zones is full");
  Record &Zone = Records.try_emplace(Request.Zone, Record{Now}).first->second;
  if (Zone.Evacuated == Request.Active)
    return makeResult(ResultCode::Accepted, "ordered before");
  // The opposite order was committed while this one was under way, so this one
  // counts as the earlier of the two.
  if (Zone.Index > Request.Seen)
    return makeResult(ResultCode::Accepted,
                      fmt::format("no effect: {} ordered the opposite "
                                  "meanwhile",
                                  Zone.Operator.value()));
  if (Zone.EarlierOperator == Request.Operator &&
      Zone.Operator != Request.Operator &&
      Now - Zone.EarlierTime < EvacuationResendWindow)
    return makeResult(ResultCode::Accepted,
                      fmt::format("no effect: ordered before, and {} ordered "
                                  "the opposite since",
                                  Zone.Operator.value()));
  Zone.Evacuated = Request.Active;
  Zone.Index = Index;
  Zone.EarlierOperator = std::exchange(Zone.Operator, Request.Operator);
  Zone.EarlierTime = std::exchange(Zone.Time, Now);
  Changed = true;
  return makeResult(ResultCode::Accepted);
}

bool EvacuationTable::isKnown(const SetEvacuation &Request,
                              base::WallTime Now) const {
  if (Request.ZoneKnown || Records.empty() || Records.contains(Request.Zone))
    return true;
  auto First = std::min_element(
      Records.begin(), Records.end(), [](const auto &Left, const auto &Right) {
        return Left.second.FirstNamed < Right.second.FirstNamed;
      });
  return Now - First->second.FirstNamed < ZoneDiscoveryTime;
}

void EvacuationTable::recordZone(const base::AvailabilityZone &Zone,
                                 base::WallTime Now) {
  if (!Zone.value().empty() && Records.size() < MaxZones)
    Records.try_emplace(Zone, Record{Now});
}

std::vector<Evacuation> EvacuationTable::evacuations() const {
  std::vector<Evacuation> Result;
  for (const auto &[Zone, Entry] : Records)
    if (Entry.Evacuated)
      Result.push_back({Zone, Entry.Operator, Entry.Time});
  return Result;
}

Offset<flatbuffers::Vector<Offset<wire::ZoneRecord>>>
EvacuationTable::write(Builder &Out) const {
  std::vector<Offset<wire::ZoneRecord>> List;
  for (const auto &[Name, Entry] : Records) {
    auto Zone = writeString(Out, Name);
    auto Operator = writeString(Out, Entry.Operator);
    auto Earlier = writeString(Out, Entry.EarlierOperator);
    List.push_back(wire::CreateZoneRecord(Out, Zone, Entry.FirstNamed.count(),
                                          Entry.Evacuated, Entry.Index.value(),
                                          Operator, Entry.Time.count(), Earlier,
                                          Entry.EarlierTime.count()));
  }
  // A state without zones is encoded as by earlier versions.
  return List.empty() ? 0 : Out.CreateVector(List);
}

void EvacuationTable::read(const wire::ControlSnapshot &From) {
  // A snapshot of an earlier version has the zones in its endpoints only.
  for (const wire::EndpointRecord *Item : *From.endpoints())
    recordZone(
        base::AvailabilityZone(Item->entry()->availability_zone()->str()),
        base::WallTime(0));
  if (!From.zones())
    return;
  auto Text = [](const flatbuffers::String *Value) {
    return Value ? Value->str() : std::string();
  };
  Records.clear();
  for (const wire::ZoneRecord *Item : *From.zones())
    Records[base::AvailabilityZone(Item->zone()->str())] = {
        base::WallTime(Item->first_named()),
        Item->evacuated(),
        base::LogIndex(Item->index()),
        base::OperatorName(Text(Item->operator_name())),
        base::WallTime(Item->time()),
        base::OperatorName(Text(Item->earlier_operator())),
        base::WallTime(Item->earlier_time())};
}

} // namespace amaranth::control::detail
