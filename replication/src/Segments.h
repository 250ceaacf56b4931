#ifndef AMARANTH_REPLICATION_SEGMENTS_H
#define AMARANTH_REPLICATION_SEGMENTS_H

#include "Files.h"

#include <deque>
#include <string>
#include <vector>

namespace amaranth::replication::detail {

/// The segment files of one log, used by one thread at a time.
///
/// A record is: magic, payload length, checksum, term, index, time, highest
/// synced index when it was written, kind, payload. The synced index tells a
/// torn tail from damage: a later record that was written after the bad one
/// had been synced proves that synced data was damaged.
class Segments {
public:
  explicit Segments(std::filesystem::path Folder) : Folder(std::move(Folder)) {}

  /// Reads all records. Cuts a torn tail of the last segment. Throws
  /// `StorageError` on damage of synced data, naming file and offset.
  std::vector<EntryRef> recover();

  void append(const std::vector<EntryRef> &Entries);
  /// Durable when it returns.
  void truncateFrom(std::uint64_t Index);
  /// Removes the segments that hold only entries up to `Index`.
  void removeSegmentsUpTo(std::uint64_t Index);
  void removeAllSegments();
  /// Makes all appended records durable.
  void sync();

private:
  struct Segment {
    std::filesystem::path Path;
    std::uint64_t First = 0;
    /// Offset of each record, and the end of the last one.
    std::vector<std::uint64_t> RecordOffsets;
    std::uint64_t End = 0;
  };

  void readSegment(Segment &Target, bool IsLast,
                   std::vector<EntryRef> &Entries);
  void truncateTornTail(Segment &LastSegment, const base::Bytes &Data);
  void openLastSegment();
  void startSegment(std::uint64_t First);
  std::uint64_t lastIndex() const;

  std::filesystem::path Folder;
  std::deque<Segment> SegmentFiles;
  FileDescriptor CurrentFile;
  bool HasUnsyncedRecords = false;
  std::uint64_t SyncedIndex = 0;
};

} // namespace amaranth::replication::detail

#endif
