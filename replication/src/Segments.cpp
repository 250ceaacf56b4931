#include "Segments.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace amaranth::replication::detail {

namespace {

/// "ALOG" in little-endian byte order.
constexpr std::uint32_t RecordMagic = 0x474f4c41;

struct RecordHeader {
  std::uint32_t Magic;
  std::uint32_t Length;
  std::uint64_t Checksum;
  std::uint64_t Term;
  std::uint64_t Index;
  std::int64_t Time;
  std::uint64_t SyncedIndex;
  std::uint64_t Kind;
};
static_assert(sizeof(RecordHeader) == 56);
constexpr std::size_t ChecksumStart = offsetof(RecordHeader, Term);

/// Returns the header of the record at `Offset`, or nothing if there is no
/// complete, valid record.
std::optional<RecordHeader> readRecord(const base::Bytes &Data,
                                       std::uint64_t Offset) {
  RecordHeader Header{};
  if (Offset + sizeof Header > Data.size())
    return std::nullopt;
  std::memcpy(&Header, Data.data() + Offset, sizeof Header);
  if (Header.Magic != RecordMagic || Header.Length > MaxEntryPayloadBytes ||
      Offset + sizeof Header + Header.Length > Data.size())
    return std::nullopt;
  base::ByteView ChecksumData = base::ByteView(Data).subspan(
      Offset + ChecksumStart, sizeof Header - ChecksumStart + Header.Length);
  if (base::hash64(ChecksumData) != Header.Checksum)
    return std::nullopt;
  return Header;
}

void encodeRecord(const LogEntry &Entry, std::uint64_t SyncedIndex,
                  base::Bytes &Out) {
  RecordHeader Header{RecordMagic,
                      static_cast<std::uint32_t>(Entry.Payload.size()),
                      0,
                      Entry.EntryTerm.value(),
                      Entry.Index.value(),
                      Entry.Time.count(),
                      SyncedIndex,
                      static_cast<std::uint64_t>(Entry.Kind)};
  std::size_t Start = Out.size();
  Out.resize(Start + sizeof Header);
  std::memcpy(Out.data() + Start, &Header, sizeof Header);
  Out.insert(Out.end(), Entry.Payload.begin(), Entry.Payload.end());
  Header.Checksum =
      base::hash64(base::ByteView(Out).subspan(Start + ChecksumStart));
  std::memcpy(Out.data() + Start, &Header, sizeof Header);
}

std::shared_ptr<LogEntry> decodeHeader(const RecordHeader &Header) {
  auto Entry = std::make_shared<LogEntry>();
  Entry->Index = base::LogIndex(Header.Index);
  Entry->EntryTerm = base::Term(Header.Term);
  Entry->Time = base::WallTime(Header.Time);
  Entry->Kind = static_cast<EntryKind>(Header.Kind);
  return Entry;
}

} // namespace

std::vector<EntryRef> Segments::recover(std::uint64_t Covered,
                                        std::size_t MaxPayloadBytes) {
  CoveredIndex = Covered;
  LoadableBytes = MaxPayloadBytes;
  for (const auto &Item : std::filesystem::directory_iterator(Folder)) {
    std::string Name = Item.path().filename().string();
    if (!Name.starts_with("log-"))
      continue;
    Segment NewSegment;
    NewSegment.Path = Item.path();
    NewSegment.First = std::stoull(Name.substr(4), nullptr, 16);
    SegmentFiles.push_back(std::move(NewSegment));
  }
  std::sort(
      SegmentFiles.begin(), SegmentFiles.end(),
      [](const Segment &A, const Segment &B) { return A.First < B.First; });
  std::vector<EntryRef> Entries;
  for (std::size_t I = 0; I < SegmentFiles.size(); ++I) {
    std::uint64_t First = SegmentFiles[I].First;
    bool HasGap =
        !Entries.empty() && Entries.back()->Index.value() + 1 != First;
    // Earlier versions did not sync each removal of a covered segment.
    if (HasGap && First <= CoveredIndex + 1) {
      base::logger("replication")
          ->warn("removing covered segments before a gap folder={} next={}",
                 Folder.string(), First);
      for (; I > 0; --I)
        removeFirstSegment();
      Entries.clear();
    }
    readSegment(SegmentFiles[I], I + 1 == SegmentFiles.size(), Entries);
  }
  if (!SegmentFiles.empty())
    openLastSegment();
  // The data just read may not have reached the disk yet.
  if (CurrentFile.isOpen())
    syncFile(CurrentFile.fd(), SegmentFiles.back().Path.string());
  SyncedIndex = lastIndex();
  return Entries;
}

