#ifndef AMARANTH_BENCH_DECISIONTABLE_H
#define AMARANTH_BENCH_DECISIONTABLE_H

#include <cstdint>

namespace amaranth::bench {

/// Prints how many requests each scheduling rule completes in time under
/// generated load patterns, as the sum over `Seeds` seeds from `FirstSeed` on,
/// and what one choice among few and many upstreams costs.
void printDecisionTable(std::uint64_t FirstSeed, unsigned Seeds);

} // namespace amaranth::bench

#endif
