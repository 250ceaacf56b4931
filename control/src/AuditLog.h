#ifndef AMARANTH_CONTROL_SRC_AUDITLOG_H
#define AMARANTH_CONTROL_SRC_AUDITLOG_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"

#include <deque>
#include <unordered_map>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxAuditEntries = 100'000;
/// Limit on the memory of the entries. It is reached before `MaxAuditEntries`
/// when the texts are long.
inline constexpr std::size_t MaxAuditBytes = 16U << 20U;

/// Truncates `Text` to at most `Max` bytes without splitting a UTF-8 character.
void truncateUtf8(std::string &Text, std::size_t Max);

/// The newest entries of the audit trail, within limits of number and bytes.
class AuditLog {
public:
  /// Truncates long texts, so that an entry takes at most about 1 KiB.
  void add(AuditEntry Entry);
  std::vector<AuditEntry> newest(std::size_t Limit) const;

  Offset<flatbuffers::Vector<Offset<wire::AuditRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  std::deque<AuditEntry> Entries;
  std::size_t StoredBytes = 0;
};

inline constexpr std::size_t MaxOperations = 10'000;
inline constexpr base::Millis OperationRetention =
    base::Millis::seconds(86'400);
/// Total size of all stored results. 10,000 results of typical size take about
/// 2 MiB.
inline constexpr std::size_t MaxOperationResultBytes = 32U << 20U;

/// Results of operators' changes by operation id. Each operator has a separate
/// id space.
class OperationLog {
public:
  struct Record {
    /// Hash of the change, to detect an id that is reused for another change.
    std::uint64_t ContentHash = 0;
    base::WallTime Time;
    base::Bytes Result;
  };

  /// Result of the first execution of the operation, or null.
  const Record *find(const ApplySections &Request) const;
  void add(const ApplySections &Request, Record Value);
  void expire(base::WallTime Now);

  Offset<flatbuffers::Vector<Offset<wire::OperationRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  void addKey(std::string Key, Record Value);
  void dropOldest();

  std::unordered_map<std::string, Record> Records;
  /// Keys in order of creation.
  std::deque<std::string> Order;
  std::size_t StoredBytes = 0;
};

/// Hash of the section names, expected revisions and bodies of a change.
std::uint64_t contentHash(const ApplySections &Request);

} // namespace amaranth::control::detail

#endif
