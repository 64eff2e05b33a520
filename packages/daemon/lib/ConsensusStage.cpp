#include "ConsensusStage.h"

#include "greengage/observe/Log.h"
#include "greengage/wire/LogRecord.h"

#include <chrono>
#include <functional>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

/// Places in the ring in front of a filter.
static constexpr std::size_t kRingCapacity = 4096;
/// How long a planned stop waits for a successor.
static constexpr std::chrono::milliseconds kHandOverTimeout(1500);

ConsensusStage::ConsensusStage(ConsensusStageOptions aOptions,
                               const Clock& aClock,
                               state::StateMachine& aMachine,
                               HostState& aHost,
                               pipe::Pipe<peer::PeerSend>& aPeers,
                               pipe::Pipe<ProposalEnded>& aProposals,
                               pipe::Pipe<Leadership>* aLeadership)
  : options_(std::move(aOptions))
  , clock_(aClock)
  , machine_(aMachine)
  , host_(aHost)
  , peers_(aPeers)
  , proposals_(aProposals)
  , leadership_(aLeadership)
  , duty_({ .name = "consensus", .capacity = kRingCapacity }, aClock)
  , journalDuty_({ .name = "journal", .capacity = kRingCapacity }, aClock)
{
}

ConsensusStage::~ConsensusStage()
{
  Stop();
}

/// An incarnation that this host never had.
static std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(WallClock().Now().Millis());
}

/// Takes what the journal held into the replica's terms.
static bool
ToDurableState(const storage::Recovered& aRecovered,
               consensus::DurableState& aState,
               Error& aReason)
{
  if (aRecovered.state) {
    const auto hard = wire::DecodeHardState(*aRecovered.state, aReason);
    if (!hard)
      return false;
    aState.hardState = *hard;
  }
  if (aRecovered.snapshot) {
    auto snapshot = wire::DecodeSnapshot(aRecovered.snapshot->data, aReason);
    if (!snapshot)
      return false;
    aState.snapshot =
      std::make_shared<const consensus::Snapshot>(std::move(*snapshot));
  }
  for (const storage::Record& record : aRecovered.records) {
    auto entry = wire::DecodeEntry(record.payload, aReason);
    if (!entry)
      return false;
    aState.entries.push_back(std::move(*entry));
  }
  return true;
}

bool
ConsensusStage::OpenJournal(consensus::DurableState& aState, Error& aReason)
{
  storage::Recovered recovered;
  storage::FileSystem& files =
    options_.files != nullptr ? *options_.files : posixFiles_;
  journal_ = storage::Journal::Open(
    { .folder = options_.dataFolder,
      .host = options_.self,
      .newFolderId = storage::FolderId(NewIncarnation()) },
    files,
    recovered,
    aReason);
  if (!journal_ || !ToDurableState(recovered, aState, aReason))
    return false;
  incarnation_ = consensus::Incarnation(recovered.folderId.Value());
  observe::Log(observe::LogLevel::Info,
               "data-folder-opened",
               { { "folder", options_.dataFolder },
                 { "new", recovered.isNew ? "yes" : "no" },
                 { "records", std::to_string(recovered.records.size()) },
                 { "cut_bytes", std::to_string(recovered.cutBytes) } });
  return true;
}

bool
ConsensusStage::Open(Error& aReason)
{
  consensus::DurableState state;
  incarnation_ = consensus::Incarnation(NewIncarnation());
  if (!options_.dataFolder.empty() && !OpenJournal(state, aReason))
    return false;
  if (state.snapshot && !machine_.Restore(state.snapshot->data, aReason))
    return false;
  consensus::ReplicaOptions options{
    .self = { .host = options_.self, .incarnation = incarnation_ },
    .voters = options_.voters,
    .toleratedLosses = options_.toleratedLosses,
    .mayBootstrap = options_.mayBootstrap,
    .voterReplacementTimeout = options_.voterReplacementTimeout,
    .maxMessageBytes = options_.maxEntryBytes,
    .maxCommandBytes = options_.maxEntryBytes
  };
  options.seed =
    std::hash<std::string>()(options_.self.Value()) ^ incarnation_.Value();
  replica_.emplace(std::move(options), std::move(state), clock_.Now());
  const bool hasDisk = journal_ != nullptr;
  filter_.emplace(
    *replica_,
    machine_,
    host_,
    ConsensusOutlets{ .peers = peers_,
                      .journal = hasDisk ? &journalDuty_ : nullptr,
                      .proposals = proposals_,
                      .leadership = leadership_ });
  if (hasDisk)
    journalFilter_.emplace(*journal_, duty_);
  return true;
}

void
ConsensusStage::Start()
{
  if (journalFilter_)
    journalDuty_.Start(*journalFilter_);
  duty_.Start(*filter_);
  if (!options_.availabilityZone.Value().empty())
    duty_.Push(consensus::Event(consensus::HostLocated{
      .host = options_.self, .availabilityZone = options_.availabilityZone }));
  isRunning_ = true;
}

void
ConsensusStage::Stop()
{
  if (!isRunning_)
    return;
  isRunning_ = false;
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> handedOver = done->get_future();
  if (duty_.Push(HandOver{ .done = std::move(done) }))
    handedOver.wait_for(kHandOverTimeout);
  duty_.Stop();
  journalDuty_.Stop();
}
