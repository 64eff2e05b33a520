#include "GateFilter.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

/// How long a call may wait for its reply. Clients give up after 3 s, and a
/// dead connection to the leader shows after 2 s.
static constexpr Duration kReplyTimeout = Duration(2500);
static constexpr Duration kCheckInterval = Duration(100);
static constexpr Duration kLoadReportInterval = Duration::Seconds(2);
/// How often a control host repeats who leads: a notice is dropped where its
/// way is full, and the host that missed it can't serve.
static constexpr Duration kNoticeInterval = Duration::Seconds(1);
/// How often a control host repeats the availability zones of its peers to its
/// replica, which drops news while it is busy or its journal fails.
static constexpr Duration kLocationInterval = Duration::Seconds(10);
/// The status of a call that may or may not have been carried out.
static constexpr unsigned kUnknownOutcome = 504;
/// Delay before a call in doubt is relayed again to a leader that refused it.
static constexpr Duration kAskAgainDelay = Duration(100);
/// Bounds of the time after which a refused client is asked to come back. An
/// election takes 1 to 1.5 s.
static constexpr Duration kTakeOverTime = Duration::Seconds(1);
static constexpr Duration kMaxRetryAfter = Duration::Seconds(8);

GateFilter::GateFilter(HostState& aHost, GateOutlets aOutlets)
  : host_(aHost)
  , outlets_(std::move(aOutlets))
{
}

void
GateFilter::Accept(GateMessage&& aMessage, Time aNow)
{
  now_ = aNow;
  std::visit([&](auto&& aAny) { On(std::forward<decltype(aAny)>(aAny), aNow); },
             std::move(aMessage));
}

bool
GateFilter::LeadsHere() const
{
  return isReadyHere_ && outlets_.served != nullptr;
}

bool
GateFilter::SendsNotices() const
{
  return outlets_.log != nullptr && term_ > consensus::Term(0);
}

bool
GateFilter::CanServe() const
{
  return LeadsHere() || (leader_ && up_.count(*leader_) != 0);
}

static http::HttpResponse
PlainResponse(unsigned aStatus, const char* aText)
{
  http::HttpResponse response;
  response.status = aStatus;
  response.contentType = "text/plain";
  response.body = aText;
  return response;
}

void
GateFilter::On(http::HttpRequest&& aRequest, Time aNow)
{
  Caller caller{ .peer = std::nullopt,
                 .number = 0,
                 .port = aRequest.port,
                 .exchange = aRequest.exchange,
                 .relayedTo = std::nullopt,
                 .beganAt = aNow,
                 .giveUpAt = aNow + kReplyTimeout };
  if (aRequest.port == http::PortRole::Readiness) {
    const bool isReady = CanServe() && !isStopping_;
    Respond(
      caller,
      PlainResponse(isReady ? 200 : 503, isReady ? "ready" : "not ready"));
    return;
  }
  if (aRequest.port == http::PortRole::Metrics) {
    const observe::LogCounts lines = observe::LogDuty::Counts();
    host_.metrics.Set("greengage_log_lines",
                      static_cast<double>(lines.written));
    host_.metrics.Set("greengage_log_lines_dropped",
                      static_cast<double>(lines.dropped));
    host_.metrics.Set("greengage_ready", CanServe() && !isStopping_ ? 1 : 0);
    for (const pipe::DutyLoad& load : pipe::CurrentDutyLoads()) {
      const observe::MetricLabels labels{ { "duty", load.duty } };
      host_.metrics.Set("greengage_duty_processor_ms",
                        static_cast<double>(load.processorTime.Millis()),
                        labels);
      host_.metrics.Set(
        "greengage_duty_backlog", static_cast<double>(load.backlog), labels);
    }
    http::HttpResponse response = PlainResponse(200, "");
    response.body = host_.metrics.Serialize();
    Respond(caller, std::move(response));
    return;
  }
  Dispatch(std::move(caller), std::move(aRequest), aNow);
}

void
GateFilter::Dispatch(Caller&& aCaller,
                     http::HttpRequest&& aRequest,
                     Time /*aNow*/)
{
  const schedule::CallerId id(callerNumbers_.Next());
  if (CanServe())
    refusedSince_.reset();
  if (LeadsHere()) {
    const auto at = callers_.emplace(id, std::move(aCaller)).first;
    if (outlets_.served->TryPush(
          { .caller = id, .request = std::move(aRequest) }))
      return;
    Refuse(at->second, "the leader is at its limit");
    callers_.erase(at);
    return;
  }
  // A call is relayed once, so that it can't go in circles.
  if (aCaller.peer || !CanServe()) {
    Refuse(aCaller, "no leader is known or can be reached");
    return;
  }
  aCaller.request = std::move(aRequest);
  const auto at = callers_.emplace(id, std::move(aCaller)).first;
  if (Relay(id, at->second))
    return;
  Refuse(at->second, "this host is at its limit");
  callers_.erase(at);
}

