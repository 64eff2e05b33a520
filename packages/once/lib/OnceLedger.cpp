#include "greengage/once/OnceLedger.h"

#include <type_traits>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::once;

static ReplicaOptions
ReplicaOptionsOf(const LedgerOptions& aOptions)
{
  ReplicaOptions options = aOptions.replica;
  options.self = aOptions.self;
  options.incarnation = aOptions.incarnation;
  options.store.retention = aOptions.retention;
  return options;
}

static CoordinatorOptions
CoordinatorOptionsOf(const LedgerOptions& aOptions)
{
  CoordinatorOptions options = aOptions.coordinator;
  options.self = aOptions.self;
  options.incarnation = aOptions.incarnation;
  options.retention = aOptions.retention;
  return options;
}

OnceLedger::OnceLedger(LedgerOptions aOptions, Time aNow)
  : options_(std::move(aOptions))
  , replicaSets_(options_.members)
  , outbox_(options_.self,
            options_.incarnation,
            replicaSets_.MembershipDigest())
  , replica_(ReplicaOptionsOf(options_), replicaSets_, outbox_, aNow)
  , coordinator_(CoordinatorOptionsOf(options_), replicaSets_, outbox_)
{
}

void
OnceLedger::Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut)
{
  coordinator_.Submit(aCall, std::move(aRequest), aNow, aOut);
  DeliverAndFlush(aNow, aOut);
}

bool
OnceLedger::Cancel(CallId aCall,
                   const RequestKey& aKey,
                   Time aNow,
                   Actions& aOut)
{
  const bool mustForward = coordinator_.Cancel(aCall, aKey, aOut);
  DeliverAndFlush(aNow, aOut);
  return mustForward;
}

void
OnceLedger::OnOutcome(CallId aCall,
                      Outcome&& aOutcome,
                      Time aNow,
                      Actions& aOut)
{
  coordinator_.OnOutcome(aCall, std::move(aOutcome), aNow, aOut);
  DeliverAndFlush(aNow, aOut);
}

void
OnceLedger::Receive(const EntryHostId& aFrom,
                    const LedgerBatch& aBatch,
                    Time aNow,
                    Actions& aOut)
{
  if (aBatch.membershipDigest != replicaSets_.MembershipDigest())
    return;
  for (const LedgerMessage& item : aBatch.items)
    Deliver(aFrom, aBatch.incarnation, item, aNow, aOut);
  DeliverAndFlush(aNow, aOut);
}

void
OnceLedger::PeerUp(const EntryHostId& aPeer)
{
  coordinator_.SetReachable(aPeer, true);
}

void
OnceLedger::PeerDown(const EntryHostId& aPeer)
{
  coordinator_.SetReachable(aPeer, false);
}

void
OnceLedger::Tick(Time aNow, Actions& aOut)
{
  replica_.Tick(aNow);
  coordinator_.Tick(aNow, aOut);
  DeliverAndFlush(aNow, aOut);
  outbox_.Flush(true, aOut);
}

void
OnceLedger::Close(Time aNow, Actions& aOut)
{
  coordinator_.Close(aOut);
  DeliverAndFlush(aNow, aOut);
  outbox_.Flush(true, aOut);
}

void
OnceLedger::Deliver(const EntryHostId& aFrom,
                    Incarnation aIncarnation,
                    const LedgerMessage& aItem,
                    Time aNow,
                    Actions& aOut)
{
  std::visit(
    [&](const auto& aAlternative) {
      using ItemType = std::decay_t<decltype(aAlternative)>;
      if constexpr (std::is_same_v<ItemType, ClaimReply>)
        coordinator_.On(aFrom, aIncarnation, aAlternative, aNow, aOut);
      else if constexpr (std::is_same_v<ItemType, OutcomeRecorded> ||
                         std::is_same_v<ItemType, QueryClaim>)
        coordinator_.On(aFrom, aAlternative);
      else if constexpr (std::is_same_v<ItemType, ClaimUntracked>)
        coordinator_.On(aAlternative, aOut);
      else if constexpr (std::is_same_v<ItemType, ReleaseClaim>)
        replica_.On(aAlternative);
      else if constexpr (std::is_same_v<ItemType, CopyRequest> ||
                         std::is_same_v<ItemType, RecordPage>)
        replica_.On(aFrom, aIncarnation, aAlternative, aNow);
      else
        replica_.On(aFrom, aAlternative, aNow);
    },
    aItem);
}

/// Delivers the items that this host's replica and coordinator sent each other,
/// then flushes the batches that contain urgent items.
void
OnceLedger::DeliverAndFlush(Time aNow, Actions& aOut)
{
  while (const auto item = outbox_.PopLocal())
    Deliver(options_.self, options_.incarnation, *item, aNow, aOut);
  outbox_.Flush(false, aOut);
}
