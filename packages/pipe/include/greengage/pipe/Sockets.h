/// \file
/// What every socket duty needs of Asio: listening with a reason on failure,
/// and the clock type's spans as Asio's.

#ifndef GREENGAGE_PIPE_SOCKETS_H
#define GREENGAGE_PIPE_SOCKETS_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Units.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace greengage::pipe {

/// Delay before a connection is accepted again after that failed, for example
/// because the process can open no more descriptors: until then the pending
/// connection would make each attempt fail at once.
inline constexpr Duration kAcceptRetryDelay = Duration(100);

/// Binds and listens. False if the address can't be had, with \p aReason.
bool
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
         const Endpoint& aEndpoint,
         Error& aReason);

/// \p aSpan for Asio's timers.
inline std::chrono::milliseconds
ToChrono(Duration aSpan)
{
  return std::chrono::milliseconds(aSpan.Millis());
}

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_SOCKETS_H
