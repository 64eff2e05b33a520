/// \file
/// The filter that holds the agreed state of jobs and, on the leader, decides
/// about runs.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_SCHEDULEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_SCHEDULEFILTER_H

#include "../HostState.h"
#include "JobMessages.h"

#include "greengage/core/Clock.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/schedule/Controller.h"

#include <deque>
#include <map>
#include <optional>

namespace greengage::daemon::detail {

/// A reply with whoever waits for it.
struct CallReply
{
  schedule::CallerId caller;
  schedule::Reply reply;
};

/// Where the decisions go.
struct ScheduleOutlets
{
  pipe::Pipe<ConsensusInput>& log;
  pipe::Pipe<schedule::WorkerCall>& workers;
  pipe::Pipe<schedule::HostCall>& hosts;
  pipe::Pipe<schedule::AdviceCall>& advice;
  /// Must always take replies in the end.
  pipe::Pipe<CallReply>& replies;
};

/// Drives the controller.
class ScheduleFilter final
  : public pipe::Filter<ScheduleMessage>
  , private schedule::ControllerSink
{
public:
  ScheduleFilter(schedule::SchedulerOptions aOptions,
                 schedule::HostPlannerOptions aHostOptions,
                 const jobs::ConfigurationReader& aReader,
                 HostState& aHost,
                 const Clock& aWallClock,
                 ScheduleOutlets aOutlets);
  void Accept(ScheduleMessage&& aMessage, Time aNow) override;
  std::optional<Time> NextTimer() const override;
  void OnTimer(Time aNow) override;

private:
  void On(schedule::IncomingCall&& aCall, schedule::ClockReading aNow);
  void On(schedule::WorkerReply&& aReply, schedule::ClockReading aNow);
  void On(schedule::HostReply&& aReply, schedule::ClockReading aNow);
  void On(schedule::AdviceReply&& aReply, schedule::ClockReading aNow);
  void On(EntryCommitted&& aEntry, schedule::ClockReading aNow);
  void On(RestoreState&& aState, schedule::ClockReading aNow);
  void On(SnapshotWanted&& aWish, schedule::ClockReading aNow);
  void On(Leadership&& aLeadership, schedule::ClockReading aNow);
  void On(ProposalEnded&& aEnd, schedule::ClockReading aNow);
  void OnRefused(schedule::BatchId aBatch, consensus::Refusal aReason);
  /// Hands the leadership back after the log has refused an entry of the
  /// leader: the controller follows then, and can't lead again with the same
  /// fencing token.
  void StepDownIfDue();
  /// Exports the number of idle persistent tasks if it has changed.
  void ReportIdleTasks();
  /// Logs the load of each pool that has jobs.
  void ReportPools() const;
  /// Logs the work of dispatch since the last report, and exports the number of
  /// removed queues that are remembered.
  void ReportWork();
  /// How long the oldest proposal has been waiting for its commit.
  Duration OldestProposalAge() const;
  /// Reports calls that found no room as not sent.
  void ReportUnsent(schedule::ClockReading aNow);
  schedule::ClockReading ClockReadingAt(Time aNow) const;
  Time LeaderLeaseEnd() const;

  bool Propose(schedule::BatchId aBatch,
               jobs::FencingToken aFence,
               const std::string& aEntry) override;
  void Call(schedule::WorkerCall&& aCall) override;
  void Call(schedule::HostCall&& aCall) override;
  void Call(schedule::AdviceCall&& aCall) override;
  void Answer(schedule::CallerId aCaller, schedule::Reply&& aReply) override;

  HostState& host_;
  const Clock& wallClock_;
  ScheduleOutlets outlets_;
  schedule::Controller controller_;
  consensus::Term leadingTerm_;
  bool isStepDownDue_ = false;
  Time now_;
  Time nextWorkReport_;
  schedule::DispatchWork reportedWork_;
  std::optional<std::size_t> reportedIdleTasks_;
  /// When entries that are not committed yet were proposed.
  std::map<schedule::BatchId, Time> proposedAt_;
  /// Calls to workers that found no room.
  std::deque<schedule::WorkerCallId> unsent_;
  std::deque<schedule::HostCallId> unsentHostCalls_;
  std::deque<schedule::AdviceCallId> unsentAdviceCalls_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_SCHEDULEFILTER_H
