#pragma once

/// Socket helpers of this library and the daemons. All sockets are non-blocking and close-on-exec.

#include <LibBase/Error.h>
#include <LibBase/Ipv4Endpoint.h>

namespace Peer {

/// Opens a listening TCP socket; with port 0 the kernel chooses the port. Returns ErrorCode::Unavailable if the
/// endpoint can't be bound.
Base::ErrorOr<int> listenTcp(const Base::Ipv4Endpoint&);

/// Opens a TCP socket and starts connecting it. Once the socket is writable, pendingSocketError() returns the result.
/// Returns ErrorCode::Unavailable if connecting fails at once.
Base::ErrorOr<int> startConnecting(const Base::Ipv4Endpoint&);

/// Opens a UDP socket. With sharePort (SO_REUSEPORT) several sockets share the port and the kernel distributes
/// datagrams among them. Returns ErrorCode::Unavailable if the endpoint can't be bound.
Base::ErrorOr<int> bindUdp(const Base::Ipv4Endpoint&, bool sharePort);

/// The endpoint a socket is bound to.
Base::Ipv4Endpoint localEndpoint(int socket);

/// The socket's pending error (SO_ERROR), or 0 if there is none.
int pendingSocketError(int socket);

}
