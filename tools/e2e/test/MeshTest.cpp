#include "MeshTest.h"

#include "amaranth/base/Digest.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <unistd.h>

namespace json = boost::json;

namespace amaranth::e2e {

namespace {

constexpr unsigned Slots = 12;

constexpr const char *DocumentText = R"([service bookings]
owner = studio
version = v1

[version bookings/v1]
owner = studio

[route bookings]
owner = studio
path = /bookings
service = bookings
timeout = 15s
)";

std::filesystem::path newFolder() {
  return std::filesystem::temp_directory_path() /
         fmt::format("amaranth-e2e-{}-{}", ::getpid(), base::randomHexId());
}

} // namespace

MeshTest::MeshTest() : Mesh(AMARANTH_BUILD_FOLDER, newFolder()) {
  Mesh.KeepFolder = std::getenv("AMARANTH_E2E_KEEP") != nullptr;
}

void MeshTest::start(unsigned VmCount,
                     const std::vector<std::string> &Options) {
  Mesh.startControl(3, {"zone-1", "zone-2", "zone-3"});
  REQUIRE(Mesh.waitForControl(WaitLimit));
  for (unsigned I = 0; I < VmCount; ++I) {
    std::vector<std::string> Own = Options;
    Own.push_back(fmt::format("--executions-file={}/executions-{}",
                              Mesh.folder().string(), I));
    Mesh.startVm("bookings", "v1", fmt::format("zone-{}", 1 + I % 3), Slots,
                 std::move(Own));
  }
  auto File = Mesh.folder() / "document.ini";
  std::ofstream(File) << DocumentText;
  harness::Output Applied = Mesh.ctl({"apply", File.string()});
  INFO(Applied.StandardOutput << Applied.StandardError);
  REQUIRE(Applied.ExitCode == 0);
  REQUIRE(Mesh.waitForNodes(WaitLimit));
  for (const auto &Vm : Mesh.Vms)
    REQUIRE(harness::waitUntil(
        [&] { return send(*Vm, "GET", "/bookings/start").Status == 200; },
        WaitLimit));
}

harness::HttpResponse MeshTest::send(const harness::UpstreamVm &Entry,
                                     const std::string &Method,
                                     const std::string &Target,
                                     const std::string &Key) {
  harness::HttpRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  if (!Key.empty())
    Request.Headers["Idempotency-Key"] = Key;
  return harness::sendRequest(Entry.Caller, Request, RequestLimit);
}

std::string MeshTest::routeSection() {
  harness::Output Got = Mesh.ctl({"get", "route bookings"});
  return Got.ExitCode == 0 ? Got.StandardOutput : std::string();
}

void MeshTest::applyTimeout(unsigned Seconds) {
  std::string Section;
  REQUIRE(harness::waitUntil(
      [&] {
        Section = routeSection();
        return !Section.empty();
      },
      WaitLimit));
  auto File = Mesh.folder() / "change.ini";
  std::ofstream(File) << std::regex_replace(
      Section, std::regex("timeout = \\S+"),
      fmt::format("timeout = {}s", Seconds));
  std::string Operation = "--operation=" + base::randomHexId();
  harness::Output Applied;
  bool Accepted = harness::waitUntil(
      [&] {
        Applied = Mesh.ctl({"apply", Operation, File.string()});
        return Applied.ExitCode == 0;
      },
      WaitLimit);
  INFO(Applied.StandardOutput << Applied.StandardError);
  REQUIRE(Accepted);
}

json::value MeshTest::status(const harness::ControlProcess &Control) {
  auto Answer = Mesh.operatorGet(Control, "/v1/status?stale=true");
  return Answer.Status == 200 ? json::parse(Answer.Body) : json::value();
}

harness::ControlProcess *
MeshTest::leader(const harness::ControlProcess *Except) {
  for (const auto &Control : Mesh.Controls) {
    if (Control.get() == Except)
      continue;
    json::value Status = status(*Control);
    if (Status.is_object() && Status.at("is_leader").as_bool())
      return Control.get();
  }
  return nullptr;
}

harness::ControlProcess &
MeshTest::waitForLeader(const harness::ControlProcess *Except) {
  harness::ControlProcess *Found = nullptr;
  REQUIRE(harness::waitUntil(
      [&] {
        Found = leader(Except);
        return Found != nullptr;
      },
      WaitLimit));
  return *Found;
}

std::map<std::string, unsigned> MeshTest::executions() const {
  std::map<std::string, unsigned> Result;
  for (std::size_t I = 0; I < Mesh.Vms.size(); ++I) {
    std::ifstream File(Mesh.folder() / fmt::format("executions-{}", I));
    for (std::string Key; std::getline(File, Key);)
      ++Result[Key];
  }
  return Result;
}

std::string describe(const harness::HttpResponse &Answer) {
  return fmt::format("status {} outcome '{}' reason '{}' failure '{}'",
                     Answer.Status, Answer.header("x-amaranth-outcome"),
                     Answer.header("x-amaranth-reason"), Answer.Failure);
}

} // namespace amaranth::e2e
