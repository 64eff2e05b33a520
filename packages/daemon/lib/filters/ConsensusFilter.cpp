#include "ConsensusFilter.h"

#include "greengage/observe/Log.h"

#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kTickInterval = Duration(50);

ConsensusFilter::ConsensusFilter(consensus::Replica& aReplica,
                                 state::StateMachine& aMachine,
                                 HostState& aHost,
                                 ConsensusOutlets aOutlets)
  : replica_(aReplica)
  , machine_(aMachine)
  , host_(aHost)
  , outlets_(aOutlets)
{
}

void
ConsensusFilter::Accept(ConsensusInput&& aInput, Time aNow)
{
  std::visit(
    [&](auto&& aKind) { On(std::forward<decltype(aKind)>(aKind), aNow); },
    std::move(aInput));
}

void
ConsensusFilter::OnTimer(Time aNow)
{
  nextTick_ = aNow + kTickInterval;
  if (!IsSilent()) {
    consensus::Actions actions;
    replica_.Tick(aNow, actions);
    CarryOut(std::move(actions), aNow);
  }
  ReportMissingLeader(aNow);
}

static const char*
RoleName(consensus::Role aRole)
{
  switch (aRole) {
    case consensus::Role::Follower:
      return "follower";
    case consensus::Role::PreCandidate:
      return "pre-candidate";
    case consensus::Role::Candidate:
      return "candidate";
    case consensus::Role::Leader:
      break;
  }
  return "leader";
}

static std::string
Join(const std::vector<EntryHostId>& aHosts)
{
  std::string list;
  for (const EntryHostId& host : aHosts)
    list += (list.empty() ? "" : ",") + host.Value();
  return list;
}

void
ConsensusFilter::ReportMissingLeader(Time aNow)
{
  const bool wasKnown = missingLeader_.IsLeaderKnown();
  const auto report = missingLeader_.Update(replica_, aNow);
  const bool isKnown = missingLeader_.IsLeaderKnown();
  if (isKnown != wasKnown)
    host_.metrics.Set("greengage_leader_known", isKnown ? 1 : 0);
  if (!report)
    return;
  observe::Log(observe::LogLevel::Warning,
               "no-leader",
               { { "for_ms", std::to_string(report->lasted.Millis()) },
                 { "term", std::to_string(report->term.Value()) },
                 { "role", RoleName(report->role) },
                 { "journal", hasJournalFailed_ ? "failed" : "ok" },
                 { "last_index", std::to_string(report->lastIndex.Value()) },
                 { "voters", Join(report->voters) },
                 { "heard", Join(report->heard) } });
}

void
ConsensusFilter::On(consensus::Event&& aEvent, Time aNow)
{
  if (const auto* received = std::get_if<consensus::Receive>(&aEvent))
    missingLeader_.OnHeard(received->from.host, aNow);
  // Without its journal this replica is silent, and the others go on.
  if (IsSilent() && !std::holds_alternative<consensus::HostLocated>(aEvent)) {
    if (const auto* propose = std::get_if<consensus::Propose>(&aEvent))
      Do(consensus::ProposalRefused{ .id = propose->id,
                                     .leader = std::nullopt });
    return;
  }
  consensus::Actions actions;
  replica_.Handle(std::move(aEvent), aNow, actions);
  CarryOut(std::move(actions), aNow);
}

void
ConsensusFilter::On(JournalFailed&& /*aEvent*/, Time aNow)
{
  On(consensus::Event(consensus::StepDown{}), aNow);
  hasJournalFailed_ = true;
  UpdateHealth();
  EndHandOver();
}

void
ConsensusFilter::On(JournalRepaired&& /*aEvent*/, Time /*aNow*/)
{
  hasJournalFailed_ = false;
  UpdateHealth();
}

void
ConsensusFilter::UpdateHealth()
{
  host_.isLogHealthy = !IsSilent();
  host_.metrics.Set("greengage_journal_failed", hasJournalFailed_ ? 1 : 0);
}

void
ConsensusFilter::On(HandOver&& aEvent, Time aNow)
{
  handOver_ = std::move(aEvent.done);
  On(consensus::Event(consensus::TransferLeadership{}), aNow);
  EndHandOver();
}

void
ConsensusFilter::EndHandOver()
{
  const bool isLeader = replica_.CurrentRole() == consensus::Role::Leader;
  if (!handOver_ || (isLeader && !IsSilent()))
    return;
  handOver_->set_value();
  handOver_.reset();
}

