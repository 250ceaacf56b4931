#include "MemoryLog.h"

#include "amaranth/base/Invariant.h"

namespace amaranth::replication {

/// Memory that the entry takes now.
static std::size_t loadedBytesOf(const LogEntry &Entry) {
  return Entry.memoryBytes() - Entry.UnloadedBytes;
}

std::uint64_t MemoryLog::termAt(std::uint64_t Index) const {
  if (Index == BaseIndex)
    return BaseTerm;
  return at(Index)->EntryTerm.value();
}

const EntryRef &MemoryLog::at(std::uint64_t Index) const {
  AMARANTH_INVARIANT(contains(Index),
                     "the log does not contain the requested index");
  return Entries[Index - BaseIndex - 1].Entry;
}

std::uint64_t MemoryLog::endBytes(std::uint64_t Index) const {
  if (Index <= BaseIndex)
    return BaseEndBytes;
  AMARANTH_INVARIANT(contains(Index),
                     "the log does not contain the requested index");
  return Entries[Index - BaseIndex - 1].EndBytes;
}

std::size_t MemoryLog::bytesAbove(std::uint64_t Index) const {
  return endBytes(lastIndex()) - endBytes(Index);
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
  std::uint64_t End = endBytes(lastIndex()) + Entry->memoryBytes();
  LoadedBytes += loadedBytesOf(*Entry);
  Entries.push_back({std::move(Entry), End});
}

void MemoryLog::truncateFrom(std::uint64_t Index) {
  while (lastIndex() >= Index && !Entries.empty()) {
    LoadedBytes -= loadedBytesOf(*Entries.back().Entry);
    Entries.pop_back();
  }
}

void MemoryLog::compactTo(std::uint64_t Index) {
  if (Index <= BaseIndex)
    return;
  BaseTerm = termAt(Index);
  BaseEndBytes = endBytes(Index);
  for (; BaseIndex < Index; ++BaseIndex) {
    LoadedBytes -= loadedBytesOf(*Entries.front().Entry);
    Entries.pop_front();
  }
}

} // namespace amaranth::replication
