/// \file
/// The filter that drives this host's replica of the agreed log and its state
/// machine.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSFILTER_H

#include "../HostState.h"
#include "ConsensusMessages.h"
#include "MissingLeaderReport.h"

#include "greengage/consensus/Replica.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/StateMachine.h"

#include <deque>
#include <optional>

namespace greengage::daemon::detail {

/// Where the replica's actions go.
struct ConsensusOutlets
{
  pipe::Pipe<peer::PeerSend>& peers;
  /// Null on a host without a disk.
  pipe::Pipe<consensus::Persist>* journal;
  /// Must always take the ends of proposals in the end.
  pipe::Pipe<ProposalEnded>& proposals;
  /// Told of each change of leadership; may be null.
  pipe::Pipe<Leadership>* leadership = nullptr;
};

/// Feeds events to the replica. Messages to peers may be lost: the replica
/// sends again.
class ConsensusFilter final : public pipe::Filter<ConsensusInput>
{
public:
  ConsensusFilter(consensus::Replica& aReplica,
                  state::StateMachine& aMachine,
                  HostState& aHost,
                  ConsensusOutlets aOutlets);
  void Accept(ConsensusInput&& aInput, Time aNow) override;
  std::optional<Time> NextTimer() const override { return nextTick_; }
  void OnTimer(Time aNow) override;

private:
  void On(consensus::Event&& aEvent, Time aNow);
  void On(JournalFailed&& aEvent, Time aNow);
  void On(JournalRepaired&& aEvent, Time aNow);
  void On(HandOver&& aEvent, Time aNow);
  void CarryOut(consensus::Actions&& aActions, Time aNow);
  void Do(consensus::Send&& aAction);
  void Do(consensus::Persist&& aAction);
  void Do(consensus::Deliver&& aAction);
  void Do(consensus::RestoreSnapshot&& aAction);
  void Do(consensus::RequestSnapshot&& aAction);
  void Do(consensus::ProposalRefused&& aAction);
  void Do(consensus::ProposalUnknown&& aAction);
  void Do(consensus::LeaderChanged&& aAction);
  /// Reports the voters of the committed configuration at \p aIndex.
  void ReportVoters(consensus::LogIndex aIndex);
  /// Whether this replica takes no part in the log.
  bool IsSilent() const { return hasJournalFailed_ || isSnapshotRefused_; }
  void UpdateHealth();
  void ReportMissingLeader(Time aNow);
  /// Keeps the promise of a planned stop once this replica doesn't lead.
  void EndHandOver();
  void PublishLeadership();

  consensus::Replica& replica_;
  state::StateMachine& machine_;
  HostState& host_;
  ConsensusOutlets outlets_;
  /// What the actions being carried out lead to.
  std::deque<consensus::Event> followUps_;
  std::shared_ptr<std::promise<void>> handOver_;
  Leadership published_;
  MissingLeaderReport missingLeader_;
  bool hasJournalFailed_ = false;
  bool isSnapshotRefused_ = false;
  Time nextTick_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSFILTER_H