void
ConsensusFilter::PublishLeadership()
{
  Leadership current{ .term = replica_.CurrentTerm(),
                      .leader = std::nullopt,
                      .isReadyHere = replica_.IsLeaderReady() };
  if (replica_.Leader())
    current.leader = replica_.Leader()->host;
  if (outlets_.leadership == nullptr || current == published_)
    return;
  published_ = current;
  outlets_.leadership->Push(std::move(current));
}

void
ConsensusFilter::CarryOut(consensus::Actions&& aActions, Time aNow)
{
  // The actions may ask another host to take over, which ends the lease, so the
  // new end must be known first.
  host_.leaderTerm.store(replica_.CurrentTerm().Value());
  host_.leaderUntil.store(replica_.LeaseExpiresAt().Millis());
  for (consensus::Action& action : aActions)
    std::visit([&](auto&& aKind) { Do(std::forward<decltype(aKind)>(aKind)); },
               std::move(action));
  EndHandOver();
  PublishLeadership();
  if (followUps_.empty())
    return;
  consensus::Event event = std::move(followUps_.front());
  followUps_.pop_front();
  On(std::move(event), aNow);
}

void
ConsensusFilter::Do(consensus::Send&& aAction)
{
  const EntryHostId to = aAction.to.host;
  wire::LogMessage message{ .from = replica_.Self(),
                            .to = std::move(aAction.to),
                            .message = std::move(aAction.message) };
  if (!outlets_.peers.TryPush({ .to = to, .message = std::move(message) }))
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
ConsensusFilter::Do(consensus::Persist&& aAction)
{
  if (outlets_.journal != nullptr)
    outlets_.journal->Push(std::move(aAction));
  else
    followUps_.emplace_back(consensus::Persisted{ .id = aAction.id });
}

void
ConsensusFilter::Do(consensus::Deliver&& aAction)
{
  std::string result = machine_.Apply(aAction.index, aAction.command);
  if (aAction.kind == consensus::EntryKind::Configuration)
    ReportVoters(aAction.index);
  host_.metrics.Set("greengage_agreed_index",
                    static_cast<double>(aAction.index.Value()));
  if (aAction.proposal)
    outlets_.proposals.Push(
      { .id = *aAction.proposal,
        .end = ProposalApplied{ .index = aAction.index,
                                .result = std::move(result) } });
}

void
ConsensusFilter::ReportVoters(consensus::LogIndex aIndex)
{
  host_.metrics.Set("greengage_agreed_voter", replica_.IsVoter() ? 1 : 0);
  std::vector<EntryHostId> voters;
  for (const consensus::ReplicaId& voter :
       replica_.CurrentLog().VotersAt(aIndex))
    voters.push_back(voter.host);
  observe::Log(observe::LogLevel::Info,
               "voters-changed",
               { { "index", std::to_string(aIndex.Value()) },
                 { "voters", Join(voters) } });
}

void
ConsensusFilter::Do(consensus::RestoreSnapshot&& aAction)
{
  Error reason;
  if (machine_.Restore(aAction.snapshot->data, reason))
    return;
  // Going on would let this host's state differ from that of the others.
  observe::Log(observe::LogLevel::Error,
               "snapshot-refused",
               { { "reason", Describe(reason) } });
  isSnapshotRefused_ = true;
  UpdateHealth();
}

void
ConsensusFilter::Do(consensus::RequestSnapshot&& aAction)
{
  followUps_.emplace_back(consensus::SnapshotTaken{
    .index = aAction.index, .data = machine_.Snapshot() });
}

void
ConsensusFilter::Do(consensus::ProposalRefused&& aAction)
{
  const consensus::ProposalId id = aAction.id;
  outlets_.proposals.Push({ .id = id, .end = std::move(aAction) });
}

void
ConsensusFilter::Do(consensus::ProposalUnknown&& aAction)
{
  const consensus::ProposalId id = aAction.id;
  outlets_.proposals.Push({ .id = id, .end = aAction });
}

void
ConsensusFilter::Do(consensus::LeaderChanged&& aAction)
{
  const std::string leader =
    aAction.leader ? aAction.leader->host.Value() : std::string("none");
  observe::Log(
    observe::LogLevel::Info,
    "leader-changed",
    { { "leader", leader }, { "term", std::to_string(aAction.term.Value()) } });
}
