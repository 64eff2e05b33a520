#include "ReplicatedLog.h"

#include <optional>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

MirroredMachine::MirroredMachine(pipe::Pipe<StateMessage>& aState)
  : state_(aState)
{
}

std::string
MirroredMachine::Apply(state::LogIndex aIndex, std::string_view aCommand)
{
  // Entries that open a term or change the voters carry no command.
  if (aCommand.empty())
    return {};
  state_.Push(state::Delivery{ .index = aIndex,
                               .command = std::string(aCommand),
                               .proposal = std::nullopt });
  return machine_.Apply(aIndex, aCommand);
}

bool
MirroredMachine::Restore(std::string_view aSnapshot, Error& aReason)
{
  if (!machine_.Restore(aSnapshot, aReason))
    return false;
  state_.Push(StateRestored{ .snapshot = std::string(aSnapshot) });
  return true;
}

ProposalEnds::ProposalEnds(pipe::Pipe<StateMessage>& aState)
  : state_(aState)
{
}

static ErrorKind
KindOf(consensus::Refusal aReason)
{
  return aReason == consensus::Refusal::TooLarge ? ErrorKind::TooLarge
                                                 : ErrorKind::Overloaded;
}

/// What the state duty has to know, if anything.
static std::optional<StateMessage>
ToState(ProposalEnded&& aEnded)
{
  using consensus::Refusal;
  const state::ProposalId id(aEnded.id.Value());
  const auto* refused = std::get_if<consensus::ProposalRefused>(&aEnded.end);
  // The state duty proposes again what it does not see in the log in time.
  if (refused == nullptr || refused->reason == Refusal::Transferring)
    return std::nullopt;
  if (refused->reason != Refusal::NotLeader)
    return state::ProposalFailed{
      .id = id,
      .reason = { KindOf(refused->reason), "change was not taken by the log" }
    };
  if (!refused->leader)
    return std::nullopt;
  return ProposalRedirected{ .id = id, .leader = refused->leader->host };
}

bool
ProposalEnds::TryPush(ProposalEnded&& aEnded)
{
  auto message = ToState(std::move(aEnded));
  return !message || state_.TryPush(std::move(*message));
}

bool
ProposalEnds::Push(ProposalEnded&& aEnded)
{
  auto message = ToState(std::move(aEnded));
  return !message || state_.Push(std::move(*message));
}

ReplicatedLog::ReplicatedLog(ConsensusStageOptions aOptions,
                             const Clock& aClock,
                             HostState& aHost,
                             pipe::Pipe<peer::PeerSend>& aPeers,
                             pipe::Pipe<StateMessage>& aState)
  : machine_(aState)
  , ends_(aState)
  , stage_(std::move(aOptions), aClock, machine_, aHost, aPeers, ends_)
{
}

bool
ReplicatedLog::TryPush(state::Proposal&& aProposal)
{
  return stage_.Inlet().TryPush(consensus::Event(
    consensus::Propose{ .id = consensus::ProposalId(aProposal.id.Value()),
                        .command = std::move(aProposal.command) }));
}

bool
ReplicatedLog::Push(state::Proposal&& aProposal)
{
  return stage_.Inlet().Push(consensus::Event(
    consensus::Propose{ .id = consensus::ProposalId(aProposal.id.Value()),
                        .command = std::move(aProposal.command) }));
}
