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

constexpr std::uint64_t SegmentBytes = 16U << 20U;
/// A longer record is damage: proposals are bounded far below.
constexpr std::uint32_t MaxRecordPayload = 1U << 20U;
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
constexpr std::size_t CheckedFrom = offsetof(RecordHeader, Term);

/// The record at `Offset`, or nothing when there is no whole valid one.
std::optional<RecordHeader> recordAt(const base::Bytes &Data,
                                     std::uint64_t Offset) {
  RecordHeader Header{};
  if (Offset + sizeof Header > Data.size())
    return std::nullopt;
  std::memcpy(&Header, Data.data() + Offset, sizeof Header);
  if (Header.Magic != RecordMagic || Header.Length > MaxRecordPayload ||
      Offset + sizeof Header + Header.Length > Data.size())
    return std::nullopt;
  base::ByteView Checked = base::ByteView(Data).subspan(
      Offset + CheckedFrom, sizeof Header - CheckedFrom + Header.Length);
  if (base::hash64(Checked) != Header.Checksum)
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
      base::hash64(base::ByteView(Out).subspan(Start + CheckedFrom));
  std::memcpy(Out.data() + Start, &Header, sizeof Header);
}

EntryRef makeEntry(const RecordHeader &Header, const std::uint8_t *Payload) {
  auto Entry = std::make_shared<LogEntry>();
  Entry->Index = base::LogIndex(Header.Index);
  Entry->EntryTerm = base::Term(Header.Term);
  Entry->Time = base::WallTime(Header.Time);
  Entry->Kind = static_cast<EntryKind>(Header.Kind);
  Entry->Payload.assign(Payload, Payload + Header.Length);
  return Entry;
}

} // namespace

std::vector<EntryRef> Segments::recover() {
  for (const auto &Item : std::filesystem::directory_iterator(Folder)) {
    std::string Name = Item.path().filename().string();
    if (!Name.starts_with("log-"))
      continue;
    Segment Found;
    Found.Path = Item.path();
    Found.First = std::stoull(Name.substr(4), nullptr, 16);
    Files.push_back(std::move(Found));
  }
  std::sort(Files.begin(), Files.end(), [](const Segment &A, const Segment &B) {
    return A.First < B.First;
  });
  std::vector<EntryRef> Entries;
  for (Segment &File : Files)
    readSegment(File, &File == &Files.back(), Entries);
  if (!Files.empty())
    openLast();
  // What was read may be in the page cache only.
  if (Current.isOpen())
    syncFile(Current.number(), Files.back().Path.string());
  SyncedIndex = lastIndex();
  return Entries;
}

void Segments::readSegment(Segment &Into, bool Last,
                           std::vector<EntryRef> &Entries) {
  base::Bytes Data = readWhole(Into.Path);
  std::uint64_t Expected = Into.First;
  if (!Entries.empty() && Entries.back()->Index.value() + 1 != Expected)
    throw StorageError(fmt::format(
        "{}: damaged at offset 0: starts at entry {}, but the "
        "segment before ends at {}",
        Into.Path.string(), Expected, Entries.back()->Index.value()));
  while (Into.End < Data.size()) {
    std::optional<RecordHeader> Header = recordAt(Data, Into.End);
    if (!Header || Header->Index != Expected) {
      if (!Last)
        throw StorageError(fmt::format(
            "{}: damaged record of entry {} at offset {}; later segments "
            "exist, so this is no torn tail",
            Into.Path.string(), Expected, Into.End));
      cutTail(Into, Data);
      return;
    }
    Entries.push_back(
        makeEntry(*Header, Data.data() + Into.End + sizeof(RecordHeader)));
    Into.Offsets.push_back(Into.End);
    Into.End += sizeof(RecordHeader) + Header->Length;
    ++Expected;
  }
}