/// Relays the call to the leader. \returns false if there is no room for it.
bool
GateFilter::Relay(schedule::CallerId aId, Caller& aCaller)
{
  const bool mayAskAgain = aCaller.port == http::PortRole::Callers;
  wire::RelayedCall call{ .number = aId.Value(), .request = {} };
  if (mayAskAgain)
    call.request = *aCaller.request;
  else
    call.request = *std::exchange(aCaller.request, std::nullopt);
  if (!outlets_.peers.TryPush({ .to = leader_, .message = std::move(call) }))
    return false;
  aCaller.relayedTo = leader_;
  return true;
}

/// Notes that the call may or may not have been carried out, and that the next
/// leader is to be asked while the caller waits.
void
GateFilter::AskAgain(Caller& aCaller, Time aAt)
{
  aCaller.relayedTo.reset();
  aCaller.isInDoubt = true;
  aCaller.nextTryAt = aAt;
  host_.metrics.Count("greengage_calls_asked_again_total");
}

/// Relays the calls in doubt to the current leader.
void
GateFilter::RelayAgain(Time aNow)
{
  if (!leader_ || up_.count(*leader_) == 0)
    return;
  for (auto& [id, caller] : callers_)
    if (caller.isInDoubt && !caller.relayedTo && caller.nextTryAt <= aNow &&
        !Relay(id, caller))
      caller.nextTryAt = aNow + kAskAgainDelay;
}

/// When a refused client should come back: after an election or, if there has
/// been no leader for longer, after as long again.
Duration
GateFilter::RetryAfter()
{
  if (CanServe())
    return kTakeOverTime;
  if (!refusedSince_)
    refusedSince_ = now_;
  return std::clamp(now_ - *refusedSince_, kTakeOverTime, kMaxRetryAfter);
}

/// Answers that the call was not carried out, and when to ask again.
void
GateFilter::Refuse(const Caller& aCaller, const char* aWhy)
{
  host_.metrics.Count("greengage_calls_refused_total");
  http::HttpResponse response = PlainResponse(503, aWhy);
  response.retryAfter = RetryAfter();
  Respond(aCaller, std::move(response));
}

void
GateFilter::Respond(const Caller& aCaller, http::HttpResponse&& aResponse)
{
  if (aCaller.peer) {
    wire::RelayedReply reply{ .number = aCaller.number,
                              .response = std::move(aResponse) };
    if (!outlets_.peers.TryPush(
          { .to = aCaller.peer, .message = std::move(reply) }))
      host_.metrics.Count("greengage_peer_messages_dropped_total");
    return;
  }
  if (aCaller.port == http::PortRole::Callers ||
      aCaller.port == http::PortRole::Control) {
    host_.metrics.Count("greengage_calls_total",
                        { { "status", std::to_string(aResponse.status) } });
    host_.metrics.Observe(
      "greengage_call_ms",
      static_cast<double>((now_ - aCaller.beganAt).Millis()));
  }
  aResponse.port = aCaller.port;
  aResponse.exchange = aCaller.exchange;
  const auto port = outlets_.ports.find(aCaller.port);
  if (port != outlets_.ports.end())
    port->second->Push(std::move(aResponse));
}

void
GateFilter::On(CallAnswered&& aAnswer, Time /*aNow*/)
{
  const auto found = callers_.find(aAnswer.caller);
  if (found == callers_.end())
    return;
  Respond(found->second, std::move(aAnswer.response));
  callers_.erase(found);
}

bool
GateFilter::Learn(consensus::Term aTerm,
                  const std::optional<EntryHostId>& aLeader)
{
  const bool isNews = aTerm > term_ || (aTerm == term_ && aLeader);
  if (!isNews || (aTerm == term_ && aLeader == leader_))
    return false;
  term_ = aTerm;
  leader_ = aLeader;
  observe::Log(observe::LogLevel::Info,
               "leader-learned",
               { { "term", std::to_string(aTerm.Value()) },
                 { "leader", aLeader ? aLeader->Value() : "none" } });
  ConnectToLeader();
  return true;
}

/// A message to a host that is no peer yet makes it one.
void
GateFilter::ConnectToLeader()
{
  if (leader_ && *leader_ != host_.id && up_.count(*leader_) == 0)
    SendNotice(leader_);
}

void
GateFilter::SendNotice(const std::optional<EntryHostId>& aTo)
{
  outlets_.peers.TryPush(
    { .to = aTo,
      .message = wire::LeaderNotice{ .term = term_, .leader = leader_ } });
}

