#include "ClaimTable.h"

#include "CommandResults.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxIdBytes = 512;
constexpr std::size_t MaxHeaderBytes = 8U << 10U;
constexpr std::size_t MaxReleased = 200'000;
constexpr std::size_t KeyBytes = 16;

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdBytes;
}

std::size_t headerBytes(const StoredResponse &Value) {
  std::size_t Bytes = 0;
  for (const auto &[Name, Content] : Value.Headers)
    Bytes += Name.size() + Content.size();
  return Bytes;
}

bool fits(const StoredResponse &Value) {
  return Value.Body.size() <= MaxStoredBody &&
         headerBytes(Value) <= MaxHeaderBytes;
}

} // namespace

ClaimTable::Key ClaimTable::keyOf(const base::ServiceName &Service,
                                  const std::string &Text) {
  base::Bytes Mac =
      base::hmacSha256(base::asBytes(Service.value()), base::asBytes(Text));
  return {Mac.begin(), Mac.begin() + KeyBytes};
}

CommandResult ClaimTable::claim(const Claim &Request, base::WallTime Now) {
  if (!isId(Request.Service.value()) || !isId(Request.IdempotencyKey) ||
      !isId(Request.Attempt))
    return makeResult(
        ResultCode::Invalid,
        "a claim needs a service, a key and an attempt id of 1 to "
        "512 bytes");
  Key Id = keyOf(Request.Service, Request.IdempotencyKey);
  if (auto It = Records.find(Id); It != Records.end())
    return repeated(It->second, Request);
  if (Released.contains(Request.Attempt))
    return makeResult(ResultCode::Conflict, "this attempt was released before");
  if (Records.size() >= MaxClaims)
    return makeResult(ResultCode::Busy, "the table of claims is full");
  insert(Id,
         {Request.RequestHash, Request.Attempt, Now, false, std::nullopt, 0});
  return makeResult(ResultCode::Accepted);
}

CommandResult ClaimTable::repeated(const Record &Known,
                                   const Claim &Request) const {
  if (Known.RequestHash != Request.RequestHash)
    return makeResult(ResultCode::Conflict,
                      "the idempotency key was used for another request");
  if (Known.Response) {
    CommandResult Result = makeResult(ResultCode::Replay);
    Result.Stored = Known.Response;
    return Result;
  }
  if (!Known.Finished && Known.Attempt == Request.Attempt)
    return makeResult(ResultCode::Accepted);
  return makeResult(ResultCode::Taken);
}

CommandResult ClaimTable::finish(const FinishClaim &Request) {
  auto It = Records.find(keyOf(Request.Service, Request.IdempotencyKey));
  if (It == Records.end() || It->second.Attempt != Request.Attempt)
    return makeResult(ResultCode::Conflict, "the claim is not of this attempt");
  Record &Known = It->second;
  if (!Known.Finished && Request.Response && fits(*Request.Response))
    storeResponse(Known, *Request.Response);
  Known.Finished = true;
  return makeResult(ResultCode::Accepted);
}

CommandResult ClaimTable::release(const ReleaseClaim &Request,
                                  base::WallTime Now) {
  if (!isId(Request.Attempt))
    return makeResult(ResultCode::Invalid, "a release needs an attempt id");
  auto It = Records.find(keyOf(Request.Service, Request.IdempotencyKey));
  bool Held = It != Records.end() && It->second.Attempt == Request.Attempt;
  if (Held && It->second.Finished)
    return makeResult(ResultCode::Conflict, "the claim is finished");
  // The release may overtake the claim in the log. Without this memory the
  // claim would then stay taken by an attempt that gave up.
  remember(Request.Attempt, Now);
  if (!Held)
    return makeResult(ResultCode::Accepted);
  AMARANTH_INVARIANT(It->second.Attempt == Request.Attempt &&
                         !It->second.Finished,
                     "a taken claim was freed by another attempt");
  erase(It);
  return makeResult(ResultCode::Accepted);
}

