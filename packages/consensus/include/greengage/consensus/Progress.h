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
struct FlowOptions
{
  std::size_t maxMessages = 16;
  std::size_t maxBytes = 1 << 20;
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

  Progress(LogIndex aNext, Time aNow, FlowOptions aFlowControl);

  State CurrentState() const { return state_; }
  /// The last index known to be durable on the follower.
  LogIndex Match() const { return match_; }
  /// The index of the next entry to send.
  LogIndex NextIndex() const { return next_; }
  /// When the latest reply arrived; before the first, when tracking began.
  Time LastHeard() const { return lastHeard_; }
  /// The latest send time of a message that the follower has answered.
  Time AnsweredSince() const { return answeredSince_; }

  /// Records a reply to a message that was sent at \p aSentAt.
  void Hear(Time aNow, Time aSentAt);
  /// Whether flow control allows another message with entries.
  bool MaySend() const;
  /// Records that entries up to \p aLast were sent.
  void Sent(LogIndex aLast, std::size_t aBytes);
  /// Allows another probe, since the last one may have been lost.
  void AllowProbe() { probeSent_ = false; }
  /// Records that the follower's log matches up to \p aVerified and is durable
  /// up to \p aMatch.
  /// \returns whether Match() has increased.
  bool Accept(LogIndex aVerified, LogIndex aMatch);
  /// Whether a rejection of the message with the previous index \p aPrev is
  /// current, rather than a reply that came late or twice.
  bool IsRefusalFresh(LogIndex aPrev) const;
  /// Handles a rejection: probes at \p aHint, up to which the logs may match.
  void Refuse(LogIndex aHint);
  /// Starts sending \p aSnapshot instead of entries.
  void BeginSnapshot(SnapshotPtr aSnapshot);

  const SnapshotPtr& PendingSnapshot() const { return snapshot_; }
  /// The offset of the snapshot's first byte that is not acknowledged.
  std::uint64_t SnapshotOffset() const { return snapshotOffset_; }
  void SetSnapshotOffset(std::uint64_t aOffset) { snapshotOffset_ = aOffset; }

private:
  /// A message with entries that is not acknowledged.
  struct Flight
  {
    LogIndex last;
    std::size_t bytes;
  };

  /// Releases the messages that are acknowledged as durable.
  void Land();

  FlowOptions flow_;
  State state_ = State::Probe;
  LogIndex match_;
  LogIndex next_;
  bool probeSent_ = false;
  Time lastHeard_;
  Time answeredSince_;
  std::deque<Flight> flights_;
  std::size_t flightBytes_ = 0;
  SnapshotPtr snapshot_;
  std::uint64_t snapshotOffset_ = 0;
};

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_PROGRESS_H
