/// \file
/// The replica's side of the ledger: grants or refuses claims and stores
/// outcomes. After a restart it copies the records of its replica sets from the
/// other replicas before it grants claims again.

#ifndef GREENGAGE_ONCE_LEDGERREPLICA_H
#define GREENGAGE_ONCE_LEDGERREPLICA_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"
#include "greengage/once/RecordStore.h"
#include "greengage/once/ReplicaSets.h"

#include <cstddef>
#include <map>
#include <optional>

namespace greengage::once {

struct ReplicaOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// Limits over all replica sets of this host together.
  RecordStoreOptions store;
  /// How long a restarted replica that cannot complete its copy refuses new
  /// claims: the longest deadline plus the retention, after which all records
  /// that it may have lost have expired.
  Duration recoveryWindow = Duration::Seconds(24 * 60 * 60 + 600);
  /// The operator states that the hosts start for the first time. A replica set
  /// whose members all start together then serves without copying records.
  bool allowsColdStart = false;
  Duration copyRetryInterval = Duration(500);
  std::size_t maxPageRecords = 256;
  std::size_t maxPageBytes = 256 * 1024;
};

/// One host's replicas of the ledger's records. Replies go to the outbox.
class LedgerReplica
{
public:
  /// The replica sets and the outbox must outlive this object.
  LedgerReplica(ReplicaOptions aOptions,
                const ReplicaSets& aSets,
                Outbox& aOutbox,
                Time aNow);

  void On(const EntryHostId& aFrom, const Claim& aItem, Time aNow);
  void On(const ReleaseClaim& aItem);
  void On(const EntryHostId& aFrom, const RecordOutcome& aItem, Time aNow);
  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const CopyRequest& aItem,
          Time aNow);
  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const RecordPage& aItem,
          Time aNow);
  void Tick(Time aNow);

  /// Whether this host can grant claims in all its replica sets, that is,
  /// whether a missing record proves that the request id was not claimed.
  bool IsServing() const;
  std::size_t RecordCount() const;

private:
  /// Progress of copying one replica set's records from one peer.
  struct CopyProgress
  {
    Incarnation incarnation;
    std::optional<RequestKey> after;
    bool isComplete = false;
    /// The peer takes part in the same cold start, or has completed it together
    /// with this incarnation of this host.
    bool isColdStarting = false;
  };
  struct SetState
  {
    RecordStore store;
    bool isServing = false;
    std::map<EntryHostId, CopyProgress> copyProgress;
    /// The peer incarnations that completed the cold start together with this
    /// replica. Later incarnations of these peers must copy the records.
    std::map<EntryHostId, Incarnation> coldStartPeers;
  };

  SetState* FindSet(ReplicaSetId aSet);
  void ObserveIncarnation(const EntryHostId& aHost, Incarnation aIncarnation);
  void UpdateServing(SetState& aSet) const;
  void SendCopyRequest(ReplicaSetId aSet,
                       const EntryHostId& aFrom,
                       const CopyProgress& aCopy);

  ReplicaOptions options_;
  const ReplicaSets& replicaSets_;
  Outbox& outbox_;
  Time startedAt_;
  Time nextCopyRequestAt_;
  std::map<ReplicaSetId, SetState> setStates_;
  std::map<EntryHostId, Incarnation> knownIncarnations_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_LEDGERREPLICA_H
