#include "greengage/api/Calls.h"

#include <cassert>
#include <cstdint>

using namespace greengage;

/// The port stands above the exchange's number.
static constexpr unsigned kPortShift = 56;
static constexpr std::uint64_t kExchangeMask =
  (std::uint64_t{ 1 } << kPortShift) - 1;

bool
greengage::api::IsFirstSend(const Call& aCall)
{
  const auto* submit = std::get_if<SubmitCall>(&aCall.body);
  return submit != nullptr && submit->request.firstSend;
}

CallId
greengage::api::CallOf(http::PortRole aPort, http::ExchangeId aExchange)
{
  assert(aExchange.Value() <= kExchangeMask && "exchange numbers stay small");
  return CallId((static_cast<std::uint64_t>(aPort) << kPortShift) |
                aExchange.Value());
}

http::PortRole
greengage::api::PortOf(CallId aCall)
{
  return static_cast<http::PortRole>(aCall.Value() >> kPortShift);
}

http::ExchangeId
greengage::api::ExchangeOf(CallId aCall)
{
  return http::ExchangeId(aCall.Value() & kExchangeMask);
}
