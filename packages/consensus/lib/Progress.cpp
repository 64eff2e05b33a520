#include "greengage/consensus/Progress.h"

#include "greengage/consensus/Log.h"

#include <algorithm>
#include <limits>

namespace greengage::consensus {

Progress::Progress(LogIndex aNext, Time aNow, FlowControlOptions aFlowControl)
  : flowControl_(aFlowControl)
  , nextIndex_(aNext)
  , lastReplyAt_(aNow)
  , lastAnsweredSendTime_(std::numeric_limits<std::int64_t>::min() / 2)
{
}

void
Progress::RecordReply(Time aNow, Time aSentAt)
{
  lastReplyAt_ = aNow;
  lastAnsweredSendTime_ = std::max(lastAnsweredSendTime_, aSentAt);
}

bool
Progress::CanSend() const
{
  switch (state_) {
    case State::Probe:
      return !isProbeSent_;
    case State::Replicate:
      return inflights_.size() < flowControl_.maxInflightMessages &&
             inflightBytes_ < flowControl_.maxInflightBytes;
    case State::Snapshot:
      break;
  }
  return false;
}

void
Progress::RecordSent(LogIndex aLast, std::size_t aBytes)
{
  if (state_ == State::Probe) {
    isProbeSent_ = true;
    return;
  }
  nextIndex_ = Next(aLast);
  inflights_.push_back({ .last = aLast, .bytes = aBytes });
  inflightBytes_ += aBytes;
}

bool
Progress::RecordAck(LogIndex aVerified, LogIndex aMatch)
{
  if (state_ == State::Snapshot && aVerified >= pendingSnapshot_->index) {
    pendingSnapshot_.reset();
    state_ = State::Probe;
    nextIndex_ = Next(aVerified);
  }
  const bool hasAdvanced = aMatch > matchIndex_;
  matchIndex_ = std::max(matchIndex_, aMatch);
  // A delayed reply may acknowledge less than an earlier one.
  const LogIndex nextUnacked = Next(std::max(aVerified, matchIndex_));
  if (state_ == State::Probe) {
    state_ = State::Replicate;
    nextIndex_ = nextUnacked;
  }
  nextIndex_ = std::max(nextIndex_, nextUnacked);
  ReleaseAcked();
  return hasAdvanced;
}

void
Progress::ReleaseAcked()
{
  while (!inflights_.empty() && inflights_.front().last <= matchIndex_) {
    inflightBytes_ -= inflights_.front().bytes;
    inflights_.pop_front();
  }
}

bool
Progress::IsRejectionCurrent(LogIndex aPrev) const
{
  if (state_ == State::Replicate)
    return aPrev > matchIndex_;
  return state_ == State::Probe && Next(aPrev) == nextIndex_;
}

void
Progress::RecordRejection(LogIndex aHint)
{
  const LogIndex minNext = Next(matchIndex_);
  // Each rejection moves the probe back at least one index, so that probing
  // terminates.
  nextIndex_ = std::max(minNext, std::min(Next(aHint), Previous(nextIndex_)));
  state_ = State::Probe;
  isProbeSent_ = false;
  inflights_.clear();
  inflightBytes_ = 0;
}

void
Progress::BeginSnapshot(SnapshotPtr aSnapshot)
{
  state_ = State::Snapshot;
  pendingSnapshot_ = std::move(aSnapshot);
  snapshotOffset_ = 0;
  inflights_.clear();
  inflightBytes_ = 0;
}

} // namespace greengage::consensus
