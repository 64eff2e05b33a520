/// \file
/// The keeper's side of the ledger: answers claims, records outcomes, and
/// after a restart copies the records of its keeper sets before it says again
/// that an id was never claimed.

#ifndef GREENGAGE_ONCE_KEEPER_H
#define GREENGAGE_ONCE_KEEPER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/once/KeeperSets.h"
#include "greengage/once/KeeperStore.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"

#include <cstddef>
#include <map>
#include <optional>

namespace greengage::once {

/// How a keeper is set up.
struct KeeperOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// Bounds over all keeper sets of this host.
  StoreOptions store;
  /// How long a keeper that can't copy says nothing of absence: the longest
  /// deadline and the retention.
  Duration recoveryWindow = Duration::Seconds(24 * 60 * 60 + 600);
  /// The operator vouches that the fleet starts for the first time, so that
  /// keeper sets all of whose members start together are empty rightly.
  bool allowsColdStart = false;
  Duration copyRetry = Duration(500);
  std::size_t pageRecords = 256;
  std::size_t pageBytes = 256 * 1024;
};

/// The records that this host keeps. Replies go to the outbox.
class Keeper
{
public:
  /// The sets and the outbox must outlive the keeper.
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

  /// Whether all keeper sets of this host can prove absence.
  bool IsServing() const;
  std::size_t Records() const;

private:
  /// The copy of one set from one other keeper.
  struct Copy
  {
    Incarnation incarnation;
    std::optional<RecordKey> after;
    bool isDone = false;
    /// The other keeper starts empty too.
    bool isColdToo = false;
  };
  struct Set
  {
    KeeperStore store;
    bool isServing = false;
    std::map<EntryHostId, Copy> copies;
    /// The incarnations that this keeper began to serve beside, empty as they
    /// were; later ones must copy.
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

#endif // GREENGAGE_ONCE_KEEPER_H
