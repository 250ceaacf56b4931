#include "amaranth/dataplane/QuotaAsker.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane {

namespace {

constexpr double MillisPerSecond = 1000;
constexpr std::uint32_t MaxTokensAtOnce = 5000;
constexpr base::Millis UnknownRetryAfter = base::Millis::seconds(1);

} // namespace

void QuotaDemand::count(base::TimePoint Now) {
  Recent =
      perSecond(Now) * static_cast<double>(Window.count()) / MillisPerSecond +
      1;
  UpdatedAt = Now;
}

double QuotaDemand::perSecond(base::TimePoint Now) const {
  auto Elapsed = static_cast<double>((Now - UpdatedAt).count());
  auto WindowMs = static_cast<double>(Window.count());
  return Recent * std::exp(-Elapsed / WindowMs) * MillisPerSecond / WindowMs;
}

void QuotaAsker::setShards(std::uint32_t Count) { Shards.resize(Count); }

void QuotaAsker::dropExpired(base::TimePoint Now) {
  std::erase_if(Tokens, [&](const Lease &Each) {
    return Each.Count == 0 || Now - Each.SentAt >= TokenLifetime;
  });
}

std::uint32_t QuotaAsker::tokens(base::TimePoint Now) const {
  std::uint32_t Sum = 0;
  for (const Lease &Each : Tokens)
    if (Now - Each.SentAt < TokenLifetime)
      Sum += Each.Count;
  return Sum;
}

base::Millis QuotaAsker::tokenAge(base::TimePoint Now) const {
  return Tokens.empty() ? base::Millis(0) : Now - Tokens.back().SentAt;
}

void QuotaAsker::add(std::uint64_t Request, base::TimePoint Deadline,
                     base::TimePoint Now) {
  Demand.count(Now);
  // The last place is refused by `decide` at once.
  Waiting.push_back({Request, Waiting.size() < MaxWaiting ? Deadline : Now});
}

std::optional<QuotaAsker::Ask> QuotaAsker::nextAsk(double Random,
                                                   base::TimePoint Now) {
  std::uint32_t InFlight = 0;
  for (const Shard &Part : Shards) {
    InFlight += Part.Asked;
    // One ask at a time: what arrives meanwhile is asked for together.
    if (Part.Asked > 0 && Now - Part.AskedAt < SlowAnswer)
      return std::nullopt;
  }
  double Advance =
      std::floor(Demand.perSecond(Now) *
                 static_cast<double>(AdvanceTime.count()) / MillisPerSecond);
  if (Advance < MinAdvance)
    Advance = 0;
  double Needed = static_cast<double>(Waiting.size()) + Advance -
                  static_cast<double>(InFlight + tokens(Now));
  // In advance only when half of the tokens are used, to save messages.
  if (Needed < 1 || (Waiting.empty() && Needed < Advance / 2))
    return std::nullopt;
  auto Free = std::ranges::count_if(
      Shards, [&](const Shard &Part) { return mayAsk(Part, Now); });
  if (Free == 0)
    return std::nullopt;
  auto Skip = std::min<std::ptrdiff_t>(
      Free - 1,
      static_cast<std::ptrdiff_t>(Random * static_cast<double>(Free)));
  for (std::size_t I = 0; I < Shards.size(); ++I) {
    if (!mayAsk(Shards[I], Now) || Skip-- > 0)
      continue;
    Ask Result;
    Result.Shard = static_cast<std::uint32_t>(I);
    Result.Tokens =
        static_cast<std::uint32_t>(std::min<double>(Needed, MaxTokensAtOnce));
    if (!Waiting.empty())
      Result.MaxWait = std::max(base::Millis(0), Waiting.back().Deadline - Now);
    Shards[I].Asked = Result.Tokens;
    Shards[I].AskedAt = Now;
    return Result;
  }
  return std::nullopt;
}

void QuotaAsker::addTokens(std::uint32_t Count, base::TimePoint SentAt) {
  if (Count == 0)
    return;
  Tokens.push_back({Count, SentAt});
  EmptyShards = 0;
}

void QuotaAsker::onAnswer(std::uint32_t Index, base::TimePoint Now) {
  if (Index < Shards.size())
    Shards[Index] = {0, Now, Now, Now, Now};
}

void QuotaAsker::onEmpty(std::uint32_t Index, bool Granted,
                         base::Millis RetryAfter, base::TimePoint Now) {
  if (Index >= Shards.size())
    return;
  Shards[Index] = {0, Now, Now + std::min(RetryAfter, MaxPause),
                   Now + RetryAfter, Now + RetryAfter};
  EmptyShards = Granted ? 0 : EmptyShards + 1;
  if (EmptyShards < MaxEmptyShards)
    return;
  EmptyShards = 0;
  AllEmptyUntil = Shards[Index].PausedUntil;
  for (const Shard &Part : Shards)
    if (Part.PausedUntil > Now)
      AllEmptyUntil = std::min(AllEmptyUntil, Part.PausedUntil);
}

void QuotaAsker::onNoOwner(std::uint32_t Index, base::Millis RetryAfter,
                           base::TimePoint Now) {
  if (Index < Shards.size())
    Shards[Index] = {0, Now, Now + NoOwnerPause, Now + NoOwnerPause,
                     Now + std::max(RetryAfter, NoOwnerPause)};
}

std::vector<QuotaAsker::Outcome> QuotaAsker::decide(base::TimePoint Now) {
  dropExpired(Now);
  std::vector<Outcome> Result;
  while (!Waiting.empty() && !Tokens.empty()) {
    // The oldest token expires first.
    Result.push_back({Waiting.front().Request, true, {}});
    Waiting.pop_front();
    if (--Tokens.front().Count == 0)
      Tokens.pop_front();
  }
  if (Waiting.empty())
    return Result;
  // A shard that is being asked, or may be, can have a token for any request.
  bool AllEmpty = true;
  auto Useful = base::TimePoint::max();
  auto Expected =
      Shards.empty() ? Now + UnknownRetryAfter : base::TimePoint::max();
  for (const Shard &Part : Shards) {
    // A shard that was not asked because others were empty.
    if (Part.Asked == 0 && Part.PausedUntil <= Now && AllEmptyUntil > Now)
      continue;
    AllEmpty = AllEmpty && Part.Asked == 0 && Part.PausedUntil > Now;
    Useful = std::min(Useful, Part.UsefulAt);
    Expected = std::min(Expected, Part.ExpectedAt);
  }
  base::Millis RetryAfter = std::max(base::Millis(1), Expected - Now);
  std::erase_if(Waiting, [&](const Waiter &Each) {
    if (Now < Each.Deadline && !(AllEmpty && Useful > Each.Deadline))
      return false;
    Result.push_back({Each.Request, false, RetryAfter});
    return true;
  });
  return Result;
}

} // namespace amaranth::dataplane
