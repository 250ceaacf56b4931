#ifndef AMARANTH_DATAPLANE_QUOTALIMITER_H
#define AMARANTH_DATAPLANE_QUOTALIMITER_H

#include "amaranth/base/Millis.h"
#include "amaranth/document/Customer.h"

#include <boost/asio/awaitable.hpp>

namespace amaranth::dataplane {

/// Admits the requests of customers that have a limit. The limit holds for the
/// sum over all nodes.
class QuotaLimiter {
public:
  struct Verdict {
    bool Admitted = true;
    /// Time after which a request of the customer is expected to be admitted;
    /// used only if this one was not.
    base::Millis RetryAfter;
  };

  virtual ~QuotaLimiter() = default;

  /// Takes the right to send one request of `Sender`, which has a limit.
  /// Completes within `MaxWait`. Never throws.
  virtual boost::asio::awaitable<Verdict>
  admit(const document::Customer &Sender, base::Millis MaxWait) = 0;
};

} // namespace amaranth::dataplane

#endif
