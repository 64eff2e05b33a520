/// \file
/// HTTP and JSON from outsiders into calls. Everything is checked here, so
/// that the decisions see only well-formed input.

#ifndef GREENGAGE_API_DECODE_H
#define GREENGAGE_API_DECODE_H

#include "greengage/api/Calls.h"
#include "greengage/core/Error.h"
#include "greengage/core/Units.h"
#include "greengage/http/Message.h"

#include <optional>

namespace greengage::api {

/// The longest time that a request may ask for.
inline constexpr Duration kMaxDeadline = Duration::Seconds(24 * 60 * 60);
/// The longest lease of an announcement.
inline constexpr Duration kMaxLease = Duration::Seconds(60);

/// Decodes a request of any port that came at \p aNow.
std::optional<Call>
DecodeCall(http::HttpRequest&& aRequest, Time aNow, Error& aReason);

} // namespace greengage::api

#endif // GREENGAGE_API_DECODE_H
