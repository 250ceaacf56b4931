#include "amaranth/dataplane/UpstreamRuns.h"

#include <algorithm>

namespace amaranth::dataplane {

namespace {

/// Runs of a route after which the earlier ones count half.
constexpr double MeanRuns = 100;
/// Routes come and go with the document.
constexpr std::size_t MaxRoutes = 1000;
/// A call is taken to be limited by itself and not by its request if it waits
/// as long as any call of its route, but for this time.
constexpr base::Millis LimitTolerance = base::Millis(20);
/// Calls of a repeat relative to those of any run of the route. The run had to
/// fail first, and one with more calls fails more often.
constexpr double RepeatFactor = 1.3;
/// Fewer calls of a repeat may be callers' requests that were taken for calls.
constexpr double MinCallsOfRepeat = 0.25;

} // namespace

UpstreamRuns::Run::Run(UpstreamRuns &Owner, Request Started)
    : Owner(Owner), OwnerLifetime(Owner.Lifetime), Id(Owner.NextId++) {
  base::TimePoint Now = Owner.Time.now();
  RouteCalls &Known = Owner.callsOf(Started.Route);
  if (Started.Repeat)
    for (const auto &[Service, Count] : Known.Calls)
      Owner.Budgets.budgetOf(Service).charge(Known.perRepeat(Count), Now);
  if (Known.Runs >= MeanRuns) {
    Known.Runs /= 2;
    Known.RunningMs /= 2;
    for (auto &[Service, Count] : Known.Calls)
      Count /= 2;
  }
  Known.Runs += 1;
  Owner.Running.emplace(Id, Entry{std::move(Started), Now});
}

UpstreamRuns::Run::~Run() {
  if (OwnerLifetime.expired())
    return;
  auto Ended = Owner.Running.find(Id);
  Owner.callsOf(Ended->second.For.Route).RunningMs +=
      static_cast<double>((Owner.Time.now() - Ended->second.StartedAt).count());
  Owner.Running.erase(Ended);
}

UpstreamRuns::RouteCalls &UpstreamRuns::callsOf(const base::RouteName &Route) {
  if (Routes.size() >= MaxRoutes && !Routes.contains(Route))
    Routes.clear();
  return Routes[Route];
}

double UpstreamRuns::RouteCalls::perRepeat(double Count) const {
  return Runs == 0 ? 0 : RepeatFactor * Count / Runs;
}

double UpstreamRuns::RouteCalls::rate(const base::ServiceName &Service) const {
  // As if one call had been seen in a second, so that a new route counts too.
  constexpr double PriorCalls = 1;
  constexpr double PriorMs = 1'000;
  auto Found = Calls.find(Service);
  double Count = Found == Calls.end() ? 0 : Found->second;
  return (Count + PriorCalls) / (RunningMs + PriorMs);
}

bool UpstreamRuns::allowsRepeat(const base::RouteName &Route) {
  base::TimePoint Now = Time.now();
  const RouteCalls &Known = callsOf(Route);
  return std::ranges::all_of(Known.Calls, [&](const auto &Item) {
    double Count = Known.perRepeat(Item.second);
    return Count < MinCallsOfRepeat ||
           Budgets.budgetOf(Item.first).hasTokens(Count, Now);
  });
}

bool UpstreamRuns::hasOwnLimit(const Call &Made) {
  base::Millis Left = Made.Deadline - Time.now();
  if (LongestWaits.size() >= MaxRoutes && !LongestWaits.contains(Made.Route))
    LongestWaits.clear();
  base::Millis &Longest = LongestWaits[Made.Route];
  Longest = std::max(Longest, Left);
  return Left + LimitTolerance >= Longest;
}

std::vector<const UpstreamRuns::Request *>
UpstreamRuns::candidates(const Call &Made) {
  std::vector<const Request *> SameDeadline;
  std::vector<const Request *> LaterDeadline;
  for (const auto &[Id, Each] : Running) {
    base::TimePoint End = Each.For.Deadline;
    if (End > Made.Deadline)
      LaterDeadline.push_back(&Each.For);
    if (End > Made.Deadline || End + MaxDelay < Made.Deadline)
      continue;
    if (!SameDeadline.empty() && SameDeadline.front()->Deadline < End)
      SameDeadline.clear();
    if (SameDeadline.empty() || SameDeadline.front()->Deadline == End)
      SameDeadline.push_back(&Each.For);
  }
  bool OwnLimit = hasOwnLimit(Made) && !LaterDeadline.empty();
  return OwnLimit || SameDeadline.empty() ? LaterDeadline : SameDeadline;
}

double UpstreamRuns::recordCall(const Call &Made) {
  std::vector<const Request *> Candidates = candidates(Made);
  double Total = 0;
  for (const Request *Each : Candidates)
    Total += callsOf(Each->Route).rate(Made.Service);
  double RepeatShare = 0;
  std::map<base::RouteName, double> Parts;
  for (const Request *Each : Candidates) {
    double Part = callsOf(Each->Route).rate(Made.Service) / Total;
    RepeatShare += Each->Repeat ? Part : 0;
    Parts[Each->Route] += Part;
  }
  for (const auto &[Route, Part] : Parts)
    callsOf(Route).Calls[Made.Service] += Part;
  return std::min(RepeatShare, 1.0);
}

} // namespace amaranth::dataplane
