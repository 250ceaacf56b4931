#ifndef AMARANTH_REPLICATION_FILES_H
#define AMARANTH_REPLICATION_FILES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/replication/Storage.h"

#include <filesystem>
#include <optional>
#include <utility>

namespace amaranth::replication::detail {

/// Owns a file descriptor.
class FileDescriptor {
public:
  FileDescriptor() = default;
  /// Throws `StorageError` naming the path.
  FileDescriptor(const std::filesystem::path &Path, int Flags);
  ~FileDescriptor();
  FileDescriptor(FileDescriptor &&Other) noexcept
      : Fd(std::exchange(Other.Fd, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(Fd, Other.Fd);
    return *this;
  }

  int fd() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }

private:
  int Fd = -1;
};

void writeFully(int File, base::ByteView Data, const std::string &Name);
void syncFile(int File, const std::string &Name);
void syncFolder(const std::filesystem::path &Folder);
base::Bytes readFile(const std::filesystem::path &Path);

/// Replaces `Path` by `Data` with a checksum in front, durably: a crash
/// leaves the old or the new file.
void replaceChecksummedFile(const std::filesystem::path &Path,
                            base::ByteView Data);
/// The data of such a file, nothing when it is absent. Throws
/// `StorageError` when the checksum does not match.
std::optional<base::Bytes>
readChecksummedFile(const std::filesystem::path &Path);

/// Small little-endian writer and reader for the fixed file formats.
class Encoder {
public:
  Encoder &u64(std::uint64_t Value);
  Encoder &bytes(base::ByteView Data);
  /// Length and data.
  Encoder &lengthPrefixed(base::ByteView Data);
  base::Bytes Data;
};

class Decoder {
public:
  /// `Name` is used in errors.
  Decoder(base::ByteView Data, std::string Name)
      : Remaining(Data), Name(std::move(Name)) {}
  std::uint64_t u64();
  base::Bytes lengthPrefixed();

private:
  base::ByteView takeBytes(std::size_t Count);

  base::ByteView Remaining;
  std::string Name;
};

} // namespace amaranth::replication::detail

#endif
