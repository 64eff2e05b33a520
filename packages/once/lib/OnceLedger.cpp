#include "greengage/once/OnceLedger.h"

#include <type_traits>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::once;

static KeeperOptions
KeeperOptionsOf(const LedgerOptions& aOptions)
{
  KeeperOptions options = aOptions.keeper;
  options.self = aOptions.self;
  options.incarnation = aOptions.incarnation;
  options.store.retention = aOptions.retention;
  return options;
}

static ClaimantOptions
ClaimantOptionsOf(const LedgerOptions& aOptions)
{
  ClaimantOptions options = aOptions.claimant;
  options.self = aOptions.self;
  options.incarnation = aOptions.incarnation;
  options.retention = aOptions.retention;
  return options;
}

OnceLedger::OnceLedger(LedgerOptions aOptions, Time aNow)
  : options_(std::move(aOptions))
  , sets_(options_.members)
  , outbox_(options_.self, options_.incarnation, sets_.Layout())
  , keeper_(KeeperOptionsOf(options_), sets_, outbox_, aNow)
  , claimant_(ClaimantOptionsOf(options_), sets_, outbox_)
{
}

void
OnceLedger::Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut)
{
  claimant_.Submit(aCall, std::move(aRequest), aNow, aOut);
  Finish(aNow, aOut);
}

bool
OnceLedger::Cancel(CallId aCall,
                   const RecordKey& aKey,
                   Time aNow,
                   Actions& aOut)
{
  const bool isForPlane = claimant_.Cancel(aCall, aKey, aOut);
  Finish(aNow, aOut);
  return isForPlane;
}

void
OnceLedger::OnOutcome(CallId aCall,
                      Outcome&& aOutcome,
                      Time aNow,
                      Actions& aOut)
{
  claimant_.OnOutcome(aCall, std::move(aOutcome), aNow, aOut);
  Finish(aNow, aOut);
}

void
OnceLedger::Receive(const EntryHostId& aFrom,
                    const Batch& aBatch,
                    Time aNow,
                    Actions& aOut)
{
  if (aBatch.layout != sets_.Layout())
    return;
  for (const Item& item : aBatch.items)
    Handle(aFrom, aBatch.incarnation, item, aNow, aOut);
  Finish(aNow, aOut);
}

void
OnceLedger::PeerUp(const EntryHostId& aPeer)
{
  claimant_.SetUp(aPeer, true);
}

void
OnceLedger::PeerDown(const EntryHostId& aPeer)
{
  claimant_.SetUp(aPeer, false);
}

void
OnceLedger::Tick(Time aNow, Actions& aOut)
{
  keeper_.Tick(aNow);
  claimant_.Tick(aNow, aOut);
  Finish(aNow, aOut);
  outbox_.Flush(true, aOut);
}

void
OnceLedger::Close(Time aNow, Actions& aOut)
{
  claimant_.Close(aOut);
  Finish(aNow, aOut);
  outbox_.Flush(true, aOut);
}

void
OnceLedger::Handle(const EntryHostId& aFrom,
                   Incarnation aIncarnation,
                   const Item& aItem,
                   Time aNow,
                   Actions& aOut)
{
  std::visit(
    [&](const auto& aAny) {
      using Kind = std::decay_t<decltype(aAny)>;
      if constexpr (std::is_same_v<Kind, ClaimReply>)
        claimant_.On(aFrom, aIncarnation, aAny, aNow, aOut);
      else if constexpr (std::is_same_v<Kind, OutcomeRecorded> ||
                         std::is_same_v<Kind, CheckClaim>)
        claimant_.On(aFrom, aAny);
      else if constexpr (std::is_same_v<Kind, ClaimLost>)
        claimant_.On(aAny, aOut);
      else if constexpr (std::is_same_v<Kind, Release>)
        keeper_.On(aAny);
      else if constexpr (std::is_same_v<Kind, CopyRequest> ||
                         std::is_same_v<Kind, CopyPage>)
        keeper_.On(aFrom, aIncarnation, aAny, aNow);
      else
        keeper_.On(aFrom, aAny, aNow);
    },
    aItem);
}

/// Delivers the items that this host's replica and coordinator sent each other,
/// then flushes the batches that contain urgent items.
void
OnceLedger::Finish(Time aNow, Actions& aOut)
{
  while (const auto item = outbox_.TakeOwn())
    Handle(options_.self, options_.incarnation, *item, aNow, aOut);
  outbox_.Flush(false, aOut);
}
