/// \file
/// The decisions that make a request id run once over all entry hosts: the
/// keeper and the claimant of one host behind one interface. Events and a time
/// go in, actions come out; there are no sockets, encodings or clocks inside.

#ifndef GREENGAGE_ONCE_ONCELEDGER_H
#define GREENGAGE_ONCE_ONCELEDGER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/once/Claimant.h"
#include "greengage/once/Keeper.h"
#include "greengage/once/KeeperSets.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengage::once {

/// How a ledger is set up. Identity and retention are filled in for both
/// sides from the fields of this struct.
struct LedgerOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// All entry hosts, this one included.
  std::vector<Member> members;
  Duration retention = Duration::Seconds(600);
  KeeperOptions keeper = {};
  ClaimantOptions claimant = {};
};

/// The ledger of one entry host.
class OnceLedger
{
public:
  OnceLedger(LedgerOptions aOptions, Time aNow);
  OnceLedger(const OnceLedger&) = delete;
  OnceLedger& operator=(const OnceLedger&) = delete;

  /// A caller sends a request.
  void Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut);
  /// A caller withdraws a request. True if the request plane is to hear of it.
  bool Cancel(CallId aCall, const RecordKey& aKey, Time aNow, Actions& aOut);
  /// The request plane's outcome for a call that it was handed.
  void OnOutcome(CallId aCall, Outcome&& aOutcome, Time aNow, Actions& aOut);
  /// A member sent a batch.
  void Receive(const EntryHostId& aFrom,
               const Batch& aBatch,
               Time aNow,
               Actions& aOut);
  void PeerUp(const EntryHostId& aPeer);
  void PeerDown(const EntryHostId& aPeer);
  /// Reacts to the time; to be called every few tens of milliseconds. Sends
  /// what has been gathered.
  void Tick(Time aNow, Actions& aOut);
  /// Ends what the request plane has not been handed.
  void Close(Time aNow, Actions& aOut);

  bool IsServing() const { return keeper_.IsServing(); }
  std::size_t Records() const { return keeper_.Records(); }

private:
  void Handle(const EntryHostId& aFrom,
              Incarnation aIncarnation,
              const Item& aItem,
              Time aNow,
              Actions& aOut);
  void Finish(Time aNow, Actions& aOut);

  LedgerOptions options_;
  KeeperSets sets_;
  Outbox outbox_;
  Keeper keeper_;
  Claimant claimant_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_ONCELEDGER_H
