#include "NodeSession.h"
#include "amaranth/base/Log.h"
#include "amaranth/document/SnapshotCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::control::detail {

using protocol::MessageType;

namespace {

bool isAllowedForNodes(const Command &Request) {
  return std::holds_alternative<Claim>(Request) ||
         std::holds_alternative<FinishClaim>(Request) ||
         std::holds_alternative<ReleaseClaim>(Request) ||
         std::holds_alternative<ReportCrash>(Request) ||
         std::holds_alternative<BeginSuspectRun>(Request) ||
         std::holds_alternative<EndSuspectRun>(Request);
}

/// Counts a call as in flight during the lifetime of the object.
class ScopedCallCounter {
public:
  explicit ScopedCallCounter(std::size_t &Count) : Count(Count) { ++Count; }
  ~ScopedCallCounter() { --Count; }
  ScopedCallCounter(const ScopedCallCounter &) = delete;
  ScopedCallCounter &operator=(const ScopedCallCounter &) = delete;

private:
  std::size_t &Count;
};

/// Proposes a command and maps errors of the log to a call status.
asio::awaitable<CallReply> proposeForNode(replication::ReplicatedLog &Log,
                                          base::Bytes Encoded,
                                          base::Millis Timeout) {
  CallReply Answer;
  try {
    Answer.Result = co_await Log.propose(std::move(Encoded), Timeout);
    Answer.Status = CallStatus::Done;
  } catch (const replication::NotLeader &Failure) {
    Answer.Status = CallStatus::NotApplied;
    Answer.Reason = Failure.what();
  } catch (const base::Error &Failure) {
    Answer.Status = CallStatus::Unknown;
    Answer.Reason = Failure.what();
  }
  co_return Answer;
}

EndpointResult makeEndpointResult(const document::Endpoint &Entry) {
  EndpointResult Result;
  Result.Id = Entry.Id;
  Result.Incarnation = Entry.Incarnation;
  Result.Sequence = Entry.Sequence;
  return Result;
}

void fillEndpointResult(const CallReply &Answer, EndpointResult &Result) {
  Result.Reason = Answer.Reason;
  if (Answer.Status != CallStatus::Done)
    return;
  CommandResult Decoded = decodeResult(Answer.Result);
  Result.Committed = Decoded.Code == ResultCode::Accepted;
  // `Busy` means that the endpoint table is full, which may change.
  Result.Retry = Decoded.Code == ResultCode::Busy;
  if (!Decoded.Messages.empty())
    Result.Reason = Decoded.Messages.front();
}

} // namespace

void NodeSession::reply(std::uint64_t Stream, const CallReply &Answer) {
  Channel->post(MessageType::CallReply, Stream, encode(Answer));
}

void NodeSession::replyResult(std::uint64_t Stream, ResultCode Code,
                              std::string Message) {
  CommandResult Result;
  Result.Code = Code;
  Result.Messages.push_back(std::move(Message));
  reply(Stream, {CallStatus::Done, encodeResult(Result), {}});
}

void NodeSession::startCall(std::uint64_t Stream, CallRequest Request) {
  if (CallsInFlight >= Context->Settings.MaxCallsPerNode)
    return reply(Stream,
                 {CallStatus::NotApplied, {}, "too many calls in flight"});
  try {
    if (!isAllowedForNodes(decodeCommand(Request.Command)))
      return replyResult(Stream, ResultCode::Forbidden,
                         "the command is not allowed for nodes");
  } catch (const base::ProtocolError &Failure) {
    return replyResult(Stream, ResultCode::Malformed, Failure.what());
  }
  asio::co_spawn(
      Context->Executor,
      [Self = shared_from_this(), Stream, Request = std::move(Request)]()
          -> asio::awaitable<void> { co_await Self->runCall(Stream, Request); },
      asio::detached);
}

asio::awaitable<void> NodeSession::runCall(std::uint64_t Stream,
                                           CallRequest Request) {
  ScopedCallCounter Counter(CallsInFlight);
  base::Millis Timeout =
      std::min(Request.Timeout, Context->Settings.ProposeTimeout);
  CallReply Answer = co_await proposeForNode(
      Context->Log, std::move(Request.Command), Timeout);
  reply(Stream, Answer);
}

void NodeSession::startEndpointUpdate(document::Endpoint Entry) {
  if (Entry.Node != Node) {
    EndpointResult Refusal = makeEndpointResult(Entry);
    Refusal.Retry = false;
    Refusal.Reason =
        fmt::format("endpoint {} belongs to node {}, but was sent by node {}",
                    Entry.Id.value(), Entry.Node.value(), Node.value());
    base::logger("control")->warn("endpoint update rejected reason=\"{}\"",
                                  Refusal.Reason);
    return Channel->post(MessageType::EndpointUpdate, 0, encode(Refusal));
  }
  // The update is dropped: the node resends updates that get no response.
  if (CallsInFlight >= Context->Settings.MaxCallsPerNode)
    return;
  asio::co_spawn(
      Context->Executor,
      [Self = shared_from_this(), Entry = std::move(Entry)]()
          -> asio::awaitable<void> { co_await Self->commitEndpoint(Entry); },
      asio::detached);
}

asio::awaitable<void> NodeSession::commitEndpoint(document::Endpoint Entry) {
  ScopedCallCounter Counter(CallsInFlight);
  EndpointResult Result = makeEndpointResult(Entry);
  PutEndpoint Request{std::move(Entry)};
  base::Bytes Encoded = encodeCommand(Command(std::move(Request)));
  CallReply Answer = co_await proposeForNode(Context->Log, std::move(Encoded),
                                             Context->Settings.ProposeTimeout);
  try {
    fillEndpointResult(Answer, Result);
  } catch (const base::ProtocolError &Failure) {
    Result.Reason = Failure.what();
  }
  Result.Applied = Context->Log.appliedIndex();
  Channel->post(MessageType::EndpointUpdate, 0, encode(Result));
}

} // namespace amaranth::control::detail
