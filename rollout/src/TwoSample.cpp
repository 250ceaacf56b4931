#include "TwoSample.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout::detail {

Scores errorScores(const EvidenceCounts &Counts) {
  Scores Result;
  Result.Ones = static_cast<double>(Counts.Errors);
  Result.Zeros = static_cast<double>(Counts.Requests - Counts.Errors);
  return Result;
}

Scores latencyScores(const EvidenceCounts &Counts, std::size_t Bucket,
                     double Ratio) {
  double Edge = static_cast<double>(Bucket + 1) + 2 * std::log2(Ratio);
  Scores Result;
  Result.PartialScore = std::floor(Edge) + 1 - Edge;
  for (std::size_t I = 0; I < LatencyBuckets; ++I) {
    auto Count = static_cast<double>(Counts.Latency[I]);
    if (static_cast<double>(I) >= Edge)
      Result.Ones += Count;
    if (static_cast<double>(I) < Edge && static_cast<double>(I + 1) > Edge)
      Result.Partials += Count;
    if (static_cast<double>(I + 1) <= Edge)
      Result.Zeros += Count;
  }
  return Result;
}

Rates projectOntoNull(const Rates &Alternative, double Tolerance,
                      double OldCount, double NewCount) {
  double Low = Alternative.Old;
  double High = Alternative.New - Tolerance;
  // Bisects 30 times, which is far more precise than the likelihood requires.
  for (int I = 0; I < 30; ++I) {
    double Old = (Low + High) / 2;
    double New = Old + Tolerance;
    double Slope = OldCount * (Old - Alternative.Old) / (Old * (1 - Old)) +
                   NewCount * (New - Alternative.New) / (New * (1 - New));
    (Slope < 0 ? Low : High) = Old;
  }
  double Old = (Low + High) / 2;
  return {Old, Old + Tolerance};
}

double logLikelihoodRatio(const Scores &Values, double Rate, double NullRate) {
  double One = Rate / NullRate;
  double Zero = (1 - Rate) / (1 - NullRate);
  double Sum = Values.Ones * std::log(One) + Values.Zeros * std::log(Zero);
  if (Values.Partials > 0)
    Sum += Values.Partials * std::log(Values.PartialScore * One +
                                      (1 - Values.PartialScore) * Zero);
  return Sum;
}

double logEValue(const Scores &Old, const Scores &New, const Rates &Alternative,
                 double Tolerance) {
  Rates Null =
      projectOntoNull(Alternative, Tolerance, Old.total(), New.total());
  return logLikelihoodRatio(Old, Alternative.Old, Null.Old) +
         logLikelihoodRatio(New, Alternative.New, Null.New);
}

} // namespace amaranth::rollout::detail
