/// \file
/// The stage of the agreed log in one entry host: its two duties, the replica,
/// the journal, and how they open and stop.

#ifndef GREENGAGE_DAEMON_LIB_CONSENSUSSTAGE_H
#define GREENGAGE_DAEMON_LIB_CONSENSUSSTAGE_H

#include "HostState.h"
#include "filters/ConsensusFilter.h"
#include "filters/ConsensusMessages.h"
#include "filters/JournalFilter.h"

#include "greengage/consensus/Replica.h"
#include "greengage/core/Clock.h"
#include "greengage/core/Error.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Duty.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/StateMachine.h"
#include "greengage/storage/FileSystem.h"
#include "greengage/storage/Journal.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace greengage::daemon::detail {

struct ConsensusStageOptions
{
  EntryHostId self;
  AvailabilityZoneId availabilityZone = {};
  /// The hosts with disks, the same on all hosts.
  std::set<EntryHostId> voters;
  /// Silence after which another host with a disk takes a voter's place; zero
  /// for never.
  Duration voterReplacementTimeout = {};
  /// Disks that may be lost at the same time.
  std::size_t toleratedLosses = 0;
  /// Whether an empty data folder means that no log exists yet.
  bool mayBootstrap = true;
  /// Empty on a host without a disk.
  std::string dataFolder;
  /// Holds the data folder; the files of this machine if null. Must outlive the
  /// stage.
  storage::FileSystem* files = nullptr;
  /// Bytes of one command, and of one message between replicas.
  std::size_t maxEntryBytes = 192 * 1024;
};

/// The agreed log as a stage of the pipeline.
class ConsensusStage
{
public:
  /// All references must outlive the stage.
  ConsensusStage(ConsensusStageOptions aOptions,
                 const Clock& aClock,
                 state::StateMachine& aMachine,
                 HostState& aHost,
                 pipe::Pipe<peer::PeerSend>& aPeers,
                 pipe::Pipe<ProposalEnded>& aProposals,
                 pipe::Pipe<Leadership>* aLeadership = nullptr);
  ConsensusStage(const ConsensusStage&) = delete;
  ConsensusStage& operator=(const ConsensusStage&) = delete;
  ~ConsensusStage();

  /// Reads the data folder and restores the state machine from its snapshot.
  bool Open(Error& aReason);
  /// Starts the duties; the stage must be open.
  void Start();
  /// Hands leadership over if need be, then ends the duties.
  void Stop();

  /// Where messages of peers and proposals go.
  pipe::Pipe<ConsensusInput>& Inlet() { return duty_; }

private:
  bool OpenJournal(consensus::DurableState& aState, Error& aReason);

  ConsensusStageOptions options_;
  const Clock& clock_;
  state::StateMachine& machine_;
  HostState& host_;
  pipe::Pipe<peer::PeerSend>& peers_;
  pipe::Pipe<ProposalEnded>& proposals_;
  pipe::Pipe<Leadership>* leadership_;
  storage::PosixFileSystem posixFiles_;
  consensus::Incarnation incarnation_;
  std::unique_ptr<storage::Journal> journal_;
  std::optional<consensus::Replica> replica_;
  std::optional<ConsensusFilter> filter_;
  std::optional<JournalFilter> journalFilter_;
  pipe::Duty<ConsensusInput> duty_;
  pipe::Duty<consensus::Persist> journalDuty_;
  bool isRunning_ = false;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_CONSENSUSSTAGE_H
