#include "LocalLog.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

LocalLog::LocalLog(pipe::Pipe<StateMessage>& aState)
  : state_(aState)
{
}

bool
LocalLog::TryPush(state::Proposal&& aProposal)
{
  const state::LogIndex index(lastIndex_ + 1);
  if (!state_.TryPush(state::Delivery{ .index = index,
                                       .command = std::move(aProposal.command),
                                       .proposal = aProposal.id }))
    return false;
  ++lastIndex_;
  return true;
}

bool
LocalLog::Push(state::Proposal&& aProposal)
{
  return TryPush(std::move(aProposal));
}
