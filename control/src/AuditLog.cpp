#include "AuditLog.h"

#include "amaranth/base/Digest.h"

#include <algorithm>

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxAuditTextBytes = 160;
constexpr std::size_t MaxAuditReasonBytes = 512;

std::string operationKey(const ApplySections &Request) {
  return Request.Operator.value() + '\n' + Request.Operation.value();
}

/// Memory that the entry takes. Depends on its content only, so that all
/// processes drop the same entries.
std::size_t memoryBytes(const AuditEntry &Entry) {
  return sizeof(AuditEntry) + Entry.Actor.size() + Entry.Section.size() +
         Entry.Operation.size() + Entry.Result.size() + Entry.Reason.size();
}

} // namespace

void truncateUtf8(std::string &Text, std::size_t Max) {
  if (Text.size() <= Max)
    return;
  constexpr unsigned ContinuationMask = 0xc0;
  constexpr unsigned Continuation = 0x80;
  while (Max > 0 && (static_cast<unsigned char>(Text[Max]) &
                     ContinuationMask) == Continuation)
    --Max;
  Text.resize(Max);
}

void AuditLog::add(AuditEntry Entry) {
  for (std::string *Text : {&Entry.Actor, &Entry.Section, &Entry.Operation})
    truncateUtf8(*Text, MaxAuditTextBytes);
  truncateUtf8(Entry.Reason, MaxAuditReasonBytes);
  StoredBytes += memoryBytes(Entry);
  Entries.push_back(std::move(Entry));
  while (Entries.size() > MaxAuditEntries || StoredBytes > MaxAuditBytes) {
    StoredBytes -= memoryBytes(Entries.front());
    Entries.pop_front();
  }
}

std::vector<AuditEntry> AuditLog::newest(std::size_t Limit) const {
  std::size_t Count = std::min(Limit, Entries.size());
  return {Entries.rbegin(), Entries.rbegin() + static_cast<long>(Count)};
}

Offset<flatbuffers::Vector<Offset<wire::AuditRecord>>>
AuditLog::write(Builder &Out) const {
  std::vector<Offset<wire::AuditRecord>> List;
  List.reserve(Entries.size());
  for (const AuditEntry &Entry : Entries) {
    auto Actor = Out.CreateString(Entry.Actor);
    auto Section = Out.CreateString(Entry.Section);
    auto Operation = Out.CreateString(Entry.Operation);
    auto Result = Out.CreateString(Entry.Result);
    auto Reason = Out.CreateString(Entry.Reason);
    List.push_back(wire::CreateAuditRecord(
        Out, Entry.Index.value(), Entry.Time.count(), Actor, Section,
        Entry.OldRevision.value(), Entry.NewRevision.value(), Entry.Digest,
        Operation, Result, Reason));
  }
  return Out.CreateVector(List);
}

void AuditLog::read(const wire::ControlSnapshot &From) {
  for (const wire::AuditRecord *Item : *From.audit())
    add({base::LogIndex(Item->index()), base::WallTime(Item->time()),
         Item->actor()->str(), Item->section()->str(),
         base::Revision(Item->old_revision()),
         base::Revision(Item->new_revision()), Item->digest(),
         Item->operation()->str(), Item->result()->str(),
         Item->reason()->str()});
}

const OperationLog::Record *
OperationLog::find(const ApplySections &Request) const {
  auto It = Records.find(operationKey(Request));
  return It == Records.end() ? nullptr : &It->second;
}

void OperationLog::add(const ApplySections &Request, Record Value) {
  addKey(operationKey(Request), std::move(Value));
}

void OperationLog::addKey(std::string Key, Record Value) {
  StoredBytes += Value.Result.size();
  Order.push_back(Key);
  Records.emplace(std::move(Key), std::move(Value));
  while (Records.size() > MaxOperations ||
         StoredBytes > MaxOperationResultBytes)
    dropOldest();
}

void OperationLog::dropOldest() {
  auto It = Records.find(Order.front());
  StoredBytes -= It->second.Result.size();
  Records.erase(It);
  Order.pop_front();
}

void OperationLog::expire(base::WallTime Now) {
  while (!Order.empty() &&
         Records.at(Order.front()).Time + OperationRetention <= Now)
    dropOldest();
}

Offset<flatbuffers::Vector<Offset<wire::OperationRecord>>>
OperationLog::write(Builder &Out) const {
  std::vector<Offset<wire::OperationRecord>> List;
  for (const std::string &Key : Order) {
    const Record &Value = Records.at(Key);
    auto KeyText = Out.CreateString(Key);
    auto Result = Out.CreateVector(Value.Result);
    List.push_back(wire::CreateOperationRecord(Out, KeyText, Value.ContentHash,
                                               Value.Time.count(), Result));
  }
  return Out.CreateVector(List);
}

void OperationLog::read(const wire::ControlSnapshot &From) {
  for (const wire::OperationRecord *Item : *From.operations()) {
    if (Records.contains(Item->key()->str()))
      throw base::ProtocolError("duplicate operation in a snapshot");
    addKey(Item->key()->str(),
           {Item->content(), base::WallTime(Item->time()),
            base::Bytes(Item->result()->begin(), Item->result()->end())});
  }
}

std::uint64_t contentHash(const ApplySections &Request) {
  std::string Text;
  for (const SectionChange &Change : Request.Changes)
    Text += fmt::format("{}:{}{}:{}:{}\n", Change.Section.size(),
                        Change.Section, Change.Expected.value(),
                        Change.Body ? fmt::format("{}", Change.Body->size())
                                    : "deleted",
                        Change.Body.value_or(""));
  return base::hash64(base::asBytes(Text));
}

} // namespace amaranth::control::detail
