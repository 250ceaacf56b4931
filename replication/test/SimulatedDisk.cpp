#include "SimulatedDisk.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <utility>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

void DiskImage::apply(const StorageWrite &Write) {
  if (const auto *Append = std::get_if<AppendEntries>(&Write))
    Entries.insert(Entries.end(), Append->Entries.begin(),
                   Append->Entries.end());
  if (const auto *Truncate = std::get_if<TruncateFrom>(&Write))
    std::erase_if(Entries, [Truncate](const EntryRef &Entry) {
      return Entry->Index >= Truncate->First;
    });
  if (const auto *NewVote = std::get_if<StoredVote>(&Write))
    Vote = *NewVote;
  if (const auto *NewIdentity = std::get_if<StoredIdentity>(&Write))
    Identity = *NewIdentity;
  if (const auto *Save = std::get_if<SaveSnapshot>(&Write)) {
    Snapshot = Save->Snapshot;
    std::erase_if(Entries, [Save](const EntryRef &Entry) {
      return Save->DiscardLog || Entry->Index <= Save->Snapshot->Index;
    });
  }
}

SimulatedDisk::SimulatedDisk(DiskImage &Image, base::Clock &Time,
                             const asio::any_io_executor &Executor,
                             std::uint64_t Seed)
    : Inner(std::make_shared<State>(Image, Time, Executor, Seed)) {
  asio::co_spawn(Executor, syncLoop(Inner), asio::detached);
}

RecoveredState SimulatedDisk::recover() {
  DiskImage &Image = Inner->Image;
  while (Image.Identity.Id.value() == 0)
    Image.Identity.Id = base::ReplicaId(Inner->Random());
  RecoveredState Result{Image.Identity, Image.Vote, Image.Snapshot, {}};
  std::size_t Loaded = 0;
  for (const EntryRef &Entry : Image.Entries) {
    Loaded += Entry->Payload.size();
    if (Loaded <= Image.MaxRecoveredBytes || Entry->Payload.empty() ||
        Entry->Kind != EntryKind::Command) {
      Result.Entries.push_back(Entry);
      continue;
    }
    auto OnDisk = std::make_shared<LogEntry>(*Entry);
    OnDisk->UnloadedBytes = std::exchange(OnDisk->Payload, {}).size();
    Result.Entries.push_back(std::move(OnDisk));
  }
  return Result;
}

EntryRef SimulatedDisk::load(const LogEntry &Entry) {
  for (const EntryRef &Stored : Inner->Image.Entries)
    if (Stored->Index == Entry.Index && Stored->EntryTerm == Entry.EntryTerm)
      return Stored;
  // Without this, only the replica would end.
  FAIL_CHECK("a replica loads entry " << Entry.Index
                                      << ", which is not on its disk");
  throw StorageError("the entry is not on the disk");
}

std::uint64_t SimulatedDisk::write(StorageWrite Write) {
  if (!Inner->Crashed) {
    Inner->Queue.push_back(std::move(Write));
    Inner->Queued.notifyAll();
  }
  return ++Inner->Written;
}

asio::awaitable<void> SimulatedDisk::syncLoop(std::shared_ptr<State> Inner) {
  while (!Inner->Crashed) {
    if (Inner->Queue.empty()) {
      co_await Inner->Queued.wait();
      continue;
    }
    std::size_t Batch = Inner->Queue.size();
    bool Slow = Inner->Random() % 12 == 0;
    auto DelayMs =
        static_cast<std::int64_t>(Inner->Random() % (Slow ? 400 : 8));
    co_await Inner->Time.sleepFor(base::Millis(1 + DelayMs));
    while (Inner->SyncsPaused && !Inner->Crashed)
      co_await Inner->Time.sleepFor(base::Millis(10));
    if (Inner->Crashed)
      co_return;
    if (Inner->Image.Full) {
      Inner->Failure =
          std::make_exception_ptr(StorageError("the disk is full"));
      Inner->Progress.notifyAll();
      co_return;
    }
    for (std::size_t I = 0; I < Batch; ++I) {
      Inner->Image.apply(Inner->Queue.front());
      Inner->Queue.pop_front();
    }
    Inner->Synced += Batch;
    Inner->Progress.notifyAll();
  }
}

void SimulatedDisk::crash() {
  Inner->Crashed = true;
  if (Inner->Failure || Inner->Image.Full)
    Inner->Queue.clear();
  std::size_t KeptWrites = Inner->Random() % (Inner->Queue.size() + 1);
  for (std::size_t I = 0; I < KeptWrites; ++I)
    Inner->Image.apply(Inner->Queue[I]);
  // The next append may have reached the disk in part.
  if (KeptWrites < Inner->Queue.size())
    if (auto *PartialAppend =
            std::get_if<AppendEntries>(&Inner->Queue[KeptWrites])) {
      PartialAppend->Entries.resize(Inner->Random() %
                                    PartialAppend->Entries.size());
      Inner->Image.apply(*PartialAppend);
    }
  Inner->Queue.clear();
  Inner->Queued.notifyAll();
}

} // namespace amaranth::replication::testing
