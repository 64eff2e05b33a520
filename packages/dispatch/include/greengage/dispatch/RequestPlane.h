/// \file
/// The decisions about requests on one entry host: admission, waiting, choice
/// of upstream, retries and the outcome. Events and a time go in, actions come
/// out; there are no sockets, encodings or clocks inside.

#ifndef GREENGAGE_DISPATCH_REQUESTPLANE_H
#define GREENGAGE_DISPATCH_REQUESTPLANE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/DeadlineGate.h"
#include "greengage/dispatch/LimitLedger.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/dispatch/PeerTable.h"
#include "greengage/dispatch/RequestQueue.h"
#include "greengage/dispatch/RequestRecords.h"
#include "greengage/dispatch/RetryBudget.h"
#include "greengage/dispatch/RunTimes.h"
#include "greengage/dispatch/UpstreamHealth.h"
#include "greengage/dispatch/UpstreamTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

namespace greengage::dispatch {

/// What the request plane knows of its own host, and its bounds.
struct RequestPlaneOptions
{
  EntryHostId self;
  AvailabilityZoneId availabilityZone;
  /// Attempts on upstreams for one request, the first included.
  int maxAttempts = 4;
  /// Requests of peers and callers on their way at once.
  std::size_t maxWorks = 100000;
  /// How often peers hear of changed load.
  Duration publishInterval = Duration(100);
  /// How often peers hear of the whole load.
  Duration publishAllInterval = Duration::Seconds(2);
  RecordOptions records = {};
};

/// The request plane. Every event costs a time that is at most logarithmic in
/// the number of upstreams and waiting requests.
class RequestPlane
{
public:
  /// \p aQueue and \p aLimits must outlive the plane.
  RequestPlane(RequestPlaneOptions aOptions,
               RequestQueue& aQueue,
               LimitLedger& aLimits);

  /// Reacts to one event and appends what is to be done to \p aOut.
  void Handle(Event&& aEvent, Time aNow, Actions& aOut);
  /// Reacts to the time; to be called every few tens of milliseconds.
  void Tick(Time aNow, Actions& aOut);

  std::size_t WorksInProgress() const { return works_.size(); }

private:
  /// A request of a caller of this host.
  struct LocalOrigin
  {
    RequestRecords::Key key;
  };
  /// A request that a peer forwarded.
  struct PeerOrigin
  {
    EntryHostId peer;
    DispatchId dispatch;
  };
  using Origin = std::variant<LocalOrigin, PeerOrigin>;

  /// A request on its way.
  struct Work
  {
    Request request;
    Origin origin;
    /// Attempts that failed for another reason than taken slots.
    int attempts = 0;
    /// Some upstream may have run it: it can't end as "not run" any more.
    bool mayHaveRun = false;
    /// The callers have been told at the deadline.
    bool isAnswered = false;
    /// How long the attempt in progress is likely to run, and its start.
    Duration expectedRun;
    Time startedAt;
    /// The attempt in progress.
    DispatchId dispatch;
    bool wasSent = false;
    /// The caller has withdrawn it: it is not tried again.
    bool isCancelled = false;
  };

  /// Where a request can run now: an upstream of this host, or a peer.
  using Place = std::variant<UpstreamId, EntryHostId>;

  /// A request that was sent somewhere and has not come back.
  struct Attempt
  {
    WorkId work;
    Place place;
  };

  /// What a lost attempt may still be using.
  struct Hold
  {
    std::optional<TeamId> team;
    std::optional<UpstreamId> upstream;
  };

  void On(Submit&& aEvent, Time aNow, Actions& aOut);
  void On(Cancel&& aEvent, Time aNow, Actions& aOut);
  void On(Forwarded&& aEvent, Time aNow, Actions& aOut);
  void On(ForwardCancelled&& aEvent, Time aNow, Actions& aOut);
  void On(ForwardEnded&& aEvent, Time aNow, Actions& aOut);
  void On(Announced&& aEvent, Time aNow, Actions& aOut);
  void On(AttemptEnded&& aEvent, Time aNow, Actions& aOut);
  void On(PeerUp&& aEvent, Time aNow, Actions& aOut);
  void On(PeerDown&& aEvent, Time aNow, Actions& aOut);
  void On(PeerLoad&& aEvent, Time aNow, Actions& aOut);
  void On(PeerGrants&& aEvent, Time aNow, Actions& aOut);
  void On(ViewChanged&& aEvent, Time aNow, Actions& aOut);
  void On(BeginShutdown&& aEvent, Time aNow, Actions& aOut);

