#ifndef AMARANTH_REPLICATION_MEMORYLOG_H
#define AMARANTH_REPLICATION_MEMORYLOG_H

#include "amaranth/replication/Storage.h"

#include <deque>

namespace amaranth::replication {

/// The in-memory part of the log: all entries above the base entry.
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
  /// `Index` must be between `baseIndex` and `lastIndex`, inclusive.
  std::uint64_t termAt(std::uint64_t Index) const;
  /// The log must contain `Index`.
  const EntryRef &at(std::uint64_t Index) const;
  /// First index of the consecutive entries that share the term of `Index`.
  std::uint64_t firstIndexOfTerm(std::uint64_t Index) const;

  /// The index of `Entry` must follow `lastIndex`.
  void append(EntryRef Entry);
  void truncateFrom(std::uint64_t Index);
  /// Discards the entries up to and including `Index`, which becomes the base.
  void compactTo(std::uint64_t Index);

private:
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::deque<EntryRef> Entries;
};

} // namespace amaranth::replication

#endif