void Segments::cutTail(Segment &Torn, const base::Bytes &Data) {
  std::uint64_t Missing = Torn.First + Torn.Offsets.size();
  for (std::uint64_t Offset = Torn.End + 1; Offset < Data.size(); ++Offset) {
    std::optional<RecordHeader> Later = recordAt(Data, Offset);
    if (Later && Later->SyncedIndex >= Missing)
      throw StorageError(fmt::format(
          "{}: damaged record of entry {} at offset {}: entry {} at offset {} "
          "was written after it had been synced",
          Torn.Path.string(), Missing, Torn.End, Later->Index, Offset));
  }
  base::logger("replication")
      ->warn("torn tail cut file={} offset={} bytes={}", Torn.Path.string(),
             Torn.End, Data.size() - Torn.End);
  Descriptor File(Torn.Path, O_WRONLY);
  if (::ftruncate(File.number(), static_cast<off_t>(Torn.End)) != 0)
    throw StorageError(Torn.Path.string() + ": ftruncate failed");
  syncFile(File.number(), Torn.Path.string());
}

void Segments::openLast() {
  Current = Descriptor(Files.back().Path, O_WRONLY | O_APPEND);
}

std::uint64_t Segments::lastIndex() const {
  if (Files.empty())
    return 0;
  return Files.back().First + Files.back().Offsets.size() - 1;
}

void Segments::startSegment(std::uint64_t First) {
  // Only the last segment may have a torn tail.
  sync();
  Segment New;
  New.Path = Folder / fmt::format("log-{:016x}", First);
  New.First = First;
  Current = Descriptor(New.Path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND);
  syncFolder(Folder);
  Files.push_back(std::move(New));
}

void Segments::append(const std::vector<EntryRef> &Entries) {
  base::Bytes Buffer;
  auto Flush = [&] {
    if (!Buffer.empty()) {
      writeFully(Current.number(), Buffer, Files.back().Path.string());
      Dirty = true;
    }
    Buffer.clear();
  };
  for (const EntryRef &Entry : Entries) {
    if (Files.empty() || Files.back().End >= SegmentBytes) {
      Flush();
      startSegment(Entry->Index.value());
    }
    Segment &Last = Files.back();
    if (Entry->Index.value() != Last.First + Last.Offsets.size())
      throw StorageError(fmt::format("{}: entry {} does not continue the log",
                                     Last.Path.string(), Entry->Index.value()));
    std::size_t Before = Buffer.size();
    encodeRecord(*Entry, SyncedIndex, Buffer);
    Last.Offsets.push_back(Last.End);
    Last.End += Buffer.size() - Before;
  }
  Flush();
}

void Segments::truncateFrom(std::uint64_t Index) {
  // From the end, so that a crash leaves a log without a gap.
  while (!Files.empty() && Files.back().First >= Index) {
    std::filesystem::remove(Files.back().Path);
    syncFolder(Folder);
    Files.pop_back();
    Current = Descriptor();
  }
  if (!Files.empty()) {
    Segment &Last = Files.back();
    std::uint64_t Keep = Index - Last.First;
    if (Keep < Last.Offsets.size()) {
      Last.End = Last.Offsets[Keep];
      Last.Offsets.resize(Keep);
    }
    openLast();
    if (::ftruncate(Current.number(), static_cast<off_t>(Last.End)) != 0)
      throw StorageError(Last.Path.string() + ": ftruncate failed");
    // Synced at once: a mixture of old and new records after a crash would
    // look like damage of synced data.
    syncFile(Current.number(), Last.Path.string());
  }
  Dirty = false;
  SyncedIndex = lastIndex();
}

void Segments::dropUpTo(std::uint64_t Index) {
  while (Files.size() > 1 && Files[1].First <= Index + 1) {
    std::filesystem::remove(Files.front().Path);
    Files.pop_front();
  }
}

void Segments::discardAll() {
  while (!Files.empty()) {
    std::filesystem::remove(Files.back().Path);
    Files.pop_back();
  }
  Current = Descriptor();
  Dirty = false;
  SyncedIndex = 0;
  syncFolder(Folder);
}

void Segments::sync() {
  if (Dirty)
    syncFile(Current.number(), Files.back().Path.string());
  Dirty = false;
  SyncedIndex = lastIndex();
}

} // namespace amaranth::replication::detail
