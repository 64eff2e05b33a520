#include "PeerSource.h"

#include <optional>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

/// Nobody on this host waits for the end of a peer's proposal.
static const consensus::ProposalId kForwardedProposal{ 0 };

PeerSource::PeerSource(pipe::Pipe<dispatch::Event>& aDispatch,
                       pipe::Pipe<OnceMessage>& aOnce,
                       pipe::Pipe<ConsensusInput>* aConsensus)
  : dispatch_(aDispatch)
  , once_(aOnce)
  , consensus_(aConsensus)
{
}

/// \returns whether the event was a message of the agreed log.
bool
PeerSource::TakeLogMessage(peer::PeerEvent& aEvent)
{
  auto* received = std::get_if<peer::PeerReceived>(&aEvent);
  if (received == nullptr)
    return false;
  if (auto* proposal =
        std::get_if<wire::ForwardedProposal>(&received->message)) {
    // Its proposer watches the log for it and sends it again if need be.
    if (consensus_ != nullptr)
      consensus_->TryPush(consensus::Event(consensus::Propose{
        .id = kForwardedProposal, .command = std::move(proposal->command) }));
    return true;
  }
  auto* message = std::get_if<wire::LogMessage>(&received->message);
  if (message == nullptr)
    return false;
  // A host speaks only for itself.
  if (consensus_ != nullptr && message->from.host == received->peer)
    consensus_->TryPush(consensus::Event(
      consensus::Receive{ .from = std::move(message->from),
                          .to = std::move(message->to),
                          .message = std::move(message->message) }));
  return true;
}

static std::optional<dispatch::Event>
ToEvent(peer::PeerReceived&& aEvent)
{
  if (auto* forward = std::get_if<wire::ForwardRequest>(&aEvent.message))
    return dispatch::Forwarded{ .from = std::move(aEvent.peer),
                                .dispatch = forward->dispatch,
                                .request = std::move(forward->request) };
  if (auto* result = std::get_if<wire::ForwardResult>(&aEvent.message))
    return dispatch::ForwardEnded{ .from = std::move(aEvent.peer),
                                   .dispatch = result->dispatch,
                                   .outcome = std::move(result->outcome) };
  if (auto* relayed = std::get_if<wire::RelayedAnnouncement>(&aEvent.message))
    return dispatch::Announced{ .announcement =
                                  std::move(relayed->announcement),
                                .call = std::nullopt };
  if (auto* load = std::get_if<wire::LoadReport>(&aEvent.message))
    return dispatch::PeerLoad{ .peer = std::move(aEvent.peer),
                               .leaving = load->leaving,
                               .pools = std::move(load->pools) };
  if (const auto* cancel = std::get_if<wire::CancelRequest>(&aEvent.message))
    return dispatch::ForwardCancelled{ .from = std::move(aEvent.peer),
                                       .dispatch = cancel->dispatch };
  if (auto* report = std::get_if<dispatch::GrantReport>(&aEvent.message))
    return dispatch::PeerGrants{ .peer = std::move(aEvent.peer),
                                 .report = std::move(*report) };
  return std::nullopt;
}

static std::optional<dispatch::Event>
ToEvent(peer::PeerConnected&& aEvent)
{
  return dispatch::PeerUp{ .peer = std::move(aEvent.peer),
                           .availabilityZone =
                             std::move(aEvent.availabilityZone) };
}

static std::optional<dispatch::Event>
ToEvent(peer::PeerDisconnected&& aEvent)
{
  return dispatch::PeerDown{ .peer = std::move(aEvent.peer) };
}

static std::optional<dispatch::Event>
ToEvent(peer::PeerUndeliverable&& aEvent)
{
  const auto* forward = std::get_if<wire::ForwardRequest>(&aEvent.message);
  if (forward == nullptr)
    return std::nullopt;
  return dispatch::ForwardEnded{ .from = std::move(aEvent.peer),
                                 .dispatch = forward->dispatch,
                                 .outcome = NotRun{
                                   .error = { ErrorKind::Unreachable,
                                              "entry host cannot be reached" },
                                   .retryAfter = {} } };
}

static std::optional<dispatch::Event>
ToEvent(peer::PeerEvent&& aEvent)
{
  return std::visit(
    [](auto&& aAny) { return ToEvent(std::forward<decltype(aAny)>(aAny)); },
    std::move(aEvent));
}

static std::optional<OnceMessage>
ToOnce(peer::PeerEvent& aEvent)
{
  auto* received = std::get_if<peer::PeerReceived>(&aEvent);
  if (received == nullptr)
    return std::nullopt;
  auto* batch = std::get_if<once::LedgerBatch>(&received->message);
  if (batch == nullptr)
    return std::nullopt;
  return OnceReceived{ .from = received->peer, .batch = std::move(*batch) };
}

bool
PeerSource::TryPush(peer::PeerEvent&& aEvent)
{
  if (TakeLogMessage(aEvent))
    return true;
  if (auto message = ToOnce(aEvent))
    return once_.TryPush(std::move(*message));
  auto event = ToEvent(std::move(aEvent));
  return !event || dispatch_.TryPush(std::move(*event));
}

bool
PeerSource::Push(peer::PeerEvent&& aEvent)
{
  if (TakeLogMessage(aEvent))
    return true;
  if (auto message = ToOnce(aEvent))
    return once_.Push(std::move(*message));
  auto event = ToEvent(std::move(aEvent));
  return !event || dispatch_.Push(std::move(*event));
}
