/// \file
/// One HTTP exchange, as a test writes it.

#ifndef GREENGAGE_UNITTESTS_SYSTEM_HTTP_H
#define GREENGAGE_UNITTESTS_SYSTEM_HTTP_H

#include "greengage/core/Endpoint.h"

#include <string>

namespace greengage::system_tests {

/// A response; status 0 if the server could not be reached.
struct HttpAnswer
{
  unsigned status = 0;
  std::string body;
};

/// Sends one request and reads the response, waiting at most 15 seconds.
HttpAnswer
Fetch(const Endpoint& aEndpoint,
      const std::string& aMethod,
      const std::string& aTarget,
      const std::string& aKey = {},
      const std::string& aBody = {});

} // namespace greengage::system_tests

#endif // GREENGAGE_UNITTESTS_SYSTEM_HTTP_H
