/// \file
/// Ports for tests, so that test programs can run side by side. They lie below
/// the range from which the kernel takes the ports of outgoing connections.

#ifndef GREENGAGE_SUPPORT_FREEPORT_H
#define GREENGAGE_SUPPORT_FREEPORT_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>

namespace greengage::support {

inline constexpr std::uint16_t kFirstTestPort = 10240;
inline constexpr std::uint16_t kLastTestPort = 32000;

/// Whether nobody listens on a loopback port now.
inline bool
IsFree(std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  const int status =
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
  close(descriptor);
  return status == 0;
}

/// A loopback port that nobody listens on now.
inline std::uint16_t
FreePort()
{
  static std::mt19937 random{ std::random_device{}() };
  std::uniform_int_distribution<std::uint16_t> ports(kFirstTestPort,
                                                     kLastTestPort);
  std::uint16_t port = ports(random);
  while (!IsFree(port))
    port = ports(random);
  return port;
}

} // namespace greengage::support

#endif // GREENGAGE_SUPPORT_FREEPORT_H
