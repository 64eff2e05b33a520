#include "greengage/core/Address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <cstring>

using namespace greengage;

static bool
IsUnicast(const in_addr& aAddress)
{
  constexpr std::uint32_t kFirstMulticast = 0xE0000000;
  constexpr std::uint32_t kFirstReserved = 0xF0000000;
  const std::uint32_t number = ntohl(aAddress.s_addr);
  const bool isMulticast = number >= kFirstMulticast && number < kFirstReserved;
  return number != INADDR_ANY && number != INADDR_BROADCAST && !isMulticast;
}

bool
greengage::IsUnicastAddress(const std::string& aAddress)
{
  in_addr v4{};
  if (inet_pton(AF_INET, aAddress.c_str(), &v4) == 1)
    return IsUnicast(v4);
  in6_addr v6{};
  if (inet_pton(AF_INET6, aAddress.c_str(), &v6) != 1)
    return false;
  if (IN6_IS_ADDR_V4MAPPED(&v6)) {
    constexpr std::size_t kMappedOffset = 12;
    std::memcpy(&v4, &v6.s6_addr[kMappedOffset], sizeof(v4));
    return IsUnicast(v4);
  }
  return !IN6_IS_ADDR_UNSPECIFIED(&v6) && !IN6_IS_ADDR_MULTICAST(&v6);
}
