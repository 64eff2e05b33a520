/// \file
/// The request state machine of one entry host: admission, queueing, choice of
/// upstream, retries and outcomes. It maps an event and the current time to
/// actions and uses no sockets, encodings or clocks itself.

#ifndef GREENGAGE_DISPATCH_REQUESTPLANE_H
#define GREENGAGE_DISPATCH_REQUESTPLANE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/UniqueSequence.h"
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

/// The identity of this entry host and the limits of its request plane.
struct RequestPlaneOptions
{
  EntryHostId self;
  AvailabilityZoneId availabilityZone;
  /// Maximum number of attempts for one request, the first included. Refusals
  /// for lack of capacity are not counted.
  int maxAttempts = 4;
  /// Maximum number of requests of callers and peers, queued or running.
  std::size_t maxRequestsInProgress = 100000;
  /// Minimum interval between reports of changed load to peers.
  Duration publishInterval = Duration(100);
  /// Interval between reports of the load of all pools to peers.
  Duration fullPublishInterval = Duration::Seconds(2);
  RecordOptions records = {};
};

/// The request plane. The events of a request or an upstream take at most
/// logarithmic time in the number of upstreams and queued requests.
class RequestPlane
{
public:
  /// \p aQueue and \p aLimits must outlive the plane.
  RequestPlane(RequestPlaneOptions aOptions,
               RequestQueue& aQueue,
               LimitLedger& aLimits);

  /// Handles one event and appends the resulting actions to \p aOut.
  void Handle(Event&& aEvent, Time aNow, Actions& aOut);
  /// Handles timeouts and periodic reports; to be called every few tens of
  /// milliseconds.
  void Tick(Time aNow, Actions& aOut);

  std::size_t RequestsInProgress() const { return works_.size(); }

private:
  /// The request came from a caller of this entry host.
  struct LocalOrigin
  {
    RequestRecords::Key key;
  };
  /// The request was forwarded by a peer.
  struct PeerOrigin
  {
    EntryHostId peer;
    DispatchId dispatch;
  };
  using Origin = std::variant<LocalOrigin, PeerOrigin>;

  /// A request that is queued or running.
  struct Work
  {
    Request request;
    Origin origin;
    /// Failed attempts, not counting refusals for lack of capacity.
    int failedAttempts = 0;
    /// An upstream may have run it, which rules out the outcome NotRun.
    bool mayHaveRun = false;
    /// The callers have received an Unknown outcome at the deadline.
    bool isAnswered = false;
    /// Expected run time and start time of the attempt in progress.
    Duration expectedRunTime;
    Time startedAt;
    /// The attempt in progress, or the last one.
    DispatchId dispatch;
    bool hasBeenSent = false;
    /// The caller has cancelled it, so it is not retried.
    bool isCancelled = false;
  };

  /// Where an attempt runs: an upstream of this entry host, or a peer.
  using Target = std::variant<UpstreamId, EntryHostId>;

  /// An attempt that was sent and has not ended yet.
  struct Attempt
  {
    WorkId work;
    Target target;
  };

  /// A slot of the team's limit or of an upstream that a lost attempt may
  /// occupy until its lease expires.
  struct LeasedResources
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
  std::optional<NotRun> CheckAdmission(const Request& aRequest,
                                       Time aNow) const;
  std::optional<NotRun> CheckDeadline(const Request& aRequest, Time aNow);
  bool AnswerFromRecord(const Submit& aEvent, Actions& aOut);
  void Admit(Submit&& aEvent, Time aNow, Actions& aOut);
  WorkId AddWork(Request&& aRequest, Origin&& aOrigin);
  QueueEntry MakeQueueEntry(WorkId aWork, const Request& aRequest) const;
  void Enqueue(WorkId aWork, Time aNow);

  void Schedule(const PoolId& aPool, Time aNow, Actions& aOut);
  std::optional<Target> TakeTarget(const PoolId& aPool, Time aNow);
  void ReturnTarget(const Target& aTarget, const PoolId& aPool);
  void Start(WorkId aWork, Target&& aTarget, Time aNow, Actions& aOut);
  void RecordRun(WorkId aWork, const Outcome& aOutcome, Time aNow);
  void UpdateUpstreamHealth(const UpstreamId& aUpstream,
                            const Work& aWork,
                            AttemptEnd aEnd,
                            Time aNow);
  void ApplyHealth(const UpstreamId& aUpstream);
  void ReleaseLimit(const TeamId& aTeam, Time aNow);
  Attempt TakeAttempt(DispatchId aDispatch);

  void ReleaseUpstreamSlot(const UpstreamId& aUpstream,
                           const Work& aWork,
                           AttemptEnd aEnd,
                           Time aNow);
  void FinishOrRetry(WorkId aWork,
                     Outcome&& aOutcome,
                     Time aNow,
                     Actions& aOut);
  bool TryAcquireRetry(Work& aWork, const Outcome& aOutcome, Time aNow);
  void CancelRunning(Work& aWork, Actions& aOut);
  static Outcome DowngradeNotRun(const Work& aWork, Outcome&& aOutcome);
  void RetainUntilLeaseExpiry(const Work& aWork, LeasedResources&& aResources);
  void Finish(WorkId aWork, Outcome&& aOutcome, Time aNow, Actions& aOut);
  void AnswerWaiters(const RequestRecords::Key& aKey,
                     const Outcome& aOutcome,
                     Time aNow,
                     Actions& aOut);

  void ExpireQueued(Time aNow, Actions& aOut);
  void AnswerOverdue(Time aNow, Actions& aOut);
  void ReleaseExpiredLeases(Time aNow);
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
  /// In the order in which they were sent.
  std::map<DispatchId, Attempt> attempts_;
  /// The requests that peers have forwarded, by the peer's dispatch id.
  std::map<std::pair<EntryHostId, DispatchId>, WorkId> peerWorks_;
  /// Requests with an attempt in progress, by deadline.
  std::set<std::pair<Time, WorkId>> running_;
  /// Resources of lost attempts, by the time at which they are released.
  std::multimap<Time, LeasedResources> leasedResources_;
  std::uint64_t lastWork_ = 0;
  /// Peers and upstreams may answer after a restart of this host.
  UniqueSequence dispatchNumbers_;

  std::map<PoolId, PoolLoad> publishedLoads_;
  Time nextPublish_;
  Time nextFullPublish_;
  bool shuttingDown_ = false;
  bool drainedReported_ = false;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTPLANE_H
