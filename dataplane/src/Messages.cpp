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

/// Longer than any shutdown; keeps sums of times in range.
constexpr base::Millis MaxEndsIn = base::Millis::seconds(86'400);

using WireFields = flatbuffers::Vector<Offset<wire::HeaderField>>;

Offset<WireFields> encodeFields(FlatBufferBuilder &Out, const Headers &Fields) {
  std::vector<Offset<wire::HeaderField>> Offsets;
  Offsets.reserve(Fields.size());
  for (const auto &[Name, Value] : Fields)
    Offsets.push_back(wire::CreateHeaderField(Out, Out.CreateString(Name),
                                              Out.CreateString(Value)));
  return Out.CreateVector(Offsets);
}

/// Prevents header injection and request smuggling: with CR, LF or NUL in a
/// message head, a peer could add fields or whole messages to an HTTP
/// connection.
void rejectControlCharacters(std::string_view Text) {
  bool Valid = std::ranges::all_of(Text, [](char Character) {
    return Character != '\r' && Character != '\n' && Character != '\0';
  });
  if (!Valid)
    throw base::ProtocolError("control character in a message head");
}

Headers decodeFields(const WireFields *Fields) {
  Headers Result;
  if (!Fields)
    return Result;
  if (Fields->size() > MaxHeaderCount)
    throw base::ProtocolError("too many header fields");
  for (const wire::HeaderField *Field : *Fields) {
    Result.emplace_back(Field->name()->str(), Field->value()->str());
    rejectControlCharacters(Result.back().first);
    rejectControlCharacters(Result.back().second);
  }
  if (!withinLimits(Result))
    throw base::ProtocolError("header fields exceed the size limit");
  return Result;
}

Offset<wire::Load> encodeLoad(FlatBufferBuilder &Out,
                              const UpstreamLoad &Load) {
  return wire::CreateLoad(
      Out, Load.InFlight, Load.Queued, Load.Slots,
      static_cast<std::uint32_t>(Load.ServiceTime.count()),
      static_cast<std::uint32_t>(Load.QueueWait.count()),
      static_cast<std::uint32_t>(Load.LinkBacklog.count()),
      Load.Work ? Load.Work->count() : -1,
      static_cast<std::uint32_t>(Load.RouteServiceTime.count()),
      static_cast<std::uint32_t>(Load.Transit.count()));
}

UpstreamLoad decodeLoad(const wire::Load *Load) {
  if (!Load)
    return {};
  return {Load->in_flight(),
          Load->queued(),
          Load->slots(),
          base::Millis(Load->service_ms()),
          base::Millis(Load->wait_ms()),
          base::Millis(Load->link_ms()),
          Load->work_ms() < 0 ? std::nullopt
                              : std::optional(base::Millis(Load->work_ms())),
          base::Millis(Load->route_service_ms()),
          base::Millis(Load->transit_ms())};
}

template <typename Table> BodyPiece decodePiece(base::ByteView Payload) {
  const auto &Piece = protocol::readTable<Table>(Payload);
  BodyPiece Result;
  if (Piece.data()) {
    if (Piece.data()->size() > MaxPieceBytes)
      throw base::ProtocolError("body piece exceeds the limit");
    Result.Data.assign(Piece.data()->begin(), Piece.data()->end());
  }
  Result.End = Piece.end();
  return Result;
}

} // namespace

std::string reasonText(RefusalReason Reason) {
  std::string Result;
  for (const char *Character = wire::EnumNameRefusalReason(
           static_cast<wire::RefusalReason>(Reason));
       *Character; ++Character) {
    if (std::isupper(static_cast<unsigned char>(*Character)) && !Result.empty())
      Result.push_back('-');
    Result.push_back(static_cast<char>(
        std::tolower(static_cast<unsigned char>(*Character))));
  }
  return Result;
}

std::string_view outcomeText(ExecutionOutcome Outcome) {
  return Outcome == ExecutionOutcome::NotRun ? "not-run" : "unknown";
}

base::Bytes encode(const RequestHead &Head) {
  FlatBufferBuilder Out;
  auto Service = Out.CreateString(Head.Service.value());
  auto Version = Out.CreateString(Head.Version.value());
  auto Method = Out.CreateString(Head.Method);
  auto Target = Out.CreateString(Head.Target);
  auto Fields = encodeFields(Out, Head.Fields);
  auto Attempt = Out.CreateString(Head.Attempt);
  Offset<flatbuffers::String> Key;
  if (Head.IdempotencyKey)
    Key = Out.CreateString(*Head.IdempotencyKey);
  auto Caller = Out.CreateString(Head.CallerService.value());
  auto Route = Out.CreateString(Head.Route.value());
  auto CallerAttempt = Out.CreateString(Head.CallerAttempt);
  Offset<flatbuffers::String> Customer;
  if (!Head.Customer.value().empty())
    Customer = Out.CreateString(Head.Customer.value());
  Out.Finish(wire::CreateRequestHead(
      Out, Service, Version, Method, Target, Fields, Head.Remaining.count(),
      Attempt, Key, Head.RequestHash, Head.Fingerprint, Head.BodyLength, Caller,
      Route, CallerAttempt, Head.Objective.count(), Head.Priority,
      Head.MaxQueueWait ? Head.MaxQueueWait->count() : -1, Head.AtMostOnce,
      Head.Sent.count(), Head.Suspect, Customer, Head.CustomersInForce,
      Head.Repeat));
  return protocol::takeBuffer(Out);
}

