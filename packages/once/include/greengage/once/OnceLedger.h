/// \file
/// Ensures that the request with a given id is run at most once across all
/// entry hosts. The exception is an idempotent request that cannot be claimed:
/// it is run without a claim and may therefore run again. Combines the replica
/// and the claim coordinator of one host. Takes events with their time and
/// produces actions; does no I/O, encoding or clock access.

#ifndef GREENGAGE_ONCE_ONCELEDGER_H
#define GREENGAGE_ONCE_ONCELEDGER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/once/ClaimCoordinator.h"
#include "greengage/once/LedgerReplica.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"
#include "greengage/once/ReplicaSets.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengage::once {

/// Options of a ledger. \c self, \c incarnation and \c retention replace the
/// fields of the same names in the options of the replica and the coordinator.
struct LedgerOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// All entry hosts, including this one.
  std::vector<Member> members;
  Duration retention = Duration::Seconds(600);
  ReplicaOptions replica = {};
  CoordinatorOptions coordinator = {};
};

/// One entry host's part of the replicated ledger of request ids.
class OnceLedger
{
public:
  OnceLedger(LedgerOptions aOptions, Time aNow);
  OnceLedger(const OnceLedger&) = delete;
  OnceLedger& operator=(const OnceLedger&) = delete;

  /// Handles a request from a caller.
  void Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut);
  /// Cancels a request. Returns true if the cancellation must be forwarded to
  /// the request plane.
  bool Cancel(CallId aCall, const RequestKey& aKey, Time aNow, Actions& aOut);
  /// Handles the outcome that the request plane reports for a call or a
  /// cancellation.
  void OnOutcome(CallId aCall, Outcome&& aOutcome, Time aNow, Actions& aOut);
  /// Handles a batch from another member. A batch from a host with a different
  /// member list is ignored.
  void Receive(const EntryHostId& aFrom,
               const LedgerBatch& aBatch,
               Time aNow,
               Actions& aOut);
  void PeerUp(const EntryHostId& aPeer);
  void PeerDown(const EntryHostId& aPeer);
  /// Processes timeouts and retries, and flushes all batches. To be called
  /// every few tens of milliseconds.
  void Tick(Time aNow, Actions& aOut);
  /// Fails all requests that have not been dispatched.
  void Close(Time aNow, Actions& aOut);

  bool IsServing() const { return replica_.IsServing(); }
  std::size_t RecordCount() const { return replica_.RecordCount(); }

private:
  void Deliver(const EntryHostId& aFrom,
               Incarnation aIncarnation,
               const LedgerMessage& aItem,
               Time aNow,
               Actions& aOut);
  void DeliverAndFlush(Time aNow, Actions& aOut);

  LedgerOptions options_;
  ReplicaSets replicaSets_;
  Outbox outbox_;
  LedgerReplica replica_;
  ClaimCoordinator coordinator_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_ONCELEDGER_H
