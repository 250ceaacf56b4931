#ifndef AMARANTH_CONTROL_SRC_AUDITLOG_H
#define AMARANTH_CONTROL_SRC_AUDITLOG_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"

#include <deque>
#include <unordered_map>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxAuditEntries = 100'000;

/// Shortens `Text` to at most `Max` bytes without splitting a UTF-8 character.
void cutText(std::string &Text, std::size_t Max);

/// The newest entries of the audit trail.
class AuditLog {
public:
  /// Long texts are cut, so that one entry has at most about 1 KiB.
  void add(AuditEntry Entry);
  std::vector<AuditEntry> newest(std::size_t Limit) const;

  Offset<flatbuffers::Vector<Offset<wire::AuditRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  std::deque<AuditEntry> Entries;
};

inline constexpr std::size_t MaxOperations = 10'000;
inline constexpr base::Millis OperationRetention =
    base::Millis::seconds(86'400);
/// Bytes of all stored results together. 10,000 results of usual size take
/// about 2 MiB.
inline constexpr std::size_t MaxOperationBytes = 32U << 20U;

/// Results of operators' changes by operation id. Ids of different operators
/// are independent.
class OperationLog {
public:
  struct Record {
    /// Hash of the change, to notice an id that is used twice.
    std::uint64_t Content = 0;
    base::WallTime Time;
    base::Bytes Result;
  };

  /// The first result of the operation, or null.
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
  /// Keys in the order of creation.
  std::deque<std::string> Order;
  std::size_t Bytes = 0;
};

/// Hash of the sections, revisions and bodies of a change.
std::uint64_t contentOf(const ApplySections &Request);

} // namespace amaranth::control::detail

#endif