void ClaimTable::expire(base::WallTime Now) {
  while (!Order.empty()) {
    auto It = Records.find(Order.begin()->second);
    if (It->second.Time + ClaimRetention > Now)
      break;
    AMARANTH_INVARIANT(Now - It->second.Time >= ClaimRetention,
                       "a claim was freed before its retention ended");
    erase(It);
  }
  while (!ReleasedOrder.empty() &&
         (ReleasedOrder.front().second + ReleaseMemory <= Now ||
          ReleasedOrder.size() > MaxReleased)) {
    Released.erase(ReleasedOrder.front().first);
    ReleasedOrder.pop_front();
  }
}

void ClaimTable::insert(const Key &Id, Record Value) {
  Value.Serial = NextSerial++;
  Order.emplace(Value.Serial, Id);
  auto [It, Added] = Records.emplace(Id, std::move(Value));
  AMARANTH_INVARIANT(Added, "a claim was granted twice");
  if (It->second.Response) {
    WithResponse.insert(It->second.Serial);
    StoredBytes +=
        It->second.Response->Body.size() + headerBytes(*It->second.Response);
  }
}

void ClaimTable::storeResponse(Record &Into, const StoredResponse &Response) {
  Into.Response = Response;
  WithResponse.insert(Into.Serial);
  StoredBytes += Response.Body.size() + headerBytes(Response);
  while (StoredBytes > MaxStoredTotal)
    dropResponse(Records.at(Order.at(*WithResponse.begin())));
}

void ClaimTable::dropResponse(Record &From) {
  if (!From.Response)
    return;
  StoredBytes -= From.Response->Body.size() + headerBytes(*From.Response);
  WithResponse.erase(From.Serial);
  From.Response.reset();
}

void ClaimTable::erase(Table::iterator It) {
  dropResponse(It->second);
  Order.erase(It->second.Serial);
  Records.erase(It);
}

void ClaimTable::remember(const std::string &Attempt, base::WallTime Now) {
  if (Released.insert(Attempt).second)
    ReleasedOrder.emplace_back(Attempt, Now);
}

Offset<flatbuffers::Vector<Offset<wire::ClaimRecord>>>
ClaimTable::write(Builder &Out) const {
  std::vector<Offset<wire::ClaimRecord>> List;
  List.reserve(Records.size());
  for (const auto &[Serial, Id] : Order) {
    const Record &Value = Records.at(Id);
    auto KeyData = Out.CreateVector(
        reinterpret_cast<const std::uint8_t *>(Id.data()), Id.size());
    auto Attempt = Out.CreateString(Value.Attempt);
    Offset<wire::StoredResponse> Response;
    if (Value.Response)
      Response = writeResponse(Out, *Value.Response);
    List.push_back(wire::CreateClaimRecord(Out, KeyData, Value.RequestHash,
                                           Attempt, Value.Time.count(),
                                           Value.Finished, Response));
  }
  return Out.CreateVector(List);
}

Offset<flatbuffers::Vector<Offset<wire::ReleasedAttempt>>>
ClaimTable::writeReleased(Builder &Out) const {
  std::vector<Offset<wire::ReleasedAttempt>> List;
  for (const auto &[Attempt, Time] : ReleasedOrder) {
    auto Text = Out.CreateString(Attempt);
    List.push_back(wire::CreateReleasedAttempt(Out, Text, Time.count()));
  }
  return Out.CreateVector(List);
}

void ClaimTable::read(const wire::ControlSnapshot &From) {
  for (const wire::ClaimRecord *Entry : *From.claims()) {
    Key Id(Entry->key()->begin(), Entry->key()->end());
    if (Id.size() != KeyBytes || Records.contains(Id))
      throw base::ProtocolError("malformed claim in a snapshot");
    Record Value{Entry->request_hash(),
                 Entry->attempt()->str(),
                 base::WallTime(Entry->time()),
                 Entry->finished(),
                 std::nullopt,
                 0};
    if (Entry->response())
      Value.Response = readResponse(*Entry->response());
    insert(Id, std::move(Value));
  }
  for (const wire::ReleasedAttempt *Entry : *From.released())
    remember(Entry->attempt()->str(), base::WallTime(Entry->time()));
}

} // namespace amaranth::control::detail
