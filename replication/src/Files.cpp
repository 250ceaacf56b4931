#include "Files.h"

#include "amaranth/base/Digest.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace amaranth::replication::detail {

namespace {

[[noreturn]] void failSystem(const char *Operation, const std::string &Name) {
  throw StorageError(
      fmt::format("{}: {} failed: {}", Name, Operation, std::strerror(errno)));
}

} // namespace

Descriptor::Descriptor(const std::filesystem::path &Path, int Flags)
    : Number(::open(Path.c_str(), Flags | O_CLOEXEC, 0600)) {
  if (Number < 0)
    failSystem("open", Path.string());
}

Descriptor::~Descriptor() {
  if (Number >= 0)
    ::close(Number);
}

void writeFully(int File, base::ByteView Data, const std::string &Name) {
  while (!Data.empty()) {
    ssize_t Count = ::write(File, Data.data(), Data.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      failSystem("write", Name);
    Data = Data.subspan(static_cast<std::size_t>(Count));
  }
}

void syncFile(int File, const std::string &Name) {
  if (::fdatasync(File) != 0)
    failSystem("fdatasync", Name);
}

void syncFolder(const std::filesystem::path &Folder) {
  Descriptor File(Folder, O_RDONLY | O_DIRECTORY);
  if (::fsync(File.number()) != 0)
    failSystem("fsync", Folder.string());
}

base::Bytes readWhole(const std::filesystem::path &Path) {
  Descriptor File(Path, O_RDONLY);
  struct stat Status {};
  if (::fstat(File.number(), &Status) != 0)
    failSystem("fstat", Path.string());
  base::Bytes Data(static_cast<std::size_t>(Status.st_size));
  std::size_t Done = 0;
  while (Done < Data.size()) {
    ssize_t Count =
        ::read(File.number(), Data.data() + Done, Data.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      failSystem("read", Path.string());
    if (Count == 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  Data.resize(Done);
  return Data;
}

void replaceChecked(const std::filesystem::path &Path, base::ByteView Data) {
  std::filesystem::path Temporary = Path;
  Temporary += ".new";
  {
    Descriptor File(Temporary, O_WRONLY | O_CREAT | O_TRUNC);
    Encoder Head;
    Head.u64(base::hash64(Data));
    writeFully(File.number(), Head.Data, Temporary.string());
    writeFully(File.number(), Data, Temporary.string());
    syncFile(File.number(), Temporary.string());
  }
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    failSystem("rename", Temporary.string());
  syncFolder(Path.parent_path());
}

std::optional<base::Bytes> readChecked(const std::filesystem::path &Path) {
  if (!std::filesystem::exists(Path))
    return std::nullopt;
  base::Bytes Whole = readWhole(Path);
  Decoder Head(Whole, Path.string());
  std::uint64_t Expected = Head.u64();
  base::Bytes Data(Whole.begin() + sizeof Expected, Whole.end());
  if (base::hash64(Data) != Expected)
    throw StorageError(fmt::format("{}: checksum mismatch at offset 0; the "
                                   "file is damaged",
                                   Path.string()));
  return Data;
}

Encoder &Encoder::u64(std::uint64_t Value) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8)
    Data.push_back(static_cast<std::uint8_t>(Value >> Shift));
  return *this;
}

Encoder &Encoder::raw(base::ByteView More) {
  Data.insert(Data.end(), More.begin(), More.end());
  return *this;
}

Encoder &Encoder::block(base::ByteView More) {
  return u64(More.size()).raw(More);
}

base::ByteView Decoder::take(std::size_t Count) {
  if (Count > Rest.size())
    throw StorageError(fmt::format("{}: the file is too short", Name));
  base::ByteView Taken = Rest.first(Count);
  Rest = Rest.subspan(Count);
  return Taken;
}

std::uint64_t Decoder::u64() {
  base::ByteView Raw = take(sizeof(std::uint64_t));
  std::uint64_t Value = 0;
  for (std::size_t I = Raw.size(); I-- > 0;)
    Value = Value << 8U | Raw[I];
  return Value;
}

base::Bytes Decoder::block() {
  base::ByteView Raw = take(u64());
  return {Raw.begin(), Raw.end()};
}

} // namespace amaranth::replication::detail
