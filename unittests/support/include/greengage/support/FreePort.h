/// \file
/// Ports for tests, so that test programs can run side by side.

#ifndef GREENGAGE_SUPPORT_FREEPORT_H
#define GREENGAGE_SUPPORT_FREEPORT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace greengage::support {

/// A loopback port that nobody listens on now.
inline std::uint16_t
FreePort()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  bind(descriptor, generic, size);
  getsockname(descriptor, generic, &size);
  close(descriptor);
  return ntohs(address.sin_port);
}

} // namespace greengage::support

#endif // GREENGAGE_SUPPORT_FREEPORT_H
