/// \file
/// The order of proposals on this entry host alone: each is delivered at once
/// to the duty that made it. The replicated log takes this place.

#ifndef GREENGAGE_DAEMON_LIB_LOCALLOG_H
#define GREENGAGE_DAEMON_LIB_LOCALLOG_H

#include "filters/StateFilter.h"

#include "greengage/pipe/Pipe.h"
#include "greengage/state/Proposal.h"

#include <cstdint>

namespace greengage::daemon::detail {

/// Turns proposals into deliveries. Used by the state duty's thread only.
class LocalLog final : public pipe::Pipe<state::Proposal>
{
public:
  explicit LocalLog(pipe::Pipe<StateMessage>& aState);
  bool TryPush(state::Proposal&& aProposal) override;
  /// The same as TryPush: waiting for room in one's own ring would not end.
  bool Push(state::Proposal&& aProposal) override;

private:
  pipe::Pipe<StateMessage>& state_;
  std::uint64_t lastIndex_ = 0;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_LOCALLOG_H
