/// \file
/// The filter that finds the leader: calls of outsiders are served here if this
/// host leads, else relayed to the host that does, else refused at once.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_GATEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_GATEFILTER_H

#include "../HostState.h"
#include "JobMessages.h"

#include "greengage/core/UniqueSequence.h"
#include "greengage/pipe/DutyLoad.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace greengage::daemon::detail {

/// Where the gate's messages go.
struct GateOutlets
{
  /// The responses of the ports, by their roles.
  std::map<http::PortRole, pipe::Pipe<http::HttpResponse>*> ports;
  pipe::Pipe<peer::PeerSend>& peers;
  /// Calls to serve; null on a host that never leads.
  pipe::Pipe<RawCall>* served = nullptr;
  /// The messages of the agreed log; null on a host that has none.
  pipe::Pipe<ConsensusInput>* log = nullptr;
};

/// Relays calls and replies. It reads nothing of what they say.
class GateFilter final : public pipe::Filter<GateMessage>
{
public:
  GateFilter(HostState& aHost, GateOutlets aOutlets);
  void Accept(GateMessage&& aMessage, Time aNow) override;
  std::optional<Time> NextTimer() const override;
  void OnTimer(Time aNow) override;

private:
  /// Who waits for the reply to a call.
  struct Caller
  {
    /// The peer that relayed the call; none for a call of this host's ports.
    std::optional<EntryHostId> peer;
    /// The peer's number of the call.
    std::uint64_t number = 0;
    http::PortRole port = http::PortRole::Callers;
    http::ExchangeId exchange;
    /// Where the call was relayed to; none for a call served here, or while it
    /// waits for a leader to be asked again.
    std::optional<EntryHostId> relayedTo;
    Time beganAt;
    Time giveUpAt;
    /// The request of a client's call that was relayed, to ask another leader.
    /// Handing in the same call again is harmless.
    std::optional<http::HttpRequest> request = {};
    /// A leader may have carried out the call, so that a refusal by another one
    /// does not say that it was not.
    bool isInDoubt = false;
    Time nextTryAt = {};
  };

  void On(http::HttpRequest&& aRequest, Time aNow);
  void On(peer::PeerEvent&& aEvent, Time aNow);
  void On(CallAnswered&& aAnswer, Time aNow);
  void On(Leadership&& aLeadership, Time aNow);
  void On(BeginStop&& aStop, Time aNow);
  void OnPeer(peer::PeerConnected&& aEvent, Time aNow);
  void OnPeer(peer::PeerDisconnected&& aEvent, Time aNow);
  void OnPeer(peer::PeerReceived&& aEvent, Time aNow);
  void OnPeer(peer::PeerUndeliverable&& aEvent, Time aNow);
  void OnMessage(const EntryHostId& aPeer,
                 wire::RelayedCall&& aCall,
                 Time aNow);
  void OnMessage(const EntryHostId& aPeer, wire::RelayedReply&& aReply);
  void IgnoreReply(const EntryHostId& aPeer,
                   const wire::RelayedReply& aReply,
                   const char* aWhy);
  void OnMessage(const wire::LeaderNotice& aNotice, Time aNow);
  void OnMessage(const EntryHostId& aPeer, wire::LogMessage&& aMessage) const;
  bool Learn(consensus::Term aTerm, const std::optional<EntryHostId>& aLeader);
  void ConnectToLeader();
  /// Tells one peer, or all that are up, who leads.
  void SendNotice(const std::optional<EntryHostId>& aTo);
  /// Tells the replica where a peer is.
  void TellLocation(const EntryHostId& aPeer,
                    const AvailabilityZoneId& aAvailabilityZone) const;
  void Dispatch(Caller&& aCaller, http::HttpRequest&& aRequest, Time aNow);
  void Respond(const Caller& aCaller, http::HttpResponse&& aResponse);
  void Refuse(const Caller& aCaller, const char* aWhy);
  void ForgetCallsOf(const EntryHostId& aPeer);
  bool Relay(schedule::CallerId aId, Caller& aCaller);
  void AskAgain(Caller& aCaller, Time aAt);
  void RelayAgain(Time aNow);
  void GiveUp(const std::function<bool(const Caller&)>& aMatches,
              const char* aWhy);
  void ReportLoads();
  bool LeadsHere() const;
  bool CanServe() const;
  Duration RetryAfter();
  /// Whether this host has the log and so tells others who leads.
  bool SendsNotices() const;

  HostState& host_;
  GateOutlets outlets_;
  consensus::Term term_;
  std::optional<EntryHostId> leader_;
  bool isReadyHere_ = false;
  bool isStopping_ = false;
  /// The peers that are up, with their availability zones.
  std::map<EntryHostId, AvailabilityZoneId> up_;
  /// In the order of their arrival.
  std::map<schedule::CallerId, Caller> callers_;
  UniqueSequence callerNumbers_;
  Time now_;
  Time nextCheck_;
  Time nextNotice_;
  Time nextLocation_;
  Time nextLoadReport_;
  /// When the first call was refused since there was a leader.
  std::optional<Time> refusedSince_;
  std::map<std::string, pipe::DutyLoad> reportedLoads_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_GATEFILTER_H