base::Bytes encode(const ResponseHead &Head) {
  FlatBufferBuilder Out;
  auto Fields = encodeFields(Out, Head.Fields);
  auto Load = encodeLoad(Out, Head.Load);
  Out.Finish(wire::CreateResponseHead(Out,
                                      static_cast<std::uint16_t>(Head.Status),
                                      Fields, Head.BodyLength, Load));
  return protocol::takeBuffer(Out);
}

base::Bytes encode(const Refusal &Value) {
  FlatBufferBuilder Out;
  auto Text = Out.CreateString(Value.Text);
  auto Load = encodeLoad(Out, Value.Load);
  Out.Finish(
      wire::CreateRefusal(Out, static_cast<wire::Outcome>(Value.Outcome),
                          static_cast<wire::RefusalReason>(Value.Reason), Text,
                          static_cast<std::uint32_t>(Value.RetryAfter.count()),
                          Load, Value.Suspect));
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

base::Bytes encode(const WindowUpdate &Value) {
  FlatBufferBuilder Out(64);
  std::int64_t EndsIn = Value.EndsIn ? Value.EndsIn->count() : -1;
  Out.Finish(wire::CreateWindow(Out, Value.Bytes, EndsIn));
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
  rejectControlCharacters(Head.Method);
  rejectControlCharacters(Head.Target);
  if (Head.Method.empty() || Head.Target.empty() ||
      Head.Target.size() > MaxHeaderBytes)
    throw base::ProtocolError("malformed request head");
  Head.Fields = decodeFields(Table.headers());
  Head.Remaining = base::Millis(Table.remaining_ms());
  Head.Attempt = Table.attempt()->str();
  rejectControlCharacters(Head.Attempt);
  if (Table.idempotency_key())
    Head.IdempotencyKey = Table.idempotency_key()->str();
  Head.RequestHash = Table.request_hash();
  Head.Fingerprint = Table.fingerprint();
  Head.BodyLength = Table.body_length();
  if (Table.caller_service())
    Head.CallerService = base::ServiceName(Table.caller_service()->str());
  rejectControlCharacters(Head.CallerService.value());
  if (Table.route())
    Head.Route = base::RouteName(Table.route()->str());
  if (Table.caller_attempt())
    Head.CallerAttempt = Table.caller_attempt()->str();
  rejectControlCharacters(Head.CallerAttempt);
  Head.Objective = base::Millis(Table.objective_ms());
  Head.Priority = Table.priority();
  if (Table.patience_ms() >= 0)
    Head.MaxQueueWait = base::Millis(Table.patience_ms());
  Head.AtMostOnce = Table.runs_once();
  if (Table.sent_boot_ms() < 0)
    throw base::ProtocolError("negative departure time in a request head");
  Head.Sent = base::BootTime(Table.sent_boot_ms());
  Head.Suspect = Table.suspect();
  if (Table.customer())
    Head.Customer = base::CustomerName(Table.customer()->str());
  rejectControlCharacters(Head.Customer.value());
  Head.CustomersInForce = Table.customers_in_force();
  Head.Repeat = Table.repeat();
  return Head;
}

ResponseHead decodeResponseHead(base::ByteView Payload) {
  const auto &Table = protocol::readTable<wire::ResponseHead>(Payload);
  ResponseHead Head;
  Head.Status = Table.status();
  Head.Fields = decodeFields(Table.headers());
  Head.BodyLength = Table.body_length();
  Head.Load = decodeLoad(Table.load());
  if (Head.Status < 200 || Head.Status > 999)
    throw base::ProtocolError("malformed response head");
  return Head;
}

Refusal decodeRefusal(base::ByteView Payload) {
  const auto &Table = protocol::readTable<wire::Refusal>(Payload);
  Refusal Result;
  // Outcome values that this process does not know are treated as unknown.
  if (Table.outcome() == wire::Outcome::NotRun)
    Result.Outcome = ExecutionOutcome::NotRun;
  Result.Reason = static_cast<RefusalReason>(Table.reason());
  if (Table.text())
    Result.Text = Table.text()->str();
  Result.RetryAfter = base::Millis(Table.retry_after_ms());
  Result.Load = decodeLoad(Table.load());
  Result.Suspect = Table.suspect();
  return Result;
}

BodyPiece decodeRequestData(base::ByteView Payload) {
  return decodePiece<wire::RequestData>(Payload);
}

BodyPiece decodeResponseData(base::ByteView Payload) {
  return decodePiece<wire::ResponseData>(Payload);
}

WindowUpdate decodeWindow(base::ByteView Payload) {
  const auto &In = protocol::readTable<wire::Window>(Payload);
  WindowUpdate Value{In.bytes(), std::nullopt};
  if (In.ends_in_ms() >= 0)
    Value.EndsIn = std::min(base::Millis(In.ends_in_ms()), MaxEndsIn);
  return Value;
}

} // namespace amaranth::dataplane
