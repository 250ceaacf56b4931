#ifndef AMARANTH_FOLLOWER_SRC_CONTROLSEARCH_H
#define AMARANTH_FOLLOWER_SRC_CONTROLSEARCH_H

#include "ControlChooser.h"
#include "amaranth/base/Signal.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/follower/Follower.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace amaranth::follower::detail {

/// An established connection and the freshness of its control process.
struct ControlConnection {
  std::shared_ptr<protocol::Channel> Channel;
  base::Address Process;
  /// The message that the process sent before the subscription.
  control::Currency FirstReport;
  /// When the last `Currency` message or update arrived.
  base::TimePoint LastHeardTime;
  /// As reported in the last `Currency` message.
  base::Millis Staleness;
};

/// Searches for a control process that is current, for a node that has none.
///
/// Processes are dialed side by side, each `DialStagger` after the one before,
/// because a VM without power does not refuse a connection. An open connection
/// proves little, since a process that lags behind accepts too: what counts is
/// the first `Currency` message. Connections that are not used are closed.
class ControlSearch : public std::enable_shared_from_this<ControlSearch> {
public:
  using ConnectionPtr = std::shared_ptr<ControlConnection>;

  /// Bounds the dials of one node that run at the same time.
  static constexpr std::size_t MaxRunningDials = 16;

  /// `Time` and `Dial` must outlive the search and the dials that it started.
  ControlSearch(const FollowerSettings &Settings,
                const boost::asio::any_io_executor &Executor, base::Clock &Time,
                protocol::Dialer &Dial);

  ControlChooser &processes() { return Chooser; }

  /// Asks all known processes but `Excluded` once, and returns the first
  /// connection whose process is current. If there is none, returns the least
  /// stale one of those that answered, or null. Returns null as soon as
  /// `IsNeeded` does not hold.
  boost::asio::awaitable<ConnectionPtr>
  find(std::optional<base::Address> Excluded, std::function<bool()> IsNeeded);
  /// Like `find`, but also returns a stale connection as soon as there is one.
  /// The dials go on, for a later call of `find`.
  boost::asio::awaitable<ConnectionPtr> findAny(std::function<bool()> IsNeeded);

  /// Waits for `Span`, or until a current process has answered.
  boost::asio::awaitable<void> waitForCurrent(base::Millis Span);
  /// Whether a current process has answered whose connection is not used yet.
  bool hasCurrent() const;

  /// Closes the connections that are not used, also those of dials that are
  /// still running, until the next call of `find`. Ends `waitForCurrent`.
  void finish();
  /// Makes `find` check its condition and the known processes again.
  void wake() { Changed.notifyAll(); }

  /// Dials started so far.
  std::uint64_t dials() const { return Dials; }

private:
  boost::asio::awaitable<ConnectionPtr> search(std::set<base::Address> Asked,
                                               std::function<bool()> IsNeeded,
                                               bool AcceptsStale);
  void startDial(const ControlChooser::Choice &Target);
  /// Runs one dial to its end and waits for the first report.
  boost::asio::awaitable<void> dial(base::Address Process);
  /// Throws `base::Error` with the reason if there is no usable report in time.
  boost::asio::awaitable<ConnectionPtr> connect(base::Address Process);
  void onAnswer(ConnectionPtr Answer);
  void onFailure(const base::Address &Process, const std::string &Reason);
  bool isCurrent(const ControlConnection &Answer) const;
  /// Whether a dial of one of these processes is still running.
  bool isAnswerDue(const std::set<base::Address> &Asked) const;
  /// Avoids the processes whose dials are still running, so that the next
  /// search asks the others first.
  void avoidUnanswered(const std::set<base::Address> &Asked);
  /// Whether a dial of the process is running. There is no second one: a
  /// control process closes the older of two connections of a node, which may
  /// be in use.
  bool isBeingDialed(const base::Address &Process) const;
  ConnectionPtr takeCurrent();
  ConnectionPtr takeLeastStale();
  void closeAnswers();

  FollowerSettings Settings;
  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  protocol::Dialer &Dial;
  ControlChooser Chooser;
  base::Signal Changed;
  /// Processes to which a dial is running.
  std::set<base::Address> Running;
  /// Processes that answered, in the order of their answers.
  std::deque<ConnectionPtr> Answers;
  base::TimePoint NextDialTime;
  std::uint64_t Dials = 0;
  /// False while answers are not wanted.
  bool Wanted = false;
};

/// The valid addresses of a list of members.
std::vector<base::Address>
parseMembers(const std::vector<std::string> &Addresses);

} // namespace amaranth::follower::detail

#endif
