/// \file
/// Replies into HTTP and JSON for outsiders.

#ifndef GREENGAGE_API_ENCODE_H
#define GREENGAGE_API_ENCODE_H

#include "greengage/api/Calls.h"
#include "greengage/core/Error.h"
#include "greengage/http/Message.h"

namespace greengage::api {

/// Encodes a reply of any port.
http::HttpResponse
EncodeReply(Reply&& aReply);

/// The HTTP status that goes with an error.
unsigned
StatusOf(ErrorKind aKind);

} // namespace greengage::api

#endif // GREENGAGE_API_ENCODE_H
