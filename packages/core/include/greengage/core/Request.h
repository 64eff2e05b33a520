/// \file
/// What a caller asks for and how it can end, free of any encoding.

#ifndef GREENGAGE_CORE_REQUEST_H
#define GREENGAGE_CORE_REQUEST_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstdint>
#include <string>
#include <variant>

namespace greengage {

/// How long a request may wait; patient work costs its team less.
enum class PriceClass : std::uint8_t
{
  Urgent,
  Standard,
  Patient,
};

/// Whether running a request twice does what running it once does.
enum class Idempotence : std::uint8_t
{
  NonIdempotent,
  Idempotent,
};

/// A unit of work for one upstream.
struct Request
{
  RequestId id;
  TeamId team;
  PoolId pool;
  /// What sort of work it is, as the team names it; run times are learned per
  /// team and kind.
  std::string kind;
  PriceClass priceClass = PriceClass::Standard;
  Idempotence idempotence = Idempotence::NonIdempotent;
  /// The caller states that this is the first send of the id, by any way.
  bool firstSend = false;
  /// By when the answer must be with the caller, on the local boot clock.
  Time deadline;
  std::string payload;
};

/// The upstream ran the request and this is its whole answer.
struct Answered
{
  UpstreamId upstream;
  /// False if the upstream says that the work itself failed.
  bool succeeded = true;
  std::string payload;
};

/// Proved: no upstream was ever sent the request.
struct NotRun
{
  Error error;
  /// When to send again; zero if no time can be given.
  Duration retryAfter;
};

/// The request was sent and its end is not known.
struct Unknown
{
  Error error;
};

/// How a request ended. There is no fourth way.
using Outcome = std::variant<Answered, NotRun, Unknown>;

/// The name of \p aClass in messages and settings.
const char*
NameOf(PriceClass aClass);

} // namespace greengage

#endif // GREENGAGE_CORE_REQUEST_H
