#pragma once

#include <kj/async-io.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace toucan::rpc {

/// Sets TCP_NODELAY, which disables Nagle's algorithm: small messages are sent without waiting for
/// the acknowledgement of previous ones.
inline void set_no_delay(kj::AsyncIoStream& stream)
{
    const int on = 1;
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace toucan::rpc
