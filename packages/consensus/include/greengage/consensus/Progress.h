/// \file
/// The leader's view of one follower's log, and flow control of the entries
/// sent to it.

#ifndef GREENGAGE_CONSENSUS_PROGRESS_H
#define GREENGAGE_CONSENSUS_PROGRESS_H

#include "greengage/consensus/Messages.h"

#include <cstdint>
#include <deque>

namespace greengage::consensus {

/// Limits of the unacknowledged messages with entries to one follower.
struct FlowControlOptions
{
  std::size_t maxInflightMessages = 16;
  std::size_t maxInflightBytes = 1 << 20;
};

/// The replication progress of one follower, kept by the leader.
class Progress
{
public:
  enum class State : std::uint8_t
  {
    /// Looking for the last matching index, with one message in flight.
    Probe,
    /// Pipelining entries without waiting for their acknowledgements.
    Replicate,
    /// Sending a snapshot, since the follower needs compacted entries.
    Snapshot,
  };

  Progress(LogIndex aNext, Time aNow, FlowControlOptions aFlowControl);

  State CurrentState() const { return state_; }
  /// The last index known to be durable on the follower.
  LogIndex MatchIndex() const { return matchIndex_; }
  /// The index of the next entry to send.
  LogIndex NextIndex() const { return nextIndex_; }
  /// When the latest reply arrived; before the first, when tracking began.
  Time LastReplyAt() const { return lastReplyAt_; }
  /// The latest send time of a message that the follower has answered.
  Time LastAnsweredSendTime() const { return lastAnsweredSendTime_; }

  /// Records a reply to a message that was sent at \p aSentAt.
  void RecordReply(Time aNow, Time aSentAt);
  /// Whether flow control allows another message with entries.
  bool CanSend() const;
  /// Records that entries up to \p aLast were sent.
  void RecordSent(LogIndex aLast, std::size_t aBytes);
  /// Allows another probe, since the last one may have been lost.
  void ResumeProbe() { isProbeSent_ = false; }
  /// Records that the follower's log matches up to \p aVerified and is durable
  /// up to \p aMatch.
  /// \returns whether MatchIndex() has increased.
  bool RecordAck(LogIndex aVerified, LogIndex aMatch);
  /// Whether a rejection of the message with the previous index \p aPrev is
  /// current, rather than delayed or duplicated.
  bool IsRejectionCurrent(LogIndex aPrev) const;
  /// Handles a rejection: probes at \p aHint, up to which the logs may match.
  void RecordRejection(LogIndex aHint);
  /// Starts sending \p aSnapshot instead of entries.
  void BeginSnapshot(SnapshotPtr aSnapshot);

  const SnapshotPtr& PendingSnapshot() const { return pendingSnapshot_; }
  /// The offset of the snapshot's first byte that is not acknowledged.
  std::uint64_t SnapshotOffset() const { return snapshotOffset_; }
  void SetSnapshotOffset(std::uint64_t aOffset) { snapshotOffset_ = aOffset; }

private:
  /// A message with entries that is not acknowledged.
  struct Inflight
  {
    LogIndex last;
    std::size_t bytes;
  };

  /// Releases the messages that are acknowledged as durable.
  void ReleaseAcked();

  FlowControlOptions flowControl_;
  State state_ = State::Probe;
  LogIndex matchIndex_;
  LogIndex nextIndex_;
  bool isProbeSent_ = false;
  Time lastReplyAt_;
  Time lastAnsweredSendTime_;
  std::deque<Inflight> inflights_;
  std::size_t inflightBytes_ = 0;
  SnapshotPtr pendingSnapshot_;
  std::uint64_t snapshotOffset_ = 0;
};

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_PROGRESS_H
