/// \file
/// The calls that entry hosts make to upstreams, and what their answers mean.

#ifndef GREENGAGE_API_UPSTREAMCODEC_H
#define GREENGAGE_API_UPSTREAMCODEC_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/http/Client.h"

namespace greengage::api {

/// The call that runs a request. The upstream must not run it for longer than
/// the "lease_ms" that the call carries.
http::ClientCall
EncodeRun(const dispatch::Execute& aExecute,
          const EntryHostId& aSelf,
          Time aNow);

/// The call that stops a running request. The upstream then answers the call
/// that runs it with status 410.
http::ClientCall
EncodeCancel(const dispatch::CancelAttempt& aCancel, const EntryHostId& aSelf);

/// Whether a result is that of a cancellation, which ends no attempt.
bool
IsCancelResult(const http::ClientResult& aResult);

/// How the attempt ended. An answer that can't be read counts as lost: the
/// request has run, and its caller is not given half an answer.
dispatch::AttemptEnded
DecodeRun(http::ClientResult&& aResult);

} // namespace greengage::api

#endif // GREENGAGE_API_UPSTREAMCODEC_H
