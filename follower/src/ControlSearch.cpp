#include "ControlSearch.h"

#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::follower::detail {

std::vector<base::Address>
parseMembers(const std::vector<std::string> &Addresses) {
  std::vector<base::Address> Result;
  for (const std::string &Text : Addresses)
    if (auto Address = base::parseAddress(Text))
      Result.push_back(*Address);
  return Result;
}

ControlSearch::ControlSearch(const FollowerSettings &Settings,
                             const asio::any_io_executor &Executor,
                             base::Clock &Time, protocol::Dialer &Dial)
    : Settings(Settings), Executor(Executor), Time(Time), Dial(Dial),
      Chooser(Settings.Node, Settings.Zone, Settings.ControlProcesses),
      Changed(Executor) {}

asio::awaitable<ControlSearch::ConnectionPtr>
ControlSearch::find(std::optional<base::Address> Excluded,
                    std::function<bool()> IsNeeded) {
  std::set<base::Address> Asked;
  if (Excluded)
    Asked.insert(*Excluded);
  return search(std::move(Asked), std::move(IsNeeded), false);
}

asio::awaitable<ControlSearch::ConnectionPtr>
ControlSearch::findAny(std::function<bool()> IsNeeded) {
  return search({}, std::move(IsNeeded), true);
}

asio::awaitable<ControlSearch::ConnectionPtr>
ControlSearch::search(std::set<base::Address> Asked,
                      std::function<bool()> IsNeeded, bool AcceptsStale) {
  auto Self = shared_from_this();
  Wanted = true;
  base::TimePoint LastAsked = Time.now();
  while (IsNeeded()) {
    if (ConnectionPtr Current = takeCurrent())
      co_return Current;
    if (AcceptsStale && !Answers.empty())
      co_return takeLeastStale();
    base::TimePoint Now = Time.now();
    auto Target = Chooser.next(Now, Asked);
    bool IsFull = Running.size() >= MaxRunningDials;
    bool IsRunning = Target && isBeingDialed(Target->Process.Address);
    if (Target && (IsRunning || (!IsFull && Now >= NextDialTime))) {
      Asked.insert(Target->Process.Address);
      if (!IsRunning)
        startDial(*Target);
      LastAsked = Now;
      continue;
    }
    base::TimePoint End = LastAsked + Settings.DialTimeout;
    if (!Target && (!isAnswerDue(Asked) || Now >= End)) {
      avoidUnanswered(Asked);
      ConnectionPtr LeastStale = takeLeastStale();
      closeAnswers();
      co_return LeastStale;
    }
    // While the limit is reached, the end of a dial notifies.
    base::TimePoint NextDial =
        IsFull ? Now + Settings.MaxDialTime : NextDialTime;
    co_await Time.waitFor(Changed, Target ? NextDial : End);
  }
  co_return nullptr;
}

bool ControlSearch::isAnswerDue(const std::set<base::Address> &Asked) const {
  return std::any_of(
      Running.begin(), Running.end(),
      [&](const base::Address &Process) { return Asked.contains(Process); });
}

void ControlSearch::avoidUnanswered(const std::set<base::Address> &Asked) {
  for (const base::Address &Process : Running)
    if (Asked.contains(Process))
      Chooser.avoid(Process, Time.now());
}

void ControlSearch::startDial(const ControlChooser::Choice &Target) {
  const base::Address &Process = Target.Process.Address;
  base::logger("follower")
      ->info(
          "dialing control process control={} known_as={} failed_recently={} "
          "dials_running={} processes_known={}",
          Process.text(), Target.IsMember ? "member" : "seed", Target.IsAvoided,
          Running.size(), Chooser.size());
  ++Dials;
  Running.insert(Process);
  NextDialTime = Time.now() + Settings.DialStagger;
  asio::co_spawn(
      Executor,
      [Self = shared_from_this(), Process]() -> asio::awaitable<void> {
        co_await Self->dial(Process);
      },
      asio::detached);
}

asio::awaitable<void> ControlSearch::dial(base::Address Process) {
  std::string Reason;
  ConnectionPtr Answer;
  try {
    Answer = co_await connect(Process);
  } catch (const base::Error &Failure) {
    Reason = Failure.what();
  }
  Running.erase(Process);
  if (Answer)
    onAnswer(std::move(Answer));
  else
    onFailure(Process, Reason);
  Changed.notifyAll();
}

