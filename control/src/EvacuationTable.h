#ifndef AMARANTH_CONTROL_SRC_EVACUATIONTABLE_H
#define AMARANTH_CONTROL_SRC_EVACUATIONTABLE_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"

#include <map>
#include <vector>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxZones = 1024;
/// Any zone can be evacuated until this time after the first endpoint of all:
/// after a start, a zone may not have announced an endpoint yet.
inline constexpr base::Millis ZoneDiscoveryTime = base::Millis::seconds(10);

/// Zones that are evacuated, and the zones that have ever been named. Answers
/// an operator who takes a zone out under load and whose order is sent again or
/// meets the opposite one.
class EvacuationTable {
public:
  struct Record {
    base::WallTime FirstNamed;
    bool Evacuated = false;
    /// The last order that had an effect. `Index` is 0 before the first one.
    base::LogIndex Index;
    base::OperatorName Operator;
    base::WallTime Time;
    /// The opposite order before it.
    base::OperatorName EarlierOperator;
    base::WallTime EarlierTime;
  };

  /// Sets `Changed` if the zone was evacuated or taken back.
  CommandResult set(const SetEvacuation &Request, base::LogIndex Index,
                    base::WallTime Now, bool &Changed);
  /// An endpoint of the zone was announced. The zone stays known.
  void recordZone(const base::AvailabilityZone &Zone, base::WallTime Now);
  std::vector<Evacuation> evacuations() const;

  Offset<flatbuffers::Vector<Offset<wire::ZoneRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  bool isKnown(const SetEvacuation &Request, base::WallTime Now) const;

  std::map<base::AvailabilityZone, Record> Records;
};

} // namespace amaranth::control::detail

#endif
