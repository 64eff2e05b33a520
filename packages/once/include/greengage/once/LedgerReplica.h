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

struct KeeperOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// Limits over all replica sets of this host together.
  StoreOptions store;
  /// How long a restarted replica that cannot complete its copy refuses new
  /// claims: the longest deadline plus the retention, after which all records
  /// that it may have lost have expired.
  Duration recoveryWindow = Duration::Seconds(24 * 60 * 60 + 600);
  /// The operator states that the hosts start for the first time. A replica set
  /// whose members all start together then serves without copying records.
  bool allowsColdStart = false;
  Duration copyRetry = Duration(500);
  std::size_t pageRecords = 256;
  std::size_t pageBytes = 256 * 1024;
};

/// One host's replicas of the ledger's records. Replies go to the outbox.
class Keeper
{
public:
  /// The replica sets and the outbox must outlive this object.
  Keeper(KeeperOptions aOptions,
         const KeeperSets& aSets,
         Outbox& aOutbox,
         Time aNow);

  void On(const EntryHostId& aFrom, const Claim& aItem, Time aNow);
  void On(const Release& aItem);
  void On(const EntryHostId& aFrom, const RecordOutcome& aItem, Time aNow);
  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const CopyRequest& aItem,
          Time aNow);
  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const CopyPage& aItem,
          Time aNow);
  void Tick(Time aNow);

  /// Whether this host can grant claims in all its replica sets, that is,
  /// whether a missing record proves that the request id was not claimed.
  bool IsServing() const;
  std::size_t Records() const;

private:
  /// Progress of copying one replica set's records from one peer.
  struct Copy
  {
    Incarnation incarnation;
    std::optional<RecordKey> after;
    bool isDone = false;
    /// The peer takes part in the same cold start and has no records either.
    bool isColdToo = false;
  };
  struct Set
  {
    KeeperStore store;
    bool isServing = false;
    std::map<EntryHostId, Copy> copies;
    /// The peer incarnations that completed the cold start together with this
    /// replica. Later incarnations of these peers must copy the records.
    std::map<EntryHostId, Incarnation> coldWith;
  };

  Set* FindSet(KeeperSetId aSet);
  void Note(const EntryHostId& aHost, Incarnation aIncarnation);
  void CheckServing(Set& aSet) const;
  void Request(KeeperSetId aSet, const EntryHostId& aFrom, const Copy& aCopy);

  KeeperOptions options_;
  const KeeperSets& sets_;
  Outbox& outbox_;
  Time startedAt_;
  Time nextCopy_;
  std::map<KeeperSetId, Set> kept_;
  std::map<EntryHostId, Incarnation> known_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_LEDGERREPLICA_H