asio::awaitable<ControlSearch::ConnectionPtr>
ControlSearch::connect(base::Address Process) {
  base::TimePoint End = Time.now() + Settings.MaxDialTime;
  auto Answer = std::make_shared<ControlConnection>();
  Answer->Process = Process;
  Answer->Channel = co_await Dial.dial(Process, Settings.MaxDialTime);
  std::string Reason;
  try {
    // The address of a VM that is gone may be in use by a node.
    if (Answer->Channel->peer().ProcessRole != protocol::Role::Control)
      throw base::ProtocolError("the peer is not a control process");
    auto First = co_await base::withTimeout(Time, End - Time.now(),
                                            Answer->Channel->receive());
    if (!First)
      throw base::TimeoutError("no currency message in time");
    if (First->Type != protocol::MessageType::Currency)
      throw base::ProtocolError(
          fmt::format("message type {} before a currency message",
                      static_cast<unsigned>(First->Type)));
    Answer->FirstReport = control::decodeCurrency(First->Payload);
    Answer->Staleness = Answer->FirstReport.SinceCurrent;
    Answer->LastHeardTime = Time.now();
    co_return Answer;
  } catch (const base::Error &Failure) {
    Reason = Failure.what();
  }
  Answer->Channel->close(Reason);
  throw base::Error(Reason);
}

void ControlSearch::onAnswer(ConnectionPtr Answer) {
  const control::Currency &Report = Answer->FirstReport;
  Chooser.setMembers(Report.Applied, parseMembers(Report.Controls));
  if (!isCurrent(*Answer)) {
    base::logger("follower")
        ->info("control process is not current control={} stale_ms={} "
               "applied={}",
               Answer->Process.text(), Answer->Staleness.count(),
               Report.Applied.value());
    Chooser.avoid(Answer->Process, Time.now());
    NextDialTime = Time.now();
  }
  if (Wanted)
    Answers.push_back(std::move(Answer));
  else
    Answer->Channel->close("no further connection is needed");
}

void ControlSearch::onFailure(const base::Address &Process,
                              const std::string &Reason) {
  base::logger("follower")
      ->info("cannot connect to control process control={} error=\"{}\"",
             Process.text(), Reason);
  Chooser.avoid(Process, Time.now());
  NextDialTime = Time.now();
}

bool ControlSearch::isCurrent(const ControlConnection &Answer) const {
  return Answer.Staleness < Settings.MaxStaleness;
}

bool ControlSearch::isBeingDialed(const base::Address &Process) const {
  return Running.contains(Process);
}

ControlSearch::ConnectionPtr ControlSearch::takeCurrent() {
  std::erase_if(Answers, [](const ConnectionPtr &Answer) {
    return !Answer->Channel->isOpen();
  });
  auto Found = std::find_if(
      Answers.begin(), Answers.end(),
      [this](const ConnectionPtr &Answer) { return isCurrent(*Answer); });
  if (Found == Answers.end())
    return nullptr;
  ConnectionPtr Result = std::move(*Found);
  Answers.erase(Found);
  return Result;
}

ControlSearch::ConnectionPtr ControlSearch::takeLeastStale() {
  auto Found = std::min_element(
      Answers.begin(), Answers.end(),
      [](const ConnectionPtr &Left, const ConnectionPtr &Right) {
        return Left->Staleness < Right->Staleness;
      });
  if (Found == Answers.end())
    return nullptr;
  ConnectionPtr Result = std::move(*Found);
  Answers.erase(Found);
  return Result;
}

bool ControlSearch::hasCurrent() const {
  return std::any_of(Answers.begin(), Answers.end(),
                     [this](const ConnectionPtr &Answer) {
                       return Answer->Channel->isOpen() && isCurrent(*Answer);
                     });
}

asio::awaitable<void> ControlSearch::waitForCurrent(base::Millis Span) {
  auto Self = shared_from_this();
  base::TimePoint End = Time.now() + Span;
  while (Wanted && !hasCurrent() && Time.now() < End)
    co_await Time.waitFor(Changed, End);
}

void ControlSearch::finish() {
  if (!Wanted)
    return;
  Wanted = false;
  closeAnswers();
  Changed.notifyAll();
}

void ControlSearch::closeAnswers() {
  // Heartbeats would keep unused connections open indefinitely.
  for (const ConnectionPtr &Answer : std::exchange(Answers, {}))
    Answer->Channel->close("no further connection is needed");
}

} // namespace amaranth::follower::detail
