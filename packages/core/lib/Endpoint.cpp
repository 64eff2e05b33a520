#include "greengage/core/Endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <string>
#include <system_error>

using namespace greengage;

static bool
IsAddress(const std::string& aText)
{
  if (aText.find('\0') != std::string::npos)
    return false;
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, aText.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), buffer.data()) == 1;
}

static std::nullopt_t
FailEndpoint(Error& aReason, std::string_view aText)
{
  return Fail(aReason,
              ErrorKind::Malformed,
              "\"" + std::string(aText) + "\" is not an IP number and port");
}

std::optional<Endpoint>
greengage::ParseEndpoint(std::string_view aText, Error& aReason)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos)
    return FailEndpoint(aReason, aText);
  std::string address(aText.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']')
    address = address.substr(1, address.size() - 2);
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole = end == digits.data() + digits.size();
  if (status != std::errc() || !whole || port == 0 || !IsAddress(address))
    return FailEndpoint(aReason, aText);
  return Endpoint{ .address = std::move(address), .port = port };
}

std::string
greengage::ToString(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.address.find(':') != std::string::npos;
  const std::string host =
    isV6 ? "[" + aEndpoint.address + "]" : aEndpoint.address;
  return host + ":" + std::to_string(aEndpoint.port);
}
