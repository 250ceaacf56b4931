#ifndef AMARANTH_CTL_SRC_CLIENT_H
#define AMARANTH_CTL_SRC_CLIENT_H

#include "amaranth/ctl/Network.h"

#include <ostream>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// A change whose outcome is unknown at the time limit.
class UnknownOutcome : public base::Error {
public:
  using base::Error::Error;
};

/// What one of several servers answered.
struct ServerReply {
  std::string Server;
  /// Status 0 when there was no answer.
  HttpReply Reply;
  /// Why the server has no usable answer; empty when it has one.
  std::string Problem;
};

/// Talks to the first server that can answer.
class Client {
public:
  /// The references must outlive the object.
  Client(Network &Net, std::vector<base::Address> Servers, std::string Key,
         base::Millis Timeout, std::ostream &Err);

  /// Tries each server once. Throws `Unreachable` when none is current or
  /// answers.
  HttpReply get(const std::string &Target);

  /// Asks every server once and shares the rest of the time limit among them.
  /// Never throws for a server that cannot answer.
  std::vector<ServerReply> getAll(const std::string &Target);

  /// Sends a change, and again with the same body while its outcome is
  /// unknown. Throws `Unreachable` when it was certainly not applied and
  /// `UnknownOutcome` at the time limit.
  HttpReply apply(const std::string &Body);

  /// Sends a change that must not be repeated, to one server after the other
  /// until one may have applied it. Throws `Unreachable` when it was certainly
  /// not applied and `UnknownOutcome` when it may have been.
  HttpReply postOnce(const std::string &Target, const std::string &Body);

private:
  enum class Outcome { Final, NotApplied, Unknown };
  Outcome sendChange(const base::Address &Server, const HttpRequest &Request,
                     bool Sent, HttpReply &Reply);
  base::Millis attemptTimeout();
  void reportProblem(const base::Address &Server, const std::string &Text);

  Network &Net;
  std::vector<base::Address> Servers;
  std::string Key;
  base::TimePoint Deadline;
  std::ostream &Err;
  std::string LastProblem;
};

} // namespace amaranth::ctl

#endif
