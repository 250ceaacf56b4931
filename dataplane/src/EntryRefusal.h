#ifndef AMARANTH_DATAPLANE_SRC_ENTRYREFUSAL_H
#define AMARANTH_DATAPLANE_SRC_ENTRYREFUSAL_H

#include "amaranth/dataplane/Messages.h"

namespace amaranth::dataplane {

/// Returns true if every other endpoint would refuse for the same reason, or if
/// the request must not be sent to another one.
bool isFinal(const Refusal &Refused);
/// Text of the refusal of a request that has crashed upstreams.
std::string quarantineText(std::uint64_t Fingerprint);
/// Returns true if the endpoint has no capacity for the request at present.
bool isBusy(RefusalReason Code);
/// Returns true if an upstream received the request, even if it refused to run
/// it.
bool reachedUpstream(const Refusal &Refused);
/// Returns true if the refusal counts as a failure of the endpoint.
bool isEndpointFault(RefusalReason Code);
/// Returns true if the endpoint cannot serve requests at present, so that one
/// failure ejects it.
bool isHardFault(RefusalReason Code);
/// Returns true if the upstream's version may have caused the refusal.
bool isVersionFault(RefusalReason Code);

} // namespace amaranth::dataplane

#endif