void
GateFilter::TellLocation(const EntryHostId& aPeer,
                         const AvailabilityZoneId& aAvailabilityZone) const
{
  outlets_.log->TryPush(consensus::Event(consensus::HostLocated{
    .host = aPeer, .availabilityZone = aAvailabilityZone }));
}

void
GateFilter::On(Leadership&& aLeadership, Time aNow)
{
  isReadyHere_ = aLeadership.isReadyHere;
  if (!Learn(aLeadership.term, aLeadership.leader))
    return;
  nextNotice_ = aNow + kNoticeInterval;
  SendNotice(std::nullopt);
}

void
GateFilter::On(BeginStop&& /*aStop*/, Time /*aNow*/)
{
  isStopping_ = true;
}

void
GateFilter::On(peer::PeerEvent&& aEvent, Time aNow)
{
  std::visit(
    [&](auto&& aAny) { OnPeer(std::forward<decltype(aAny)>(aAny), aNow); },
    std::move(aEvent));
}

void
GateFilter::OnPeer(peer::PeerConnected&& aEvent, Time /*aNow*/)
{
  up_[aEvent.peer] = aEvent.availabilityZone;
  RelayAgain(now_);
  if (outlets_.log != nullptr)
    TellLocation(aEvent.peer, aEvent.availabilityZone);
  if (SendsNotices())
    SendNotice(aEvent.peer);
}

void
GateFilter::OnPeer(peer::PeerDisconnected&& aEvent, Time /*aNow*/)
{
  up_.erase(aEvent.peer);
  for (auto& [id, caller] : callers_)
    if (caller.relayedTo == aEvent.peer && caller.request)
      AskAgain(caller, now_);
  GiveUp(
    [&](const Caller& aCaller) { return aCaller.relayedTo == aEvent.peer; },
    "connection to the leader was lost");
  ForgetCallsOf(aEvent.peer);
}

/// Forgets the calls that the peer has relayed over a connection that has
/// ended. The peer asks again, or has been restarted and knows nothing of them.
void
GateFilter::ForgetCallsOf(const EntryHostId& aPeer)
{
  const std::size_t count = std::erase_if(
    callers_, [&](const auto& aItem) { return aItem.second.peer == aPeer; });
  if (count == 0)
    return;
  observe::Log(
    observe::LogLevel::Info,
    "relayed-calls-forgotten",
    { { "peer", aPeer.Value() }, { "count", std::to_string(count) } });
}

void
GateFilter::OnPeer(peer::PeerReceived&& aEvent, Time aNow)
{
  wire::PeerMessage& message = aEvent.message;
  if (auto* log = std::get_if<wire::LogMessage>(&message))
    OnMessage(aEvent.peer, std::move(*log));
  else if (auto* call = std::get_if<wire::RelayedCall>(&message))
    OnMessage(aEvent.peer, std::move(*call), aNow);
  else if (auto* reply = std::get_if<wire::RelayedReply>(&message))
    OnMessage(aEvent.peer, std::move(*reply));
  else if (const auto* notice = std::get_if<wire::LeaderNotice>(&message))
    OnMessage(*notice, aNow);
}

void
GateFilter::OnPeer(peer::PeerUndeliverable&& aEvent, Time /*aNow*/)
{
  const auto* call = std::get_if<wire::RelayedCall>(&aEvent.message);
  if (call == nullptr)
    return;
  const auto found = callers_.find(schedule::CallerId(call->number));
  if (found == callers_.end())
    return;
  if (found->second.isInDoubt) {
    AskAgain(found->second, now_ + kAskAgainDelay);
    return;
  }
  Refuse(found->second, "the leader can't be reached");
  callers_.erase(found);
}

void
GateFilter::OnMessage(const EntryHostId& aPeer,
                      wire::RelayedCall&& aCall,
                      Time aNow)
{
  Dispatch({ .peer = aPeer,
             .number = aCall.number,
             .port = aCall.request.port,
             .exchange = {},
             .relayedTo = std::nullopt,
             .beganAt = aNow,
             .giveUpAt = aNow + kReplyTimeout },
           std::move(aCall.request),
           aNow);
}

/// Whether a response refuses a call for a reason that may not have held when
/// an earlier leader handled the call.
static bool
IsRefusal(unsigned aStatus)
{
  constexpr unsigned kMalformed = 400;
  constexpr unsigned kNoSuchJob = 410;
  return aStatus >= kMalformed && aStatus != kMalformed &&
         aStatus != kNoSuchJob;
}

