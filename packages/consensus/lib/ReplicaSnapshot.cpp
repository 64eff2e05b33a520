#include "greengage/consensus/Replica.h"

#include <algorithm>

namespace greengage::consensus {

void
Replica::SendSnapshotChunk(const MemberId& aTo, Progress& aProgress)
{
  const Snapshot& snapshot = *aProgress.PendingSnapshot();
  const std::uint64_t offset = aProgress.SnapshotOffset();
  Queue(aTo,
        SnapshotChunk{ .term = hard_.term,
                       .index = snapshot.index,
                       .lastTerm = snapshot.term,
                       .members = snapshot.members,
                       .size = snapshot.data.size(),
                       .offset = offset,
                       .bytes =
                         snapshot.data.substr(offset, options_.maxMessageBytes),
                       .sentAt = now_ });
}

void
Replica::On(const MemberId& aFrom, SnapshotReply&& aMessage)
{
  Progress* sender = HeardFrom(aFrom, aMessage.term, aMessage.sentAt);
  if (sender == nullptr)
    return;
  Progress& progress = *sender;
  const SnapshotPtr& snapshot = progress.PendingSnapshot();
  const bool isCurrent = snapshot && snapshot->index == aMessage.index &&
                         aMessage.received <= snapshot->data.size();
  // A reply that repeats the offset is a duplicate, or reports a lost chunk
  // that the next heartbeat sends again.
  if (!isCurrent || aMessage.received == progress.SnapshotOffset())
    return;
  progress.SetSnapshotOffset(aMessage.received);
  SendSnapshotChunk(aFrom, progress);
}

void
Replica::On(const MemberId& aFrom, SnapshotChunk&& aMessage)
{
  if (RefuseStale(aFrom, aMessage.term, aMessage.sentAt))
    return;
  FollowLeader(aFrom);
  lastSentAt_ = std::max(lastSentAt_, aMessage.sentAt);
  if (aMessage.index <= commit_) {
    verified_ = std::max(verified_, commit_);
    Acknowledge(aMessage.sentAt);
    return;
  }
  const bool isContinuation = incoming_ && incoming_->from == aFrom &&
                              incoming_->snapshot.index == aMessage.index;
  if (!isContinuation)
    incoming_ = { .from = aFrom,
                  .snapshot = { .index = aMessage.index,
                                .term = aMessage.lastTerm,
                                .members = aMessage.members,
                                .data = {} },
                  .size = aMessage.size };
  std::string& data = incoming_->snapshot.data;
  if (aMessage.offset == data.size())
    data += aMessage.bytes;
  if (data.size() < incoming_->size) {
    Queue(aFrom,
          SnapshotReply{ .term = hard_.term,
                         .index = aMessage.index,
                         .received = data.size(),
                         .sentAt = aMessage.sentAt });
    return;
  }
  Install(std::move(incoming_->snapshot));
  incoming_.reset();
  Acknowledge(aMessage.sentAt);
}

void
Replica::Install(Snapshot&& aSnapshot)
{
  const LogIndex index = aSnapshot.index;
  const bool matchesLog = log_.TermAt(index) == aSnapshot.term;
  auto snapshot = std::make_shared<const Snapshot>(std::move(aSnapshot));
  dirtySnapshot_ = snapshot;
  if (matchesLog) {
    // The entries after the snapshot may have been acknowledged, so that
    // discarding them could lose committed entries.
    log_.Compact(snapshot, options_.keptEntries);
  } else {
    log_.Reset(snapshot);
    truncateFrom_ = Next(index);
    dirtyFrom_.reset();
    durableIndex_ = LogIndex(0);
    for (PendingWrite& write : pendingWrites_)
      write.lastIndex = LogIndex(0);
  }
  commit_ = index;
  delivered_ = index;
  verified_ = std::max(verified_, index);
  others_.push_back(RestoreSnapshot{ .snapshot = std::move(snapshot) });
}

void
Replica::MaybeWantSnapshot()
{
  const bool isRequested = snapshotWanted_ > LogIndex(0);
  if (isRequested || log_.BytesAfterSnapshot() < options_.snapshotBytes)
    return;
  snapshotWanted_ = delivered_;
  others_.push_back(WantSnapshot{ .index = delivered_ });
}

void
Replica::On(SnapshotTaken&& aEvent)
{
  snapshotWanted_ = LogIndex(0);
  const LogIndex index = aEvent.index;
  const bool isObsolete =
    log_.LastSnapshot() && index <= log_.LastSnapshot()->index;
  if (isObsolete || index > delivered_)
    return;
  auto snapshot = std::make_shared<const Snapshot>(
    Snapshot{ .index = index,
              .term = *log_.TermAt(index),
              .members = log_.VotersAt(index),
              .data = std::move(aEvent.data) });
  log_.Compact(snapshot, options_.keptEntries);
  dirtySnapshot_ = std::move(snapshot);
}

} // namespace greengage::consensus
