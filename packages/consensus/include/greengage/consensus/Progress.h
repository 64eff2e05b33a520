/// \file
/// How far one follower has come, as its leader knows it, and how much may be
/// on the way to it.

#ifndef GREENGAGE_CONSENSUS_PROGRESS_H
#define GREENGAGE_CONSENSUS_PROGRESS_H

#include "greengage/consensus/Messages.h"

#include <cstdint>
#include <deque>

namespace greengage::consensus {

/// Bounds of what is on the way to one follower.
struct FlowOptions
{
  std::size_t maxMessages = 16;
  std::size_t maxBytes = 1 << 20;
};

/// The leader's record of one follower.
class Progress
{
public:
  enum class State : std::uint8_t
  {
    /// Looking for the place where the logs agree, one message at a time.
    Probe,
    /// Entries are sent ahead of their acknowledgements.
    Replicate,
    /// The follower lacks entries that are compacted away.
    Snapshot,
  };

  Progress(LogIndex aNext, Time aNow, FlowOptions aFlow);

  State CurrentState() const { return state_; }
  LogIndex Match() const { return match_; }
  LogIndex NextIndex() const { return next_; }
  Time LastHeard() const { return lastHeard_; }
  /// When the latest message that has been answered was sent.
  Time AnsweredSince() const { return answeredSince_; }

  void Hear(Time aNow, Time aSentAt);
  /// Whether one more message with entries may be sent now.
  bool MaySend() const;
  /// Entries up to \p aLast were sent.
  void Sent(LogIndex aLast, std::size_t aBytes);
  /// The probe is taken to be lost and may be sent again.
  void AllowProbe() { probeSent_ = false; }
  /// The follower has all up to \p aVerified, durable up to \p aMatch.
  /// \returns whether the durable part has grown.
  bool Accept(LogIndex aVerified, LogIndex aMatch);
  /// Whether a refusal of the message after \p aPrev tells something new.
  bool IsRefusalFresh(LogIndex aPrev) const;
  /// The logs may agree up to \p aHint; probe there.
  void Refuse(LogIndex aHint);
  void BeginSnapshot(SnapshotPtr aSnapshot);

  const SnapshotPtr& PendingSnapshot() const { return snapshot_; }
  std::uint64_t SnapshotOffset() const { return snapshotOffset_; }
  void SetSnapshotOffset(std::uint64_t aOffset) { snapshotOffset_ = aOffset; }

private:
  struct Flight
  {
    LogIndex last;
    std::size_t bytes;
  };

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
