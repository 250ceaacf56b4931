#ifndef AMARANTH_REPLICATION_FILES_H
#define AMARANTH_REPLICATION_FILES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/replication/Storage.h"

#include <filesystem>
#include <optional>
#include <utility>

namespace amaranth::replication::detail {

/// Owns a file descriptor.
class Descriptor {
public:
  Descriptor() = default;
  /// Throws `StorageError` naming the path.
  Descriptor(const std::filesystem::path &Path, int Flags);
  ~Descriptor();
  Descriptor(Descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  Descriptor &operator=(Descriptor &&Other) noexcept {
    std::swap(Number, Other.Number);
    return *this;
  }

  int number() const { return Number; }
  bool isOpen() const { return Number >= 0; }

private:
  int Number = -1;
};

void writeFully(int File, base::ByteView Data, const std::string &Name);
void syncFile(int File, const std::string &Name);
void syncFolder(const std::filesystem::path &Folder);
base::Bytes readWhole(const std::filesystem::path &Path);

/// Replaces `Path` by `Data` with a checksum in front, durably: a crash
/// leaves the old or the new file.
void replaceChecked(const std::filesystem::path &Path, base::ByteView Data);
/// The data of such a file, nothing when it is absent. Throws
/// `StorageError` when the checksum does not match.
std::optional<base::Bytes> readChecked(const std::filesystem::path &Path);

/// Small little-endian writer and reader for the fixed file formats.
class Encoder {
public:
  Encoder &u64(std::uint64_t Value);
  Encoder &raw(base::ByteView Data);
  /// Length and data.
  Encoder &block(base::ByteView Data);
  base::Bytes Data;
};

class Decoder {
public:
  /// `Name` is used in errors.
  Decoder(base::ByteView Data, std::string Name)
      : Rest(Data), Name(std::move(Name)) {}
  std::uint64_t u64();
  base::Bytes block();

private:
  base::ByteView take(std::size_t Count);

  base::ByteView Rest;
  std::string Name;
};

} // namespace amaranth::replication::detail

#endif
