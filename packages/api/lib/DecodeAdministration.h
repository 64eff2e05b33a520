/// \file
/// The operators' part of the decoder.

#ifndef GREENGAGE_API_LIB_DECODEADMINISTRATION_H
#define GREENGAGE_API_LIB_DECODEADMINISTRATION_H

#include "greengage/api/Administration.h"
#include "greengage/core/Error.h"
#include "greengage/http/Message.h"

#include <optional>

namespace greengage::api::detail {

/// Whether an administration call has this method and path.
bool
IsAdministration(const http::HttpRequest& aRequest);

/// Decodes a call for which IsAdministration holds.
std::optional<AdministrationCall>
DecodeAdministration(const http::HttpRequest& aRequest, Error& aReason);

} // namespace greengage::api::detail

#endif // GREENGAGE_API_LIB_DECODEADMINISTRATION_H