void
GateFilter::OnMessage(const EntryHostId& aPeer, wire::RelayedReply&& aReply)
{
  const auto found = callers_.find(schedule::CallerId(aReply.number));
  if (found == callers_.end()) {
    IgnoreReply(aPeer, aReply, "no call waits for it");
    return;
  }
  if (found->second.relayedTo != aPeer) {
    IgnoreReply(aPeer, aReply, "call was not relayed to this peer");
    return;
  }
  Caller& caller = found->second;
  const unsigned status = aReply.response.status;
  if (caller.request &&
      (status == kUnknownOutcome || (caller.isInDoubt && IsRefusal(status)))) {
    AskAgain(caller, now_ + kAskAgainDelay);
    return;
  }
  Respond(caller, std::move(aReply.response));
  callers_.erase(found);
}

void
GateFilter::IgnoreReply(const EntryHostId& aPeer,
                        const wire::RelayedReply& aReply,
                        const char* aWhy)
{
  host_.metrics.Count("greengage_relayed_replies_ignored_total");
  observe::Log(observe::LogLevel::Info,
               "relayed-reply-ignored",
               { { "peer", aPeer.Value() },
                 { "number", std::to_string(aReply.number) },
                 { "status", std::to_string(aReply.response.status) },
                 { "reason", aWhy } });
}

void
GateFilter::OnMessage(const wire::LeaderNotice& aNotice, Time aNow)
{
  if (outlets_.log == nullptr) {
    if (!Learn(aNotice.term, aNotice.leader)) {
      ConnectToLeader();
      return;
    }
    // The former leader can carry out nothing more, and may not say so.
    for (auto& [id, caller] : callers_)
      if (leader_ && caller.relayedTo && caller.relayedTo != leader_ &&
          caller.request)
        AskAgain(caller, aNow);
    RelayAgain(aNow);
    return;
  }
  // A host with the log believes its own replica, which asks the leader for the
  // log if it has no other way to it.
  if (aNotice.leader)
    outlets_.log->TryPush(
      consensus::Event(consensus::LeaderAnnounced{ .host = *aNotice.leader }));
}

void
GateFilter::OnMessage(const EntryHostId& aPeer,
                      wire::LogMessage&& aMessage) const
{
  // A host speaks only for itself.
  if (outlets_.log == nullptr || aMessage.from.host != aPeer)
    return;
  outlets_.log->TryPush(consensus::Event(
    consensus::Receive{ .from = std::move(aMessage.from),
                        .to = std::move(aMessage.to),
                        .message = std::move(aMessage.message) }));
}

/// Answers callers whose calls may or may not have been carried out.
void
GateFilter::GiveUp(const std::function<bool(const Caller&)>& aMatches,
                   const char* aWhy)
{
  std::size_t count = 0;
  for (auto at = callers_.begin(); at != callers_.end();) {
    if (!aMatches(at->second)) {
      ++at;
      continue;
    }
    ++count;
    Respond(at->second, PlainResponse(kUnknownOutcome, aWhy));
    at = callers_.erase(at);
  }
  if (count == 0)
    return;
  observe::Log(observe::LogLevel::Warning,
               "calls-given-up",
               { { "count", std::to_string(count) }, { "reason", aWhy } });
}

std::optional<Time>
GateFilter::NextTimer() const
{
  if (callers_.empty())
    return SendsNotices() ? std::optional(nextNotice_) : std::nullopt;
  return SendsNotices() ? std::min(nextCheck_, nextNotice_) : nextCheck_;
}

void
GateFilter::OnTimer(Time aNow)
{
  now_ = aNow;
  if (SendsNotices() && aNow >= nextNotice_) {
    nextNotice_ = aNow + kNoticeInterval;
    SendNotice(std::nullopt);
  }
  if (outlets_.log != nullptr && aNow >= nextLocation_) {
    nextLocation_ = aNow + kLocationInterval;
    for (const auto& [peer, availabilityZone] : up_)
      TellLocation(peer, availabilityZone);
  }
  nextCheck_ = aNow + kCheckInterval;
  RelayAgain(aNow);
  GiveUp([&](const Caller& aCaller) { return aCaller.giveUpAt <= aNow; },
         "the leader did not answer in time");
  if (outlets_.log != nullptr && aNow >= nextLoadReport_) {
    nextLoadReport_ = aNow + kLoadReportInterval;
    ReportLoads();
  }
}

/// Logs what each duty has cost since the last report.
void
GateFilter::ReportLoads()
{
  for (pipe::DutyLoad& load : pipe::CurrentDutyLoads()) {
    pipe::DutyLoad& reported = reportedLoads_[load.duty];
    observe::Log(
      observe::LogLevel::Info,
      "duty-load",
      { { "duty", load.duty },
        { "processor_ms",
          std::to_string(
            (load.processorTime - reported.processorTime).Millis()) },
        { "messages", std::to_string(load.messages - reported.messages) },
        { "backlog", std::to_string(load.backlog) } });
    reported = std::move(load);
  }
}
