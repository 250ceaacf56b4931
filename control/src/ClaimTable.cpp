#include "ClaimTable.h"

#include "CommandResults.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxIdBytes = 512;
constexpr std::size_t MaxHeaderBytes = 8U << 10U;
constexpr std::size_t MaxReleasedAttempts = 200'000;
constexpr std::size_t KeyHashBytes = 16;

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdBytes;
}

std::size_t headerBytes(const StoredResponse &Value) {
  std::size_t Bytes = 0;
  for (const auto &[Name, Content] : Value.Headers)
    Bytes += Name.size() + Content.size();
  return Bytes;
}

bool isStorable(const StoredResponse &Value) {
  return Value.Body.size() <= MaxStoredBodyBytes &&
         headerBytes(Value) <= MaxHeaderBytes;
}

} // namespace

ClaimTable::Key ClaimTable::hashKey(const base::ServiceName &Service,
                                    const std::string &Text) {
  base::Bytes Mac =
      base::hmacSha256(base::asBytes(Service.value()), base::asBytes(Text));
  return {Mac.begin(), Mac.begin() + KeyHashBytes};
}

CommandResult ClaimTable::claim(const Claim &Request, base::WallTime Now) {
  if (!isId(Request.Service.value()) || !isId(Request.IdempotencyKey) ||
      !isId(Request.Attempt))
    return makeResult(
        ResultCode::Invalid,
        "a claim requires a service, a key and an attempt id of 1 to "
        "512 bytes each");
  Key Id = hashKey(Request.Service, Request.IdempotencyKey);
  if (auto It = Records.find(Id); It != Records.end())
    return answerExisting(It->second, Request);
  if (ReleasedAttempts.contains(Request.Attempt))
    return makeResult(ResultCode::Conflict, "the attempt was already released");
  if (Records.size() >= MaxClaims)
    return makeResult(ResultCode::Busy, "the claim table is full");
  insert(Id,
         {Request.RequestHash, Request.Attempt, Now, false, std::nullopt, 0});
  return makeResult(ResultCode::Accepted);
}

CommandResult ClaimTable::answerExisting(const Record &Existing,
                                         const Claim &Request) const {
  if (Existing.RequestHash != Request.RequestHash)
    return makeResult(
        ResultCode::Conflict,
        "the idempotency key was already used for another request");
  if (Existing.Response) {
    CommandResult Result = makeResult(ResultCode::Replay);
    Result.Stored = Existing.Response;
    return Result;
  }
  if (!Existing.Finished && Existing.Attempt == Request.Attempt)
    return makeResult(ResultCode::Accepted);
  return makeResult(ResultCode::Taken);
}

CommandResult ClaimTable::finish(const FinishClaim &Request) {
  auto It = Records.find(hashKey(Request.Service, Request.IdempotencyKey));
  if (It == Records.end() || It->second.Attempt != Request.Attempt)
    return makeResult(ResultCode::Conflict,
                      "the claim is not held by this attempt");
  Record &Existing = It->second;
  if (!Existing.Finished && Request.Response && isStorable(*Request.Response))
    storeResponse(Existing, *Request.Response);
  Existing.Finished = true;
  return makeResult(ResultCode::Accepted);
}

CommandResult ClaimTable::release(const ReleaseClaim &Request,
                                  base::WallTime Now) {
  if (!isId(Request.Attempt))
    return makeResult(ResultCode::Invalid,
                      "a release requires an attempt id of 1 to 512 bytes");
  auto It = Records.find(hashKey(Request.Service, Request.IdempotencyKey));
  bool Held = It != Records.end() && It->second.Attempt == Request.Attempt;
  if (Held && It->second.Finished)
    return makeResult(ResultCode::Conflict, "the claim is already finished");
  // The release may precede the claim in the log. Unless the attempt is
  // recorded, the later claim would be granted to, and stay held by, an
  // abandoned attempt.
  recordReleased(Request.Attempt, Now);
  if (!Held)
    return makeResult(ResultCode::Accepted);
  AMARANTH_INVARIANT(It->second.Attempt == Request.Attempt &&
                         !It->second.Finished,
                     "a taken claim was freed by another attempt");
  erase(It);
  return makeResult(ResultCode::Accepted);
}

void ClaimTable::expire(base::WallTime Now) {
  while (!KeysBySerial.empty()) {
    auto It = Records.find(KeysBySerial.begin()->second);
    if (It->second.Time + ClaimRetention > Now)
      break;
    AMARANTH_INVARIANT(Now - It->second.Time >= ClaimRetention,
                       "a claim was freed before its retention ended");
    erase(It);
  }
  while (!ReleasesByTime.empty() &&
         (ReleasesByTime.front().second + ReleasedAttemptRetention <= Now ||
          ReleasesByTime.size() > MaxReleasedAttempts)) {
    ReleasedAttempts.erase(ReleasesByTime.front().first);
    ReleasesByTime.pop_front();
  }
}

void ClaimTable::insert(const Key &Id, Record Value) {
  Value.Serial = NextSerial++;
  KeysBySerial.emplace(Value.Serial, Id);
  auto [It, Added] = Records.emplace(Id, std::move(Value));
  AMARANTH_INVARIANT(Added, "a claim was granted twice");
  if (It->second.Response) {
    SerialsWithResponse.insert(It->second.Serial);
    StoredBytes +=
        It->second.Response->Body.size() + headerBytes(*It->second.Response);
  }
}

void ClaimTable::storeResponse(Record &Target, const StoredResponse &Response) {
  Target.Response = Response;
  SerialsWithResponse.insert(Target.Serial);
  StoredBytes += Response.Body.size() + headerBytes(Response);
  while (StoredBytes > MaxStoredResponseBytes)
    dropResponse(Records.at(KeysBySerial.at(*SerialsWithResponse.begin())));
}

void ClaimTable::dropResponse(Record &Target) {
  if (!Target.Response)
    return;
  StoredBytes -= Target.Response->Body.size() + headerBytes(*Target.Response);
  SerialsWithResponse.erase(Target.Serial);
  Target.Response.reset();
}

void ClaimTable::erase(Table::iterator It) {
  dropResponse(It->second);
  KeysBySerial.erase(It->second.Serial);
  Records.erase(It);
}

void ClaimTable::recordReleased(const std::string &Attempt,
                                base::WallTime Now) {
  if (ReleasedAttempts.insert(Attempt).second)
    ReleasesByTime.emplace_back(Attempt, Now);
}

Offset<flatbuffers::Vector<Offset<wire::ClaimRecord>>>
ClaimTable::write(Builder &Out) const {
  std::vector<Offset<wire::ClaimRecord>> List;
  List.reserve(Records.size());
  for (const auto &[Serial, Id] : KeysBySerial) {
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
  for (const auto &[Attempt, Time] : ReleasesByTime) {
    auto Text = Out.CreateString(Attempt);
    List.push_back(wire::CreateReleasedAttempt(Out, Text, Time.count()));
  }
  return Out.CreateVector(List);
}

void ClaimTable::read(const wire::ControlSnapshot &From) {
  for (const wire::ClaimRecord *Entry : *From.claims()) {
    Key Id(Entry->key()->begin(), Entry->key()->end());
    if (Id.size() != KeyHashBytes || Records.contains(Id))
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
    recordReleased(Entry->attempt()->str(), base::WallTime(Entry->time()));
}

} // namespace amaranth::control::detail
