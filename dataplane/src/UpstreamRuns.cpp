#include "amaranth/dataplane/UpstreamRuns.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane {

namespace {

/// Runs of a route after which the earlier ones count half.
constexpr double MeanRuns = 100;
/// Requests of callers that are taken for calls add this much at most to the
/// mean number of calls.
constexpr double MeanTolerance = 0.1;
/// Routes come and go with the document.
constexpr std::size_t MaxRoutes = 1000;

} // namespace

UpstreamRuns::Run::Run(UpstreamRuns &Owner, Request Started)
    : Owner(Owner), Id(Owner.NextId++) {
  if (Owner.Routes.size() >= MaxRoutes && !Owner.Routes.contains(Started.Route))
    Owner.Routes.clear();
  RouteCalls &Known = Owner.Routes[Started.Route];
  base::TimePoint Now = Owner.Time.now();
  if (Started.Repeat)
    for (const auto &[Service, Count] : Known.Calls)
      Owner.Budgets.budgetOf(Service).charge(Known.callsOfRepeat(Count), Now);
  if (Known.Runs >= MeanRuns) {
    Known.Runs /= 2;
    for (auto &[Service, Count] : Known.Calls)
      Count /= 2;
  }
  Known.Runs += 1;
  Owner.Running.emplace(Id, std::move(Started));
}

double UpstreamRuns::RouteCalls::callsOfRepeat(double Count) const {
  return Runs == 0 ? 0 : std::max(0.0, std::ceil(Count / Runs - MeanTolerance));
}

bool UpstreamRuns::allowsRepeat(const base::RouteName &Route) {
  auto Known = Routes.find(Route);
  if (Known == Routes.end())
    return true;
  base::TimePoint Now = Time.now();
  for (const auto &[Service, Count] : Known->second.Calls)
    if (!Budgets.budgetOf(Service).hasTokens(Known->second.callsOfRepeat(Count),
                                             Now))
      return false;
  return true;
}

std::vector<const UpstreamRuns::Request *>
UpstreamRuns::candidates(base::TimePoint Deadline) const {
  std::vector<const Request *> SameDeadline;
  std::vector<const Request *> LaterDeadline;
  for (const auto &[Id, Each] : Running) {
    if (Each.Deadline > Deadline)
      LaterDeadline.push_back(&Each);
    else if (Each.Deadline + MaxDelay >= Deadline &&
             (SameDeadline.empty() ||
              Each.Deadline >= SameDeadline.front()->Deadline)) {
      if (!SameDeadline.empty() &&
          Each.Deadline > SameDeadline.front()->Deadline)
        SameDeadline.clear();
      SameDeadline.push_back(&Each);
    }
  }
  return SameDeadline.empty() ? LaterDeadline : SameDeadline;
}

double UpstreamRuns::recordCall(const base::ServiceName &Service,
                                base::TimePoint Deadline) {
  std::vector<const Request *> Candidates = candidates(Deadline);
  if (Candidates.empty())
    return 0;
  double Part = 1.0 / static_cast<double>(Candidates.size());
  double RepeatShare = 0;
  for (const Request *Each : Candidates) {
    RepeatShare += Each->Repeat ? Part : 0;
    Routes[Each->Route].Calls[Service] += Part;
  }
  return std::min(RepeatShare, 1.0);
}

} // namespace amaranth::dataplane
