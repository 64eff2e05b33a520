#include "OnceInlet.h"

#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

OnceInlet::OnceInlet(pipe::Pipe<OnceMessage>& aOnce,
                     pipe::Pipe<dispatch::Event>& aDispatch)
  : once_(aOnce)
  , dispatch_(aDispatch)
{
}

bool
OnceInlet::TryPush(dispatch::Event&& aEvent)
{
  if (auto* submit = std::get_if<dispatch::Submit>(&aEvent))
    return once_.TryPush(std::move(*submit));
  if (auto* cancel = std::get_if<dispatch::Cancel>(&aEvent))
    return once_.TryPush(std::move(*cancel));
  // The reachability of peers comes by Push only, which never loses it.
  return dispatch_.TryPush(std::move(aEvent));
}

bool
OnceInlet::Push(dispatch::Event&& aEvent)
{
  if (auto* submit = std::get_if<dispatch::Submit>(&aEvent))
    return once_.Push(std::move(*submit));
  if (auto* cancel = std::get_if<dispatch::Cancel>(&aEvent))
    return once_.Push(std::move(*cancel));
  if (const auto* up = std::get_if<dispatch::PeerUp>(&aEvent))
    once_.Push(dispatch::PeerUp(*up));
  if (const auto* down = std::get_if<dispatch::PeerDown>(&aEvent))
    once_.Push(dispatch::PeerDown(*down));
  return dispatch_.Push(std::move(aEvent));
}
