#ifndef AMARANTH_REPLICATION_FILES_H
#define AMARANTH_REPLICATION_FILES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/replication/Storage.h"

#include <filesystem>
#include <initializer_list>
#include <optional>
#include <utility>

namespace amaranth::replication::detail {

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
  FileDescriptor() = default;
  /// Opens the file with the flags of open(2). Throws a `StorageError` that
  /// contains the path.
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

/// Writes all of `Data`. `Name` is used in error messages.
void writeFully(int File, base::ByteView Data, const std::string &Name);
void syncFile(int File, const std::string &Name);
/// Makes the creation, renaming and removal of files in the folder durable.
void syncFolder(const std::filesystem::path &Folder);
base::Bytes readFile(const std::filesystem::path &Path);
/// Reads up to `Size` bytes from `Offset` on; fewer at the end of the file.
base::Bytes readFilePart(const std::filesystem::path &Path,
                         std::uint64_t Offset, std::size_t Size);

/// Atomically and durably replaces the file by a checksum followed by `Parts`,
/// one after the other. After a crash, the file has either its old or its new
/// contents.
void replaceChecksummedFile(const std::filesystem::path &Path,
                            std::initializer_list<base::ByteView> Parts);
/// Returns the data of a file written by `replaceChecksummedFile`, or nothing
/// if the file does not exist. Throws `StorageError` if the checksum does not
/// match.
std::optional<base::Bytes>
readChecksummedFile(const std::filesystem::path &Path);

/// Encodes the fixed file formats in little-endian byte order.
class Encoder {
public:
  Encoder &u64(std::uint64_t Value);
  Encoder &bytes(base::ByteView Data);
  /// Appends the length of `Data` as 64-bit integer, then `Data`.
  Encoder &lengthPrefixed(base::ByteView Data);
  base::Bytes Data;
};

/// Decodes the output of `Encoder`. Throws `StorageError` if the input is too
/// short.
class Decoder {
public:
  /// `Name` is used in error messages.
  Decoder(base::ByteView Data, std::string Name)
      : Remaining(Data), Name(std::move(Name)) {}
  std::uint64_t u64();
  base::Bytes lengthPrefixed();
  /// Like `lengthPrefixed`, but refers to the input instead of copying it.
  base::ByteView lengthPrefixedView();
  bool atEnd() const { return Remaining.empty(); }

private:
  base::ByteView takeBytes(std::size_t Count);

  base::ByteView Remaining;
  std::string Name;
};

} // namespace amaranth::replication::detail

#endif
