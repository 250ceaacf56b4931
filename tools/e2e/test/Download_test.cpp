#include "MeshTest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace amaranth::e2e {

namespace {

constexpr std::size_t DownloadBytes = 64U << 20U;
constexpr long MaxResidentKib = 96L << 10U;
/// A node that buffered the whole download would stay below the limit above.
constexpr long MaxGrowthKib = 4L << 10U;

/// Largest resident size so far in KiB, or -1.
long peakResidentKib(pid_t Pid) {
  std::ifstream Status(fmt::format("/proc/{}/status", Pid));
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stol(Line.substr(6));
  return -1;
}

} // namespace

// Guards against a node that buffers what a slow caller has not read.
TEST_CASE_METHOD(MeshTest, "Slow download is whole and needs little memory") {
  start(2, {});
  harness::UpstreamVm &Entry = *Mesh.Vms.front();
  harness::HttpRequest Request;
  Request.Target = fmt::format("/bookings/size/{}", DownloadBytes);
  Request.ReadPause = base::Millis(30);
  long Before = peakResidentKib(Entry.Node->pid());
  REQUIRE(Before > 0);
  auto Answer = harness::sendRequest(Entry.Caller, Request, WaitLimit);
  INFO(describe(Answer));
  REQUIRE(Answer.Status == 200);
  REQUIRE(Answer.Body.size() == DownloadBytes);
  bool Intact = true;
  // The upstream repeats the alphabet in pieces of 64 KiB.
  for (std::size_t I = 0; I < DownloadBytes; ++I)
    Intact = Intact &&
             Answer.Body[I] == static_cast<char>('a' + I % (64U << 10U) % 26);
  CHECK(Intact);
  long Peak = peakResidentKib(Entry.Node->pid());
  std::cout << fmt::format("peak of the entry node: {} KiB before, {} KiB "
                           "after the download\n",
                           Before, Peak);
  CHECK(Peak - Before < MaxGrowthKib);
  CHECK(Peak < MaxResidentKib);
}

} // namespace amaranth::e2e
