/// \file
/// The operators' part of the encoder.

#ifndef GREENGAGE_API_LIB_ENCODEADMINISTRATION_H
#define GREENGAGE_API_LIB_ENCODEADMINISTRATION_H

#include "greengage/api/Administration.h"
#include "greengage/core/Error.h"

#include <nlohmann/json.hpp>

namespace greengage::api::detail {

using Json = nlohmann::ordered_json;

/// Adds code, detail and remedy.
void
AddError(Json& aObject, const Error& aError);

/// The JSON of a reply to an operator.
Json
EncodeAdministration(const AdministrationReply& aReply);

/// The error that the reply tells of, or ErrorKind::None.
ErrorKind
ErrorOf(const AdministrationReply& aReply);

} // namespace greengage::api::detail

#endif // GREENGAGE_API_LIB_ENCODEADMINISTRATION_H