  void HandOverUpstreams(Time aNow, Actions& aOut);
  std::optional<NotRun> Refusal(const Request& aRequest, Time aNow) const;
  std::optional<NotRun> RefusalAtDoor(const Request& aRequest, Time aNow);
  bool AnswerFromRecord(const Submit& aEvent, Actions& aOut);
  void Admit(Submit&& aEvent, Time aNow, Actions& aOut);
  WorkId AddWork(Request&& aRequest, Origin&& aOrigin);
  QueueEntry EntryOf(WorkId aWork, const Request& aRequest) const;
  void Enqueue(WorkId aWork, Time aNow);

  void Schedule(const PoolId& aPool, Time aNow, Actions& aOut);
  std::optional<Place> TakePlace(const PoolId& aPool, Time aNow);
  void ReturnPlace(const Place& aPlace, const PoolId& aPool);
  void Start(WorkId aWork, Place&& aPlace, Time aNow, Actions& aOut);
  void LearnRun(WorkId aWork, const Outcome& aOutcome, Time aNow);
  void JudgeUpstream(const UpstreamId& aUpstream,
                     const Work& aWork,
                     AttemptEnd aEnd,
                     Time aNow);
  void ApplyHealth(const UpstreamId& aUpstream);
  void ReleaseLimit(const TeamId& aTeam, Time aNow);
  Attempt TakeAttempt(DispatchId aDispatch);

  void SettleSlot(const UpstreamId& aUpstream,
                  const Work& aWork,
                  AttemptEnd aEnd,
                  Time aNow);
  void Settle(WorkId aWork, Outcome&& aOutcome, Time aNow, Actions& aOut);
  bool MayRetry(Work& aWork, const Outcome& aOutcome, Time aNow);
  void CancelRunning(Work& aWork, Actions& aOut);
  static Outcome Truthful(const Work& aWork, Outcome&& aOutcome);
  void HoldUntilLeaseEnd(const Work& aWork, Hold&& aHold);
  void Finish(WorkId aWork, Outcome&& aOutcome, Time aNow, Actions& aOut);
  void AnswerWaiters(const RequestRecords::Key& aKey,
                     const Outcome& aOutcome,
                     Time aNow,
                     Actions& aOut);

  void ExpireWaiting(Time aNow, Actions& aOut);
  void AnswerOverdue(Time aNow, Actions& aOut);
  void ReleaseHolds(Time aNow);
  void Publish(Time aNow, Actions& aOut);
  void ExchangeGrants(Time aNow, Actions& aOut);
  void ScheduleAll(Time aNow, Actions& aOut);
  void ReportDrained(Actions& aOut);

  RequestPlaneOptions options_;
  RequestQueue& queue_;
  LimitLedger& limits_;
  state::FleetViewPtr view_;
  UpstreamTable upstreams_;
  PeerTable peers_;
  RequestRecords records_;
  RunTimes runTimes_;
  DeadlineGate gate_;
  UpstreamHealth health_;
  RetryBudget retryBudget_;

  std::unordered_map<WorkId, Work> works_;
  std::unordered_map<DispatchId, Attempt> attempts_;
  /// The requests that peers have forwarded, by the peers' dispatches.
  std::map<std::pair<EntryHostId, DispatchId>, WorkId> peerWorks_;
  /// Requests being run, by deadline.
  std::set<std::pair<Time, WorkId>> running_;
  std::multimap<Time, Hold> holds_;
  std::uint64_t lastWork_ = 0;
  std::uint64_t lastDispatch_ = 0;

  std::map<PoolId, PoolLoad> published_;
  Time nextPublish_;
  Time nextPublishAll_;
  bool shuttingDown_ = false;
  bool drainedReported_ = false;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTPLANE_H
