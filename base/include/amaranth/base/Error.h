#ifndef AMARANTH_BASE_ERROR_H
#define AMARANTH_BASE_ERROR_H

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::base {

/// Base of the project's exceptions. The message is for operators: it names
/// what failed and the offending value, never a credential.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An operation did not finish in time; whether it took effect is unknown.
class TimeoutError : public Error {
public:
  using Error::Error;
};

/// A peer sent something that the inner protocol does not allow.
class ProtocolError : public Error {
public:
  using Error::Error;
};

/// One fault of a file, found while reading it.
struct FileFault {
  std::string File;
  /// 1-based; 0 when the fault concerns the whole file.
  unsigned Line = 0;
  std::string Section;
  std::string Key;
  std::string Reason;

  /// `file:line: [section] key: reason`, without the parts that are empty.
  std::string message() const;
};

/// A file was refused. Carries all of its faults, not only the first.
class FileError : public Error {
public:
  explicit FileError(std::vector<FileFault> Faults);

  const std::vector<FileFault> &faults() const { return Faults; }

private:
  std::vector<FileFault> Faults;
};

} // namespace amaranth::base

#endif
