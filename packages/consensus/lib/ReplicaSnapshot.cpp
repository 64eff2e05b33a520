#include "greengage/consensus/Replica.h"

#include <algorithm>

namespace greengage::consensus {

void
Replica::SendSnapshotChunk(const ReplicaId& aTo, Progress& aProgress)
{
  const Snapshot& snapshot = *aProgress.PendingSnapshot();
  const std::uint64_t offset = aProgress.SnapshotOffset();
  QueueMessage(aTo,
               SnapshotChunk{ .term = hardState_.term,
                              .index = snapshot.index,
                              .lastTerm = snapshot.term,
                              .members = snapshot.members,
                              .size = snapshot.data.size(),
                              .offset = offset,
                              .bytes = snapshot.data.substr(
                                offset, options_.maxMessageBytes),
                              .sentAt = now_ });
}

void
Replica::On(const ReplicaId& aFrom, SnapshotReply&& aMessage)
{
  Progress* sender = RecordReplyFrom(aFrom, aMessage.term, aMessage.sentAt);
  if (sender == nullptr)
    return;
  Progress& progress = *sender;
  const SnapshotPtr& snapshot = progress.PendingSnapshot();
  const bool isCurrent = snapshot && snapshot->index == aMessage.index &&
                         aMessage.nextOffset <= snapshot->data.size();
  // A reply that repeats the offset is a duplicate, or reports a lost chunk
  // that the next heartbeat sends again.
  if (!isCurrent || aMessage.nextOffset == progress.SnapshotOffset())
    return;
  progress.SetSnapshotOffset(aMessage.nextOffset);
  SendSnapshotChunk(aFrom, progress);
}

void
Replica::On(const ReplicaId& aFrom, SnapshotChunk&& aMessage)
{
  if (RejectStaleTerm(aFrom, aMessage.term, aMessage.sentAt))
    return;
  FollowLeader(aFrom);
  leaderSentAt_ = std::max(leaderSentAt_, aMessage.sentAt);
  if (aMessage.index <= commitIndex_) {
    verifiedIndex_ = std::max(verifiedIndex_, commitIndex_);
    Acknowledge(aMessage.sentAt);
    return;
  }
  const bool isContinuation =
    incomingSnapshot_ && incomingSnapshot_->from == aFrom &&
    incomingSnapshot_->snapshot.index == aMessage.index;
  if (!isContinuation)
    incomingSnapshot_ = { .from = aFrom,
                          .snapshot = { .index = aMessage.index,
                                        .term = aMessage.lastTerm,
                                        .members = aMessage.members,
                                        .data = {} },
                          .size = aMessage.size };
  std::string& data = incomingSnapshot_->snapshot.data;
  if (aMessage.offset == data.size())
    data += aMessage.bytes;
  if (data.size() < incomingSnapshot_->size) {
    QueueMessage(aFrom,
                 SnapshotReply{ .term = hardState_.term,
                                .index = aMessage.index,
                                .nextOffset = data.size(),
                                .sentAt = aMessage.sentAt });
    return;
  }
  InstallSnapshot(std::move(incomingSnapshot_->snapshot));
  incomingSnapshot_.reset();
  Acknowledge(aMessage.sentAt);
}

void
Replica::InstallSnapshot(Snapshot&& aSnapshot)
{
  const LogIndex index = aSnapshot.index;
  const bool matchesLog = log_.TermAt(index) == aSnapshot.term;
  auto snapshot = std::make_shared<const Snapshot>(std::move(aSnapshot));
  dirtySnapshot_ = snapshot;
  if (matchesLog) {
    // The entries after the snapshot may have been acknowledged, so that
    // discarding them could lose committed entries.
    log_.Compact(snapshot, options_.trailingEntries);
  } else {
    log_.Reset(snapshot);
    truncateFrom_ = Next(index);
    firstDirtyIndex_.reset();
    durableIndex_ = LogIndex(0);
    for (PendingWrite& write : pendingWrites_)
      write.lastIndex = LogIndex(0);
  }
  commitIndex_ = index;
  deliveredIndex_ = index;
  verifiedIndex_ = std::max(verifiedIndex_, index);
  pendingActions_.push_back(RestoreSnapshot{ .snapshot = std::move(snapshot) });
}

void
Replica::MaybeRequestSnapshot()
{
  const bool isRequested = requestedSnapshotIndex_ > LogIndex(0);
  if (isRequested ||
      log_.BytesAfterSnapshot() < options_.snapshotThresholdBytes)
    return;
  requestedSnapshotIndex_ = deliveredIndex_;
  pendingActions_.push_back(RequestSnapshot{ .index = deliveredIndex_ });
}

void
Replica::On(SnapshotTaken&& aEvent)
{
  requestedSnapshotIndex_ = LogIndex(0);
  const LogIndex index = aEvent.index;
  const bool isObsolete =
    log_.LastSnapshot() && index <= log_.LastSnapshot()->index;
  if (isObsolete || index > deliveredIndex_)
    return;
  auto snapshot = std::make_shared<const Snapshot>(
    Snapshot{ .index = index,
              .term = *log_.TermAt(index),
              .members = log_.VotersAt(index),
              .data = std::move(aEvent.data) });
  log_.Compact(snapshot, options_.trailingEntries);
  dirtySnapshot_ = std::move(snapshot);
}

} // namespace greengage::consensus
