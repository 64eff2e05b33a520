#include "UpstreamSource.h"

#include "greengage/api/UpstreamCodec.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

UpstreamSource::UpstreamSource(pipe::Pipe<dispatch::Event>& aDispatch)
  : dispatch_(aDispatch)
{
}

bool
UpstreamSource::TryPush(http::ClientResult&& aResult)
{
  if (api::IsCancelResult(aResult))
    return true;
  return dispatch_.TryPush(api::DecodeRun(std::move(aResult)));
}

bool
UpstreamSource::Push(http::ClientResult&& aResult)
{
  if (api::IsCancelResult(aResult))
    return true;
  return dispatch_.Push(api::DecodeRun(std::move(aResult)));
}
