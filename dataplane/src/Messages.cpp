#include "amaranth/dataplane/Messages.h"

#include "amaranth/protocol/Frame.h"
#include "exchange_generated.h"

#include <algorithm>
#include <cctype>

namespace amaranth::dataplane {

namespace wire = protocol::wire;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

namespace {

using WireFields = flatbuffers::Vector<Offset<wire::HeaderField>>;

Offset<WireFields> putFields(FlatBufferBuilder &Out, const Headers &Fields) {
  std::vector<Offset<wire::HeaderField>> Offsets;
  Offsets.reserve(Fields.size());
  for (const auto &[Name, Value] : Fields)
    Offsets.push_back(wire::CreateHeaderField(Out, Out.CreateString(Name),
                                              Out.CreateString(Value)));
  return Out.CreateVector(Offsets);
}

/// A line break or a NUL in a name or value would let a peer add fields or
/// whole messages to an HTTP connection.
void requireClean(std::string_view Text) {
  bool Clean = std::ranges::all_of(Text, [](char Letter) {
    return Letter != '\r' && Letter != '\n' && Letter != '\0';
  });
  if (!Clean)
    throw base::ProtocolError("control character in a message head");
}

Headers takeFields(const WireFields *Fields) {
  Headers Result;
  if (!Fields)
    return Result;
  if (Fields->size() > MaxHeaderCount)
    throw base::ProtocolError("too many header fields");
  for (const wire::HeaderField *Field : *Fields) {
    Result.emplace_back(Field->name()->str(), Field->value()->str());
    requireClean(Result.back().first);
    requireClean(Result.back().second);
  }
  if (!withinLimits(Result))
    throw base::ProtocolError("header fields are too large");
  return Result;
}

Offset<wire::Load> putLoad(FlatBufferBuilder &Out, const Load &Work) {
  return wire::CreateLoad(Out, Work.InFlight, Work.Queued, Work.Slots,
                          static_cast<std::uint32_t>(Work.Service.count()),
                          static_cast<std::uint32_t>(Work.Wait.count()),
                          static_cast<std::uint32_t>(Work.Link.count()));
}

Load takeLoad(const wire::Load *Work) {
  if (!Work)
    return {};
  return {Work->in_flight(),
          Work->queued(),
          Work->slots(),
          base::Millis(Work->service_ms()),
          base::Millis(Work->wait_ms()),
          base::Millis(Work->link_ms())};
}

template <typename Table> BodyPiece takePiece(base::ByteView Payload) {
  const auto &Piece = protocol::readTable<Table>(Payload);
  BodyPiece Result;
  if (Piece.data()) {
    if (Piece.data()->size() > MaxPieceBytes)
      throw base::ProtocolError("piece of a body is too large");
    Result.Data.assign(Piece.data()->begin(), Piece.data()->end());
  }
  Result.End = Piece.end();
  return Result;
}

} // namespace

std::string reasonText(Reason Why) {
  std::string Result;
  for (const char *Letter =
           wire::EnumNameRefusalReason(static_cast<wire::RefusalReason>(Why));
       *Letter; ++Letter) {
    if (std::isupper(static_cast<unsigned char>(*Letter)) && !Result.empty())
      Result.push_back('-');
    Result.push_back(
        static_cast<char>(std::tolower(static_cast<unsigned char>(*Letter))));
  }
  return Result;
}

std::string_view outcomeText(Outcome What) {
  return What == Outcome::NotRun ? "not-run" : "unknown";
}

base::Bytes encode(const RequestHead &Head) {
  FlatBufferBuilder Out;
  auto Service = Out.CreateString(Head.Service.value());
  auto Version = Out.CreateString(Head.Version.value());
  auto Method = Out.CreateString(Head.Method);
  auto Target = Out.CreateString(Head.Target);
  auto Fields = putFields(Out, Head.Fields);
  auto Attempt = Out.CreateString(Head.Attempt);
  Offset<flatbuffers::String> Key;
  if (Head.IdempotencyKey)
    Key = Out.CreateString(*Head.IdempotencyKey);
  auto Caller = Out.CreateString(Head.CallerService.value());
  auto Route = Out.CreateString(Head.Route.value());
  auto CallerAttempt = Out.CreateString(Head.CallerAttempt);
  Out.Finish(wire::CreateRequestHead(
      Out, Service, Version, Method, Target, Fields, Head.Remaining.count(),
      Attempt, Key, Head.RequestHash, Head.Fingerprint, Head.BodyLength, Caller,
      Route, CallerAttempt, Head.Objective.count(), Head.Priority,
      Head.Patience ? Head.Patience->count() : -1, Head.RunsOnce));
  return protocol::takeBuffer(Out);
}

base::Bytes encode(const ResponseHead &Head) {
  FlatBufferBuilder Out;
  auto Fields = putFields(Out, Head.Fields);
  auto Work = putLoad(Out, Head.Work);
  Out.Finish(wire::CreateResponseHead(Out,
                                      static_cast<std::uint16_t>(Head.Status),
                                      Fields, Head.BodyLength, Work));
  return protocol::takeBuffer(Out);
}

base::Bytes encode(const Refusal &Value) {
  FlatBufferBuilder Out;
  auto Text = Out.CreateString(Value.Text);
  auto Work = putLoad(Out, Value.Work);
  Out.Finish(wire::CreateRefusal(
      Out, static_cast<wire::Outcome>(Value.What),
      static_cast<wire::RefusalReason>(Value.Why), Text,
      static_cast<std::uint32_t>(Value.RetryAfter.count()), Work));
  return protocol::takeBuffer(Out);
}

base::Bytes encodeRequestData(base::ByteView Data, bool End) {
  FlatBufferBuilder Out(Data.size() + 64);
  auto Piece = Out.CreateVector(Data.data(), Data.size());
  Out.Finish(wire::CreateRequestData(Out, Piece, End));
  return protocol::takeBuffer(Out);
}

base::Bytes encodeResponseData(base::ByteView Data, bool End) {
  FlatBufferBuilder Out(Data.size() + 64);
  auto Piece = Out.CreateVector(Data.data(), Data.size());
  Out.Finish(wire::CreateResponseData(Out, Piece, End));
  return protocol::takeBuffer(Out);
}

base::Bytes encodeWindow(std::uint32_t Bytes) {
  FlatBufferBuilder Out(64);
  Out.Finish(wire::CreateWindow(Out, Bytes));
  return protocol::takeBuffer(Out);
}

base::Bytes encodeCancel() {
  FlatBufferBuilder Out(64);
  Out.Finish(wire::CreateCancel(Out));
  return protocol::takeBuffer(Out);
}

RequestHead decodeRequestHead(base::ByteView Payload) {
  const auto &Table = protocol::readTable<wire::RequestHead>(Payload);
  RequestHead Head;
  Head.Service = base::ServiceName(Table.service()->str());
  Head.Version = base::VersionName(Table.version()->str());
  Head.Method = Table.method()->str();
  Head.Target = Table.target()->str();
  requireClean(Head.Method);
  requireClean(Head.Target);
  if (Head.Method.empty() || Head.Target.empty() ||
      Head.Target.size() > MaxHeaderBytes)
    throw base::ProtocolError("malformed request head");
  Head.Fields = takeFields(Table.headers());
  Head.Remaining = base::Millis(Table.remaining_ms());
  Head.Attempt = Table.attempt()->str();
  requireClean(Head.Attempt);
  if (Table.idempotency_key())
    Head.IdempotencyKey = Table.idempotency_key()->str();
  Head.RequestHash = Table.request_hash();
  Head.Fingerprint = Table.fingerprint();
  Head.BodyLength = Table.body_length();
  if (Table.caller_service())
    Head.CallerService = base::ServiceName(Table.caller_service()->str());
  requireClean(Head.CallerService.value());
  if (Table.route())
    Head.Route = base::RouteName(Table.route()->str());
  if (Table.caller_attempt())
    Head.CallerAttempt = Table.caller_attempt()->str();
  requireClean(Head.CallerAttempt);
  Head.Objective = base::Millis(Table.objective_ms());
  Head.Priority = Table.priority();
  if (Table.patience_ms() >= 0)
    Head.Patience = base::Millis(Table.patience_ms());
  Head.RunsOnce = Table.runs_once();
  return Head;
}

ResponseHead decodeResponseHead(base::ByteView Payload) {
  const auto &Table = protocol::readTable<wire::ResponseHead>(Payload);
  ResponseHead Head;
  Head.Status = Table.status();
  Head.Fields = takeFields(Table.headers());
  Head.BodyLength = Table.body_length();
  Head.Work = takeLoad(Table.load());
  if (Head.Status < 200 || Head.Status > 999)
    throw base::ProtocolError("malformed response head");
  return Head;
}

Refusal decodeRefusal(base::ByteView Payload) {
  const auto &Table = protocol::readTable<wire::Refusal>(Payload);
  Refusal Result;
  // An outcome that this process does not know is treated as unknown.
  if (Table.outcome() == wire::Outcome::NotRun)
    Result.What = Outcome::NotRun;
  Result.Why = static_cast<Reason>(Table.reason());
  if (Table.text())
    Result.Text = Table.text()->str();
  Result.RetryAfter = base::Millis(Table.retry_after_ms());
  Result.Work = takeLoad(Table.load());
  return Result;
}

BodyPiece decodeRequestData(base::ByteView Payload) {
  return takePiece<wire::RequestData>(Payload);
}

BodyPiece decodeResponseData(base::ByteView Payload) {
  return takePiece<wire::ResponseData>(Payload);
}

std::uint32_t decodeWindow(base::ByteView Payload) {
  return protocol::readTable<wire::Window>(Payload).bytes();
}

} // namespace amaranth::dataplane
