#include "greengage/consensus/Progress.h"

#include "greengage/consensus/Log.h"

#include <algorithm>
#include <limits>

namespace greengage::consensus {

Progress::Progress(LogIndex aNext, Time aNow, FlowOptions aFlowControl)
  : flow_(aFlowControl)
  , next_(aNext)
  , lastHeard_(aNow)
  , answeredSince_(std::numeric_limits<std::int64_t>::min() / 2)
{
}

void
Progress::Hear(Time aNow, Time aSentAt)
{
  lastHeard_ = aNow;
  answeredSince_ = std::max(answeredSince_, aSentAt);
}

bool
Progress::MaySend() const
{
  switch (state_) {
    case State::Probe:
      return !probeSent_;
    case State::Replicate:
      return flights_.size() < flow_.maxMessages &&
             flightBytes_ < flow_.maxBytes;
    case State::Snapshot:
      break;
  }
  return false;
}

void
Progress::Sent(LogIndex aLast, std::size_t aBytes)
{
  if (state_ == State::Probe) {
    probeSent_ = true;
    return;
  }
  next_ = Next(aLast);
  flights_.push_back({ .last = aLast, .bytes = aBytes });
  flightBytes_ += aBytes;
}

bool
Progress::Accept(LogIndex aVerified, LogIndex aMatch)
{
  if (state_ == State::Snapshot && aVerified >= snapshot_->index) {
    snapshot_.reset();
    state_ = State::Probe;
    next_ = Next(aVerified);
  }
  const bool hasAdvanced = aMatch > match_;
  match_ = std::max(match_, aMatch);
  // A delayed reply may acknowledge less than an earlier one.
  const LogIndex nextUnacked = Next(std::max(aVerified, match_));
  if (state_ == State::Probe) {
    state_ = State::Replicate;
    next_ = nextUnacked;
  }
  next_ = std::max(next_, nextUnacked);
  Land();
  return hasAdvanced;
}

void
Progress::Land()
{
  while (!flights_.empty() && flights_.front().last <= match_) {
    flightBytes_ -= flights_.front().bytes;
    flights_.pop_front();
  }
}

bool
Progress::IsRefusalFresh(LogIndex aPrev) const
{
  if (state_ == State::Replicate)
    return aPrev > match_;
  return state_ == State::Probe && Next(aPrev) == next_;
}

void
Progress::Refuse(LogIndex aHint)
{
  const LogIndex minNext = Next(match_);
  // Each rejection moves the probe back at least one index, so that probing
  // terminates.
  next_ = std::max(minNext, std::min(Next(aHint), Previous(next_)));
  state_ = State::Probe;
  probeSent_ = false;
  flights_.clear();
  flightBytes_ = 0;
}

void
Progress::BeginSnapshot(SnapshotPtr aSnapshot)
{
  state_ = State::Snapshot;
  snapshot_ = std::move(aSnapshot);
  snapshotOffset_ = 0;
  flights_.clear();
  flightBytes_ = 0;
}

} // namespace greengage::consensus
