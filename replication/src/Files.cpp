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

[[noreturn]] void throwSystemError(const char *Operation,
                                   const std::string &Name) {
  throw StorageError(
      fmt::format("{}: {} failed: {}", Name, Operation, std::strerror(errno)));
}

} // namespace

FileDescriptor::FileDescriptor(const std::filesystem::path &Path, int Flags)
    : Fd(::open(Path.c_str(), Flags | O_CLOEXEC, 0600)) {
  if (Fd < 0)
    throwSystemError("open", Path.string());
}

FileDescriptor::~FileDescriptor() {
  if (Fd >= 0)
    ::close(Fd);
}

void writeFully(int File, base::ByteView Data, const std::string &Name) {
  while (!Data.empty()) {
    ssize_t Count = ::write(File, Data.data(), Data.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwSystemError("write", Name);
    Data = Data.subspan(static_cast<std::size_t>(Count));
  }
}

void syncFile(int File, const std::string &Name) {
  if (::fdatasync(File) != 0)
    throwSystemError("fdatasync", Name);
}

void syncFolder(const std::filesystem::path &Folder) {
  FileDescriptor File(Folder, O_RDONLY | O_DIRECTORY);
  if (::fsync(File.fd()) != 0)
    throwSystemError("fsync", Folder.string());
}

/// Reads up to `Size` bytes from the current position on.
static base::Bytes readUpTo(const FileDescriptor &File, std::size_t Size,
                            const std::string &Name) {
  base::Bytes Data(Size);
  std::size_t BytesRead = 0;
  while (BytesRead < Data.size()) {
    ssize_t Count =
        ::read(File.fd(), Data.data() + BytesRead, Data.size() - BytesRead);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwSystemError("read", Name);
    if (Count == 0)
      break;
    BytesRead += static_cast<std::size_t>(Count);
  }
  Data.resize(BytesRead);
  return Data;
}

base::Bytes readFile(const std::filesystem::path &Path) {
  FileDescriptor File(Path, O_RDONLY);
  struct stat Status {};
  if (::fstat(File.fd(), &Status) != 0)
    throwSystemError("fstat", Path.string());
  return readUpTo(File, static_cast<std::size_t>(Status.st_size),
                  Path.string());
}

base::Bytes readFilePart(const std::filesystem::path &Path,
                         std::uint64_t Offset, std::size_t Size) {
  FileDescriptor File(Path, O_RDONLY);
  if (::lseek(File.fd(), static_cast<off_t>(Offset), SEEK_SET) < 0)
    throwSystemError("lseek", Path.string());
  return readUpTo(File, Size, Path.string());
}

void replaceChecksummedFile(const std::filesystem::path &Path,
                            std::initializer_list<base::ByteView> Parts) {
  std::filesystem::path Temporary = Path;
  Temporary += ".new";
  {
    FileDescriptor File(Temporary, O_WRONLY | O_CREAT | O_TRUNC);
    base::Hasher64 Hash;
    for (base::ByteView Part : Parts)
      Hash.update(Part);
    Encoder Checksum;
    Checksum.u64(Hash.digest());
    writeFully(File.fd(), Checksum.Data, Temporary.string());
    for (base::ByteView Part : Parts)
      writeFully(File.fd(), Part, Temporary.string());
    syncFile(File.fd(), Temporary.string());
  }
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    throwSystemError("rename", Temporary.string());
  syncFolder(Path.parent_path());
}

std::optional<base::Bytes>
readChecksummedFile(const std::filesystem::path &Path) {
  if (!std::filesystem::exists(Path))
    return std::nullopt;
  base::Bytes Data = readFile(Path);
  Decoder Checksum(Data, Path.string());
  std::uint64_t Expected = Checksum.u64();
  Data.erase(Data.begin(), Data.begin() + sizeof Expected);
  if (base::hash64(Data) != Expected)
    throw StorageError(fmt::format("{}: checksum mismatch at offset 0: the "
                                   "file is corrupt",
                                   Path.string()));
  return Data;
}

Encoder &Encoder::u64(std::uint64_t Value) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8)
    Data.push_back(static_cast<std::uint8_t>(Value >> Shift));
  return *this;
}

Encoder &Encoder::bytes(base::ByteView Bytes) {
  Data.insert(Data.end(), Bytes.begin(), Bytes.end());
  return *this;
}

Encoder &Encoder::lengthPrefixed(base::ByteView Bytes) {
  return u64(Bytes.size()).bytes(Bytes);
}

base::ByteView Decoder::takeBytes(std::size_t Count) {
  if (Count > Remaining.size())
    throw StorageError(fmt::format("{}: unexpected end of file", Name));
  base::ByteView Result = Remaining.first(Count);
  Remaining = Remaining.subspan(Count);
  return Result;
}

std::uint64_t Decoder::u64() {
  base::ByteView Encoded = takeBytes(sizeof(std::uint64_t));
  std::uint64_t Value = 0;
  for (std::size_t I = Encoded.size(); I-- > 0;)
    Value = Value << 8U | Encoded[I];
  return Value;
}

base::ByteView Decoder::lengthPrefixedView() { return takeBytes(u64()); }

base::Bytes Decoder::lengthPrefixed() {
  base::ByteView Encoded = lengthPrefixedView();
  return {Encoded.begin(), Encoded.end()};
}

} // namespace amaranth::replication::detail
