/// \file
/// Kinds of IP numbers, by which addresses from outside are checked.

#ifndef GREENGAGE_CORE_ADDRESS_H
#define GREENGAGE_CORE_ADDRESS_H

#include <string>

namespace greengage {

/// Whether \p aAddress is an IP number that names one host, so that a
/// connection to it can be made: not unspecified, broadcast or multicast.
bool
IsUnicastAddress(const std::string& aAddress);

} // namespace greengage

#endif // GREENGAGE_CORE_ADDRESS_H
