#ifndef AMARANTH_DATAPLANE_SRC_ENTRYREFUSAL_H
#define AMARANTH_DATAPLANE_SRC_ENTRYREFUSAL_H

#include "amaranth/dataplane/Messages.h"

namespace amaranth::dataplane {

/// Another endpoint would refuse for the same reason.
bool isFinal(const Refusal &Why);
/// The endpoint has no room for the request at present.
bool isBusy(RefusalReason Why);
/// An upstream got the request, though it may have refused to run it.
bool reachedUpstream(const Refusal &Why);
/// The refusal speaks against the endpoint.
bool isEndpointFault(RefusalReason Why);
/// The endpoint cannot work at present, so that one failure is enough.
bool isCertainFault(RefusalReason Why);
/// The refusal may be a fault of the version that ran the request.
bool isVersionFault(RefusalReason Why);

} // namespace amaranth::dataplane

#endif
