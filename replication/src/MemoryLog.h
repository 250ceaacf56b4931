#ifndef AMARANTH_REPLICATION_MEMORYLOG_H
#define AMARANTH_REPLICATION_MEMORYLOG_H

#include "amaranth/replication/Storage.h"

#include <deque>

namespace amaranth::replication {

/// The in-memory part of the log: all entries above the base entry. Entries
/// from recovery may have their payload on disk only.
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

  /// Memory of the entries above `Index`, in bytes, as if all were loaded.
  /// `Index` is at most `lastIndex`.
  std::size_t bytesAbove(std::uint64_t Index) const;
  /// Memory of the loaded entries in bytes.
  std::size_t loadedBytes() const { return LoadedBytes; }

  /// The index of `Entry` must follow `lastIndex`.
  void append(EntryRef Entry);
  void truncateFrom(std::uint64_t Index);
  /// Discards the entries up to and including `Index`, which becomes the base.
  void compactTo(std::uint64_t Index);

private:
  struct Slot {
    EntryRef Entry;
    /// Total of `LogEntry::memoryBytes` of this entry and all before it.
    std::uint64_t EndBytes = 0;
  };

  std::uint64_t endBytes(std::uint64_t Index) const;

  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  std::uint64_t BaseEndBytes = 0;
  std::size_t LoadedBytes = 0;
  std::deque<Slot> Entries;
};

} // namespace amaranth::replication

#endif
