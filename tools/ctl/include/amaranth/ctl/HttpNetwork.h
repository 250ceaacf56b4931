#ifndef AMARANTH_CTL_HTTPNETWORK_H
#define AMARANTH_CTL_HTTPNETWORK_H

#include "amaranth/ctl/Network.h"

namespace amaranth::ctl {

/// Sends requests as HTTP/1.1 over TCP and uses the system clock.
class HttpNetwork final : public Network {
public:
  HttpReply send(const base::Address &Server, const HttpRequest &Request,
                 base::Millis Timeout) override;
  base::TimePoint now() override;
  void pause(base::Millis Span) override;
};

} // namespace amaranth::ctl

#endif