void Segments::readSegment(Segment &Target, bool IsLast,
                           std::vector<EntryRef> &Entries) {
  base::Bytes Data = readFile(Target.Path);
  std::uint64_t Expected = Target.First;
  if (!Entries.empty() && Entries.back()->Index.value() + 1 != Expected)
    throw StorageError(fmt::format(
        "{}: corrupt at offset 0: the segment starts at entry {}, but the "
        "previous segment ends at entry {}",
        Target.Path.string(), Expected, Entries.back()->Index.value()));
  while (Target.End < Data.size()) {
    std::optional<RecordHeader> Header = readRecord(Data, Target.End);
    if (!Header || Header->Index != Expected) {
      if (!IsLast)
        throw StorageError(fmt::format("{}: corrupt record of entry {} at "
                                       "offset {}: this cannot be a torn "
                                       "tail because later segments exist",
                                       Target.Path.string(), Expected,
                                       Target.End));
      truncateTornTail(Target, Data);
      return;
    }
    std::size_t RecordBytes = sizeof(RecordHeader) + Header->Length;
    Entries.push_back(recoverEntry(
        Target, base::ByteView(Data).subspan(Target.End, RecordBytes)));
    Target.RecordOffsets.push_back(Target.End);
    Target.End += RecordBytes;
    ++Expected;
  }
}

EntryRef Segments::recoverEntry(const Segment &Source, base::ByteView Record) {
  RecordHeader Header{};
  std::memcpy(&Header, Record.data(), sizeof Header);
  base::ByteView Payload = Record.subspan(sizeof Header);
  std::shared_ptr<LogEntry> Entry = decodeHeader(Header);
  // Only the entry at the covered index is compared with the snapshot, by its
  // term.
  bool IsCovered = Header.Index <= CoveredIndex;
  // The replica needs all memberships at once.
  bool IsNeeded = Entry->Kind == EntryKind::Membership;
  if (IsNeeded || (!IsCovered && Payload.size() <= LoadableBytes)) {
    Entry->Payload.assign(Payload.begin(), Payload.end());
    LoadableBytes -= std::min(LoadableBytes, Payload.size());
    return Entry;
  }
  if (!IsCovered) {
    // Later entries are applied after this one.
    LoadableBytes = 0;
    Unloaded[Header.Index] = {Source.Path, Source.End};
  }
  Entry->UnloadedBytes = Payload.size();
  return Entry;
}

EntryRef Segments::load(const LogEntry &Entry) const {
  const Location &Place = Unloaded.at(Entry.Index.value());
  base::Bytes Record = readFilePart(Place.Path, Place.Offset,
                                    sizeof(RecordHeader) + Entry.UnloadedBytes);
  std::optional<RecordHeader> Header = readRecord(Record, 0);
  if (!Header || Header->Index != Entry.Index.value() ||
      Header->Term != Entry.EntryTerm.value())
    throw StorageError(fmt::format("{}: corrupt record of entry {} at offset "
                                   "{}",
                                   Place.Path.string(), Entry.Index.value(),
                                   Place.Offset));
  std::shared_ptr<LogEntry> Result = decodeHeader(*Header);
  Result->Payload.assign(Record.begin() + sizeof(RecordHeader), Record.end());
  return Result;
}

void Segments::truncateTornTail(Segment &LastSegment, const base::Bytes &Data) {
  std::uint64_t InvalidIndex =
      LastSegment.First + LastSegment.RecordOffsets.size();
  for (std::uint64_t Offset = LastSegment.End + 1; Offset < Data.size();
       ++Offset) {
    std::optional<RecordHeader> Later = readRecord(Data, Offset);
    if (Later && Later->SyncedIndex >= InvalidIndex)
      throw StorageError(fmt::format(
          "{}: corrupt record of entry {} at offset {}: it had been synced "
          "before entry {} at offset {} was written",
          LastSegment.Path.string(), InvalidIndex, LastSegment.End,
          Later->Index, Offset));
  }
  base::logger("replication")
      ->warn("truncated a torn tail file={} offset={} bytes={}",
             LastSegment.Path.string(), LastSegment.End,
             Data.size() - LastSegment.End);
  FileDescriptor File(LastSegment.Path, O_WRONLY);
  if (::ftruncate(File.fd(), static_cast<off_t>(LastSegment.End)) != 0)
    throw StorageError(LastSegment.Path.string() + ": ftruncate failed");
  syncFile(File.fd(), LastSegment.Path.string());
}

