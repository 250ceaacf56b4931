#ifndef AMARANTH_REPLICATION_SEGMENTS_H
#define AMARANTH_REPLICATION_SEGMENTS_H

#include "Files.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace amaranth::replication::detail {

/// A log stored in segment files. Not thread-safe.
///
/// A record consists of magic number, payload length, checksum, term, index,
/// time, highest synced index at the time of writing, kind and payload. The
/// synced index distinguishes a torn tail, which a crash during a write leaves,
/// from corruption: if a later record was written after the invalid one had
/// been synced, then synced data is corrupt.
class Segments {
public:
  explicit Segments(std::filesystem::path Folder) : Folder(std::move(Folder)) {}

  /// Reads all records and truncates a torn tail of the last segment. A
  /// snapshot covers the entries up to `CoveredIndex`; they may have gaps. The
  /// payloads of the first `MaxPayloadBytes` above it are loaded, those of
  /// later commands are not. If other synced data is corrupt, throws a
  /// `StorageError` with the file and the offset.
  std::vector<EntryRef> recover(std::uint64_t CoveredIndex,
                                std::size_t MaxPayloadBytes);
  /// Returns the entry with its payload, read from disk. May run on another
  /// thread than the other functions. Throws `StorageError`.
  EntryRef load(const LogEntry &Entry) const;

  /// Writes the entries. They are durable after the next `sync`.
  void append(const std::vector<EntryRef> &Entries);
  /// Removes `Index` and all later entries. Durable on return.
  void truncateFrom(std::uint64_t Index);
  /// Removes the segments that contain only entries up to `Index`.
  void removeSegmentsUpTo(std::uint64_t Index);
  void removeAllSegments();
  /// Makes all appended records durable.
  void sync();

private:
  struct Segment {
    std::filesystem::path Path;
    std::uint64_t First = 0;
    std::vector<std::uint64_t> RecordOffsets;
    /// End offset of the last record.
    std::uint64_t End = 0;
  };

  /// Where a record is stored whose payload was not loaded.
  struct Location {
    std::filesystem::path Path;
    std::uint64_t Offset = 0;
  };

  void readSegment(Segment &Target, bool IsLast,
                   std::vector<EntryRef> &Entries);
  /// Decodes a record, without its payload if that would exceed the limits.
  EntryRef recoverEntry(const Segment &Source, base::ByteView Record);
  void truncateTornTail(Segment &LastSegment, const base::Bytes &Data);
  void openLastSegment();
  /// Durable on return.
  void removeFirstSegment();
  void startSegment(std::uint64_t First);
  std::uint64_t lastIndex() const;

  std::filesystem::path Folder;
  std::deque<Segment> SegmentFiles;
  FileDescriptor CurrentFile;
  bool HasUnsyncedRecords = false;
  std::uint64_t SyncedIndex = 0;

  std::uint64_t CoveredIndex = 0;
  /// Payloads that `recover` may still load, in bytes.
  std::size_t LoadableBytes = 0;
  /// By index; not changed after `recover`.
  std::map<std::uint64_t, Location> Unloaded;
};

} // namespace amaranth::replication::detail

#endif
