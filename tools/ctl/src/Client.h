#ifndef AMARANTH_CTL_SRC_CLIENT_H
#define AMARANTH_CTL_SRC_CLIENT_H

#include "amaranth/ctl/Network.h"

#include <ostream>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// It is unknown whether a change was applied.
class UnknownOutcome : public base::Error {
public:
  using base::Error::Error;
};

/// Response of one of several servers.
struct ServerReply {
  std::string Server;
  /// The status is 0 when no response was received.
  HttpReply Reply;
  /// Why there is no usable response; empty when there is one.
  std::string Problem;
};

/// Sends requests to a list of servers with failover.
class Client {
public:
  /// The references must outlive the object.
  Client(Network &Net, std::vector<base::Address> Servers, std::string Key,
         base::Millis Timeout, std::ostream &Err);

  /// Tries each server once, in order, and returns the first response other
  /// than 503. Throws `Unreachable` when there is none.
  HttpReply get(const std::string &Target);

  /// Queries every server once, dividing the remaining time among those not
  /// yet queried. A server that fails is reported in its `ServerReply`, not as
  /// an exception.
  std::vector<ServerReply> getAll(const std::string &Target);

  /// Sends a change and resends the same body while its outcome is unknown.
  /// Throws `Unreachable` when the change was definitely not applied and
  /// `UnknownOutcome` when the time limit expires.
  HttpReply apply(const std::string &Body) { return post("/v1/apply", Body); }
  /// The same for another idempotent change.
  HttpReply post(const std::string &Target, const std::string &Body);

  /// Sends a non-idempotent change, trying the next server only while the
  /// change was definitely not applied. Throws `Unreachable` when no server
  /// applied it and `UnknownOutcome` when one may have.
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
