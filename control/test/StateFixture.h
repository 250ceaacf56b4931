#ifndef AMARANTH_CONTROL_TEST_STATEFIXTURE_H
#define AMARANTH_CONTROL_TEST_STATEFIXTURE_H

#include "amaranth/control/ControlState.h"

#include <string>
#include <vector>

namespace amaranth::control {

/// Applies commands to a control state and maintains the index and the time of
/// the log entries.
class StateFixture {
protected:
  static constexpr std::int64_t StartTime = 1'800'000'000'000;

  CommandResult run(const Command &Value) {
    return runOn(State, Value, ++Index, Time);
  }

  static CommandResult runOn(ControlState &On, const Command &Value,
                             std::uint64_t Index, std::int64_t Time) {
    base::Bytes Data = encodeCommand(Value);
    return decodeResult(On.apply(
        {base::LogIndex(Index), base::Term(1), base::WallTime(Time), Data}));
  }

  CommandResult apply(std::vector<SectionChange> Changes,
                      const std::string &Operator = "ana",
                      const std::string &Operation = "") {
    ApplySections Request;
    Request.Operator = base::OperatorName(Operator);
    Request.Teams = {base::TeamName(Operator == "ana" ? "studio" : "archive")};
    Request.Operation = base::OperationId(
        Operation.empty() ? "op" + std::to_string(++NextOperation) : Operation);
    Request.Changes = std::move(Changes);
    return run(Request);
  }

  static SectionChange put(const std::string &Name, const std::string &Body,
                           std::uint64_t Expected = 0) {
    return {Name, base::Revision(Expected), Body};
  }
  static SectionChange removal(const std::string &Name,
                               std::uint64_t Expected) {
    return {Name, base::Revision(Expected), std::nullopt};
  }

  static std::vector<SectionChange> basicDocument() {
    return {put("service plati", "owner = studio\nversion = v1\n"),
            put("version plati/v1", "owner = studio\n"),
            put("version plati/v2", "owner = studio\n"),
            put("version plati/v3", "owner = studio\n"),
            put("route pay", "owner = studio\npath = /pay\nservice = plati\n"
                             "timeout = 1s\n")};
  }

  static std::string rolloutBody(const std::string &From,
                                 const std::string &To) {
    return "owner = studio\nfrom = " + From + "\nto = " + To +
           "\nstart = 2027-01-15T08:00:00Z\n"
           "deadline = 2027-04-01T08:00:00Z\n";
  }

  CommandResult decide(RolloutPhase Phase, std::uint32_t Share = 0) {
    RolloutStatus Status = State.rollouts().at(0);
    return run(RolloutDecision{Status.Service, Status.Section, Status.Epoch,
                               Phase, Share, 1, "test"});
  }

  std::uint32_t share(const std::string &Version) {
    auto Mesh = State.mesh();
    for (const auto &Entry : Mesh->Services.at(Plati).Versions)
      if (Entry.Version.value() == Version)
        return Entry.Share;
    return 0;
  }

  const base::ServiceName Plati{"plati"};
  ControlState State;
  std::uint64_t Index = 0;
  std::int64_t Time = StartTime;
  unsigned NextOperation = 0;
};

} // namespace amaranth::control

#endif
