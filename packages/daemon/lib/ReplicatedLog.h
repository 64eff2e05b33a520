/// \file
/// The agreed log between the state duties of all entry hosts: proposals go in
/// on any host, deliveries come out on every host in one order.

#ifndef GREENGAGE_DAEMON_LIB_REPLICATEDLOG_H
#define GREENGAGE_DAEMON_LIB_REPLICATEDLOG_H

#include "ConsensusStage.h"
#include "HostState.h"
#include "filters/ConsensusMessages.h"
#include "filters/StateFilter.h"

#include "greengage/core/Clock.h"
#include "greengage/core/Error.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/FleetStateMachine.h"
#include "greengage/state/Proposal.h"
#include "greengage/state/StateMachine.h"

#include <string>
#include <string_view>

namespace greengage::daemon::detail {

/// What the consensus duty drives: a copy of the agreed state for snapshots.
/// Each command and snapshot also goes to the state duty, which has its own
/// copy to answer operators from.
class MirroredMachine final : public state::StateMachine
{
public:
  explicit MirroredMachine(pipe::Pipe<StateMessage>& aState);
  std::string Apply(state::LogIndex aIndex, std::string_view aCommand) override;
  std::string Snapshot() const override { return machine_.Snapshot(); }
  bool Restore(std::string_view aSnapshot, Error& aReason) override;

private:
  pipe::Pipe<StateMessage>& state_;
  state::FleetStateMachine machine_;
};

/// Tells the state duty of proposals that this host can't put into the log.
/// Those that were committed reach it as deliveries.
class ProposalEnds final : public pipe::Pipe<ProposalEnded>
{
public:
  explicit ProposalEnds(pipe::Pipe<StateMessage>& aState);
  bool TryPush(ProposalEnded&& aEnded) override;
  bool Push(ProposalEnded&& aEnded) override;

private:
  pipe::Pipe<StateMessage>& state_;
};

/// The stage of the agreed log with its ways from and to the state duty.
class ReplicatedLog final : public pipe::Pipe<state::Proposal>
{
public:
  /// All references must outlive the log.
  ReplicatedLog(ConsensusStageOptions aOptions,
                const Clock& aClock,
                HostState& aHost,
                pipe::Pipe<peer::PeerSend>& aPeers,
                pipe::Pipe<StateMessage>& aState);

  bool Open(Error& aReason) { return stage_.Open(aReason); }
  void Start() { stage_.Start(); }
  void Stop() { stage_.Stop(); }

  /// Where messages of peers go.
  pipe::Pipe<ConsensusInput>& Inlet() { return stage_.Inlet(); }

  bool TryPush(state::Proposal&& aProposal) override;
  bool Push(state::Proposal&& aProposal) override;

private:
  MirroredMachine machine_;
  ProposalEnds ends_;
  ConsensusStage stage_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_REPLICATEDLOG_H
