#include "amaranth/control/DocumentService.h"

#include "amaranth/base/Log.h"

#include <fmt/ranges.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

const char *outcomeName(ChangeOutcome Outcome) {
  switch (Outcome) {
  case ChangeOutcome::Accepted:
    return "accepted";
  case ChangeOutcome::Conflict:
    return "conflict";
  case ChangeOutcome::Invalid:
    return "invalid";
  case ChangeOutcome::Unavailable:
    return "unavailable";
  case ChangeOutcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

ChangeResult toChangeResult(const CommandResult &Answer) {
  std::string Reason = fmt::format("{}", fmt::join(Answer.Messages, "; "));
  switch (Answer.Code) {
  case ResultCode::Accepted:
    return {ChangeOutcome::Accepted, Reason};
  case ResultCode::Conflict:
    return {ChangeOutcome::Conflict, Reason};
  case ResultCode::Busy:
    return {ChangeOutcome::Unavailable, Reason};
  default:
    return {ChangeOutcome::Invalid, Reason};
  }
}

} // namespace

asio::awaitable<bool> DocumentService::confirmCurrent(const char *Purpose) {
  std::string Reason;
  try {
    co_await Log.readIndex(Timeouts.Read);
    co_return true;
  } catch (const base::Error &Failure) {
    Reason = Failure.what();
  }
  base::logger("operator")
      ->warn("read index failed purpose={} applied={} "
             "since_current_ms={} reason=\"{}\"",
             Purpose, Log.appliedIndex().value(), Log.staleness().count(),
             Reason);
  co_return false;
}

asio::awaitable<ChangeResult> DocumentService::propose(Command Request) {
  ChangeResult Result;
  try {
    base::Bytes Encoded = encodeCommand(Request);
    base::Bytes Answer =
        co_await Log.propose(std::move(Encoded), Timeouts.Propose);
    Result = toChangeResult(decodeResult(Answer));
  } catch (const replication::NotLeader &Failure) {
    Result = {ChangeOutcome::Unavailable, Failure.what()};
  } catch (const replication::RequestRejected &Failure) {
    Result = {ChangeOutcome::Invalid, Failure.what()};
  } catch (const base::Error &Failure) {
    Result = {ChangeOutcome::Unknown, Failure.what()};
  }
  co_return Result;
}

asio::awaitable<ChangeResult>
DocumentService::replace(base::OperatorName Requester,
                         document::WholeDocument Next,
                         base::DocumentLabel Base) {
  ChangeResult Result;
  base::DocumentLabel Label = Next.Label;
  std::uint64_t Digest = Next.digest();
  std::vector<std::string> Faults = Next.submissionFaults();
  bool IsCurrent = false;
  if (Faults.empty())
    IsCurrent = co_await confirmCurrent("replace");
  if (!Faults.empty()) {
    Result = {ChangeOutcome::Invalid,
              fmt::format("{}", fmt::join(Faults, "; "))};
  } else if (!IsCurrent) {
    Result = {ChangeOutcome::Unavailable,
              "this process cannot prove that it is current"};
  } else if (auto Decided = State.checkReplacementLabels(Label, Base, Digest)) {
    Result = toChangeResult(*Decided);
  } else {
    ReplaceDocument Request{
        Requester, document::computeChange(*State.wholeDocument(), Next)};
    Command Proposal(std::move(Request));
    Result = co_await propose(std::move(Proposal));
  }
  base::logger("operator")
      ->info("document replacement operator={} label={} base={} current={} "
             "digest={:x} outcome={} applied={} reason=\"{}\"",
             Requester.value(), Label.value(), Base.value(),
             State.wholeDocument()->Label.value(), Digest,
             outcomeName(Result.Outcome), Log.appliedIndex().value(),
             Result.Reason.substr(0, 200));
  co_return Result;
}

asio::awaitable<std::shared_ptr<const document::WholeDocument>>
DocumentService::read() {
  // A named result, because g++ 12 miscompiles `co_return` of a null pointer
  // here.
  std::shared_ptr<const document::WholeDocument> Result;
  bool Current = co_await confirmCurrent("read");
  if (Current) {
    Result = State.wholeDocument();
    base::logger("operator")
        ->info("document read label={} applied={}", Result->Label.value(),
               Log.appliedIndex().value());
  }
  co_return Result;
}

asio::awaitable<ChangeResult>
DocumentService::startRollout(StartRollout Request) {
  std::string Service = Request.Service.value();
  std::string To = Request.To.value();
  base::Millis Duration = Request.Duration;
  Command Proposal(std::move(Request));
  ChangeResult Result = co_await propose(std::move(Proposal));
  base::logger("operator")
      ->info("rollout order service={} to={} duration_ms={} outcome={} "
             "reason=\"{}\"",
             Service, To, Duration.count(), outcomeName(Result.Outcome),
             Result.Reason);
  co_return Result;
}

bool DocumentService::knowsZone(const base::AvailabilityZone &Zone) const {
  if (Zone == OwnZone)
    return true;
  if (!Nodes)
    return false;
  auto Known = Nodes->nodes();
  return std::any_of(Known.begin(), Known.end(),
                     [&](const NodeStatus &Node) { return Node.Zone == Zone; });
}

asio::awaitable<ChangeResult>
DocumentService::setEvacuation(base::OperatorName Requester,
                               base::AvailabilityZone Zone, bool Active) {
  ChangeResult Result{ChangeOutcome::Unavailable,
                      "this process cannot prove that it is current"};
  // `SetEvacuation::Seen` must cover all orders acknowledged before this one.
  bool IsCurrent = co_await confirmCurrent("evacuation");
  if (IsCurrent) {
    SetEvacuation Request{Requester, Zone, Active, Log.appliedIndex(),
                          knowsZone(Zone)};
    Command Proposal(std::move(Request));
    Result = co_await propose(std::move(Proposal));
  }
  base::logger("operator")
      ->info("evacuation order operator={} zone={} active={} outcome={} "
             "reason=\"{}\"",
             Requester.value(), Zone.value(), Active,
             outcomeName(Result.Outcome), Result.Reason);
  co_return Result;
}

asio::awaitable<RolloutLookup>
DocumentService::rollout(base::ServiceName Service) {
  RolloutLookup Result;
  Result.Current = co_await confirmCurrent("rollout");
  for (TimedRollout &Entry : State.timedRollouts())
    if (Entry.Service == Service)
      Result.Last = std::move(Entry);
  co_return Result;
}

} // namespace amaranth::control
