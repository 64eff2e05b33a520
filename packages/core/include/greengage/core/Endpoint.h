/// \file
/// An IP number and port. Names are not resolved: the system's processes and
/// upstreams talk by IP numbers.

#ifndef GREENGAGE_CORE_ENDPOINT_H
#define GREENGAGE_CORE_ENDPOINT_H

#include "greengage/core/Error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/// Where a process listens.
struct Endpoint
{
  /// An IPv4 or IPv6 number, without brackets.
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Reads "127.0.0.1:7000" or "[::1]:7000".
/// \returns nothing for names, missing or zero ports, with \p aReason set.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText, Error& aReason);

/// The text that ParseEndpoint reads.
std::string
ToString(const Endpoint& aEndpoint);

} // namespace greengage

#endif // GREENGAGE_CORE_ENDPOINT_H
