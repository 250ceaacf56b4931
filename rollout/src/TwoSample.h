#ifndef AMARANTH_ROLLOUT_TWOSAMPLE_H
#define AMARANTH_ROLLOUT_TWOSAMPLE_H

#include "amaranth/rollout/EvidenceWindow.h"

#include <cstddef>

namespace amaranth::rollout::detail {

/// Request results as scores from 0 to 1: `Ones` have score 1, `Zeros` score 0
/// and `Partials` score `PartialScore`.
struct Scores {
  double Ones = 0;
  double Zeros = 0;
  double Partials = 0;
  double PartialScore = 0;

  double total() const { return Ones + Zeros + Partials; }
};

Scores errorScores(const EvidenceCounts &Counts);

/// Scores latencies above the upper edge of bucket `Bucket` times `Ratio` with
/// 1. In the bucket that contains this threshold, the score is the part of the
/// bucket above it on the logarithmic scale.
Scores latencyScores(const EvidenceCounts &Counts, std::size_t Bucket,
                     double Ratio);

/// Rates of both versions under one hypothesis.
struct Rates {
  double Old = 0;
  double New = 0;
};

/// Returns the point of {New <= Old + Tolerance} that is closest to
/// `Alternative` in relative entropy, for the given numbers of requests.
/// Requires 0 < Old < Old + Tolerance < New < 1.
Rates projectOntoNull(const Rates &Alternative, double Tolerance,
                      double OldCount, double NewCount);

/// Returns the log e-value of a block against the null hypothesis that the mean
/// score of the new version is at most that of the old one plus `Tolerance`.
double logEValue(const Scores &Old, const Scores &New, const Rates &Alternative,
                 double Tolerance);

/// Returns the log likelihood ratio of the scores, `Rate` against `NullRate`.
double logLikelihoodRatio(const Scores &Values, double Rate, double NullRate);

} // namespace amaranth::rollout::detail

#endif
