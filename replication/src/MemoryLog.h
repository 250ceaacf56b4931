#ifndef AMARANTH_REPLICATION_MEMORYLOG_H
#define AMARANTH_REPLICATION_MEMORYLOG_H

#include "amaranth/replication/Storage.h"

#include <deque>

namespace amaranth::replication {

/// The part of the log above a base entry, in memory.
class MemoryLog {
public:
  MemoryLog() = default;
  MemoryLog(std::uint64_t Base, std::uint64_t BaseTerm)
      : BaseIndex(Base), BaseTerm(BaseTerm) {}

  std::uint64_t baseIndex() const { return BaseIndex; }
  std::uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  std::uint64_t lastTerm() const { return termAt(lastIndex()); }
  bool contains(std::uint64_t Index) const {
    return Index > BaseIndex && Index <= lastIndex();
  }
  /// `Index` between `baseIndex` and `lastIndex`.
  std::uint64_t termAt(std::uint64_t Index) const;
  /// `Index` must be held.
  const EntryRef &at(std::uint64_t Index) const;
  /// First index of the run of entries with the term of `Index`.
  std::uint64_t firstIndexOfTerm(std::uint64_t Index) const;

  /// `Entry` must continue the log.
  void append(EntryRef Entry);
  void truncateFrom(std::uint64_t Index);
  /// Makes `Index` the base.
  void compactTo(std::uint64_t Index);

private:
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<EntryRef> Entries;
};

} // namespace amaranth::replication

#endif