void Segments::openLastSegment() {
  CurrentFile = FileDescriptor(SegmentFiles.back().Path, O_WRONLY | O_APPEND);
}

std::uint64_t Segments::lastIndex() const {
  if (SegmentFiles.empty())
    return 0;
  return SegmentFiles.back().First + SegmentFiles.back().RecordOffsets.size() -
         1;
}

void Segments::startSegment(std::uint64_t First) {
  // Only the last segment may have a torn tail, so the previous one must be
  // synced first.
  sync();
  Segment NewSegment;
  NewSegment.Path = Folder / fmt::format("log-{:016x}", First);
  NewSegment.First = First;
  CurrentFile =
      FileDescriptor(NewSegment.Path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  syncFolder(Folder);
  SegmentFiles.push_back(std::move(NewSegment));
}

void Segments::append(const std::vector<EntryRef> &Entries) {
  base::Bytes Buffer;
  auto Flush = [&] {
    if (!Buffer.empty()) {
      writeFully(CurrentFile.fd(), Buffer, SegmentFiles.back().Path.string());
      HasUnsyncedRecords = true;
    }
    Buffer.clear();
  };
  for (const EntryRef &Entry : Entries) {
    // Recovery would take the record for corrupt.
    if (Entry->Payload.size() > MaxEntryPayloadBytes)
      throw StorageError(fmt::format(
          "{}: entry {} has {} bytes, the limit is {}", Folder.string(),
          Entry->Index.value(), Entry->Payload.size(), MaxEntryPayloadBytes));
    if (SegmentFiles.empty() || SegmentFiles.back().End >= LogSegmentBytes) {
      Flush();
      startSegment(Entry->Index.value());
    }
    Segment &Last = SegmentFiles.back();
    if (Entry->Index.value() != Last.First + Last.RecordOffsets.size())
      throw StorageError(
          fmt::format("{}: entry {} does not follow the last entry of the log",
                      Last.Path.string(), Entry->Index.value()));
    std::size_t OldSize = Buffer.size();
    encodeRecord(*Entry, SyncedIndex, Buffer);
    Last.RecordOffsets.push_back(Last.End);
    Last.End += Buffer.size() - OldSize;
  }
  Flush();
}

void Segments::truncateFrom(std::uint64_t Index) {
  // Removes the segments from the end, so that a crash leaves no gap in the
  // log.
  while (!SegmentFiles.empty() && SegmentFiles.back().First >= Index) {
    std::filesystem::remove(SegmentFiles.back().Path);
    syncFolder(Folder);
    SegmentFiles.pop_back();
    CurrentFile = FileDescriptor();
  }
  if (!SegmentFiles.empty()) {
    Segment &Last = SegmentFiles.back();
    std::uint64_t KeptRecords = Index - Last.First;
    if (KeptRecords < Last.RecordOffsets.size()) {
      Last.End = Last.RecordOffsets[KeptRecords];
      Last.RecordOffsets.resize(KeptRecords);
    }
    openLastSegment();
    if (::ftruncate(CurrentFile.fd(), static_cast<off_t>(Last.End)) != 0)
      throw StorageError(Last.Path.string() + ": ftruncate failed");
    // Must be synced before new records are written: a mixture of old and new
    // records after a crash would look like corruption of synced data.
    syncFile(CurrentFile.fd(), Last.Path.string());
  }
  HasUnsyncedRecords = false;
  SyncedIndex = lastIndex();
}

void Segments::removeSegmentsUpTo(std::uint64_t Index) {
  while (SegmentFiles.size() > 1 && SegmentFiles[1].First <= Index + 1)
    removeFirstSegment();
}

void Segments::removeFirstSegment() {
  std::filesystem::remove(SegmentFiles.front().Path);
  // Synced one by one: after a loss of power, a gap would remain if an older
  // removal was lost and a newer one was not.
  syncFolder(Folder);
  SegmentFiles.pop_front();
}

void Segments::removeAllSegments() {
  while (!SegmentFiles.empty()) {
    std::filesystem::remove(SegmentFiles.back().Path);
    syncFolder(Folder);
    SegmentFiles.pop_back();
  }
  CurrentFile = FileDescriptor();
  HasUnsyncedRecords = false;
  SyncedIndex = 0;
}

void Segments::sync() {
  if (HasUnsyncedRecords)
    syncFile(CurrentFile.fd(), SegmentFiles.back().Path.string());
  HasUnsyncedRecords = false;
  SyncedIndex = lastIndex();
}

} // namespace amaranth::replication::detail
