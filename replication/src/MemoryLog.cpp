#include "MemoryLog.h"

#include "amaranth/base/Invariant.h"

namespace amaranth::replication {

std::uint64_t MemoryLog::termAt(std::uint64_t Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  return at(Index)->EntryTerm.value();
}

const EntryRef &MemoryLog::at(std::uint64_t Index) const {
  AMARANTH_INVARIANT(contains(Index),
                     "the log does not contain the requested index");
  return Entries[Index - BaseIndex - 1];
}

std::uint64_t MemoryLog::firstIndexOfTerm(std::uint64_t Index) const {
  std::uint64_t Term = termAt(Index);
  while (Index > BaseIndex + 1 && termAt(Index - 1) == Term)
    --Index;
  return Index;
}

void MemoryLog::append(EntryRef Entry) {
  AMARANTH_INVARIANT(Entry->Index.value() == lastIndex() + 1,
                     "the index of an appended entry follows the last index");
  AMARANTH_INVARIANT(Entry->EntryTerm.value() >= lastTerm(),
                     "terms never decrease along the log");
  Entries.push_back(std::move(Entry));
}

void MemoryLog::truncateFrom(std::uint64_t Index) {
  while (lastIndex() >= Index && !Entries.empty())
    Entries.pop_back();
}

void MemoryLog::compactTo(std::uint64_t Index) {
  if (Index <= BaseIndex)
    return;
  BaseTerm = termAt(Index);
  Entries.erase(Entries.begin(), Entries.begin() + static_cast<std::ptrdiff_t>(
                                                       Index - BaseIndex));
  BaseIndex = Index;
}

} // namespace amaranth::replication
