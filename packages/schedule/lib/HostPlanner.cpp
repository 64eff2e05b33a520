#include "greengage/schedule/HostPlanner.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

/// How often the provider's list of hosts is refreshed, unless a refused order
/// requires it sooner.
static constexpr Duration kListInterval = Duration::Seconds(4);
/// Retry delay for an order or a list request that was refused or unanswered.
static constexpr Duration kRetryInterval = Duration(500);
/// How long a host that was moved or maintained may take until its worker
/// registers: the provider takes 1.5 s for a move or 2 s for maintenance, and
/// the worker about 1 s more to start.
static constexpr Duration kReturnTime = Duration(5000);
/// How long an order may take until it is carried out, or is given up and its
/// connection reset.
static constexpr Duration kOrderTime = Duration(1500);
/// Allowance beyond the move time before a host can be moved again: the network
/// delay of the order and of its answer.
static constexpr Duration kMoveMargin = Duration(100);

HostPlanner::HostPlanner(HostPlannerOptions aOptions,
                         const jobs::JobBook& aBook,
                         Scheduler& aScheduler,
                         Outbox& aOutbox,
                         HostOutbox& aProvider)
  : options_(std::move(aOptions))
  , book_(aBook)
  , scheduler_(aScheduler)
  , outbox_(aOutbox)
  , provider_(aProvider)
{
}

void
HostPlanner::Lead(Fence aFence, Moment aNow)
{
  Follow();
  fence_ = aFence;
  now_ = aNow;
  WatchOrders();
  leadingSince_ = aNow.steady;
  nextList_ = aNow.steady;
}

void
HostPlanner::Follow()
{
  fence_.reset();
  hosts_.clear();
  listed_.clear();
  calls_.clear();
  surplus_.clear();
  isListInFlight_ = false;
  hasList_ = false;
}

void
HostPlanner::Send(HostRequest aRequest, PendingCall aPending)
{
  const HostCallId id(++lastCall_);
  calls_.emplace(id, std::move(aPending));
  provider_.Call({ .id = id,
                   .request = std::move(aRequest),
                   .holder = options_.self,
                   .fence = *fence_ });
}

bool
HostPlanner::IsSpare(const PoolId& aPool) const
{
  const jobs::Configuration* configuration = book_.CurrentConfiguration();
  const jobs::Pool* pool =
    configuration == nullptr ? nullptr : configuration->Find(aPool);
  return pool != nullptr && pool->isSpare;
}

bool
HostPlanner::IsAway(const Host& aHost) const
{
  return aHost.awayUntil > now_.steady;
}

std::uint32_t
HostPlanner::RunsOn(const Host& aHost) const
{
  const WorkerSession* session =
    aHost.worker ? scheduler_.Find(*aHost.worker) : nullptr;
  return session == nullptr ? 0
                            : static_cast<std::uint32_t>(session->runs.size());
}

bool
HostPlanner::HasPersistentRun(const Host& aHost) const
{
  const WorkerSession* session =
    aHost.worker ? scheduler_.Find(*aHost.worker) : nullptr;
  return session != nullptr &&
         (session->HasPersistentRun() || scheduler_.IsHeld(*aHost.worker));
}

void
HostPlanner::On(const HostReply& aReply, Moment aNow)
{
  now_ = aNow;
  const auto found = calls_.find(aReply.id);
  if (found == calls_.end())
    return;
  const PendingCall call = std::move(found->second);
  calls_.erase(found);
  if (call.isList) {
    TakeList(aReply);
    return;
  }
  const auto host = hosts_.find(call.host);
  if (host != hosts_.end())
    TakeOrderReply(call.host, host->second, aReply);
}

void
HostPlanner::TakeList(const HostReply& aReply)
{
  isListInFlight_ = false;
  if (aReply.answer != HostAnswer::Done) {
    listed_.clear();
    nextList_ = now_.steady + kRetryInterval;
    observe::Log(observe::LogLevel::Warning,
                 "host-list-missing",
                 { { "reason", aReply.detail } });
    return;
  }
  for (const ListedHost& listed : aReply.hosts) {
    listed_.insert(listed.host);
    Host& host = hosts_[listed.host];
    host.capacity = listed.capacity;
    host.isDown = listed.state == HostState::Down;
    // The order of an earlier leader may still be in progress.
    const bool isInTransition = listed.state == HostState::Moving ||
                                listed.state == HostState::Maintained;
    if (isInTransition && !IsAway(host))
      host.awayUntil = now_.steady + kReturnTime;
    // The pool that a worker reports is more recent than the list.
    if (!host.worker && !IsAway(host))
      host.pool = listed.pool;
  }
  if (!aReply.nextPage.empty()) {
    isListInFlight_ = true;
    Send(ListHosts{ .page = aReply.nextPage }, { .host = {}, .isList = true });
    return;
  }
  for (auto it = hosts_.begin(); it != hosts_.end();)
    it = listed_.count(it->first) == 0 ? hosts_.erase(it) : std::next(it);
  listed_.clear();
  hasList_ = true;
  nextList_ = now_.steady + kListInterval;
}

static const char*
NameOf(HostAnswer aAnswer)
{
  switch (aAnswer) {
    case HostAnswer::None:
      return "no answer";
    case HostAnswer::Done:
      return "done";
    case HostAnswer::Busy:
      return "host is busy";
    case HostAnswer::Fenced:
      return "fenced";
    case HostAnswer::NotInWave:
      return "host is not in the wave";
    case HostAnswer::Invalid:
      return "no such host or pool";
    case HostAnswer::Overloaded:
      return "provider is overloaded";
  }
  return "";
}

void
HostPlanner::TakeOrderReply(const HostId& aId,
                            Host& aHost,
                            const HostReply& aReply)
{
  aHost.isOrderInFlight = false;
  aHost.nextOrder = now_.steady + kRetryInterval;
  const bool isMaintenance = aHost.purpose == Purpose::Upkeep;
  observe::Log(observe::LogLevel::Info,
               "host-ordered",
               { { "host", aId.Value() },
                 { "order", isMaintenance ? "upkeep" : "move" },
                 { "pool", aHost.target.Value() },
                 { "outcome", NameOf(aReply.answer) } });
  switch (aReply.answer) {
    case HostAnswer::Done:
      if (isMaintenance)
        outbox_.Propose(jobs::BeginUpkeep{ .wave = aHost.wave, .host = aId });
      else
        aHost.pool = aHost.target;
      aHost.purpose = Purpose::None;
      aHost.endedWorkers = aHost.orderedAfter;
      aHost.worker.reset();
      // No worker registers from the spare pool, so only the move is awaited.
      aHost.awayUntil = now_.steady + (isMaintenance || !IsSpare(aHost.pool)
                                         ? kReturnTime
                                         : options_.moveTime + kMoveMargin);
      break;
    case HostAnswer::NotInWave:
    case HostAnswer::Invalid:
      // Maintenance of the host is impossible: count it as begun, so that the
      // wave can complete.
      if (isMaintenance)
        outbox_.Propose(jobs::BeginUpkeep{ .wave = aHost.wave, .host = aId });
      Abandon(aHost);
      break;
    case HostAnswer::Busy:
      if (!isMaintenance)
        Abandon(aHost);
      nextList_ = std::min(nextList_, now_.steady + kRetryInterval);
      break;
    case HostAnswer::None:
    case HostAnswer::Fenced:
    case HostAnswer::Overloaded:
      break;
  }
}

std::uint64_t
HostPlanner::AnnouncedFor(const HostId& aId) const
{
  const auto found = book_.AnnouncedOrders().find(aId);
  return found == book_.AnnouncedOrders().end() ? 0 : found->second;
}

/// Records for which hosts orders have been announced since the last call.
void
HostPlanner::WatchOrders()
{
  for (const auto& [id, count] : book_.AnnouncedOrders()) {
    SeenOrders& seen = seenOrders_[id];
    if (seen.count == count)
      continue;
    seen.count = count;
    seen.since = now_.steady;
  }
}

/// Whether an order can be sent for the host without coming too soon after one
/// of an earlier leader.
bool
HostPlanner::MayOrder(const HostId& aId) const
{
  const auto found = seenOrders_.find(aId);
  return found == seenOrders_.end() || found->second.since > leadingSince_ ||
         found->second.since + options_.settle + kOrderTime <= now_.steady;
}

/// Updates the hosts from the workers registered in the job book.
void
HostPlanner::SeeWorkers()
{
  for (auto& [id, host] : hosts_)
    if (host.worker && book_.Workers().count(*host.worker) == 0)
      host.worker.reset();
  for (const auto& [number, record] : book_.Workers()) {
    const auto found = hosts_.find(record.host);
    const WorkerSession* session = scheduler_.Find(number);
    if (found == hosts_.end() || session == nullptr || session->isGone)
      continue;
    Host& host = found->second;
    if (host.worker == number)
      continue;
    const auto current =
      host.worker ? book_.Workers().find(*host.worker) : book_.Workers().end();
    if (current != book_.Workers().end() &&
        current->second.incarnation >= record.incarnation)
      continue;
    // The incarnation that the order ended may still be registered.
    if (number <= host.endedWorkers)
      continue;
    host.worker = number;
    host.pool = record.pool;
    host.isDown = false;
    host.awayUntil = now_.steady;
  }
}

void
HostPlanner::Tick(Time aLeaseEnd, Moment aNow)
{
  now_ = aNow;
  if (!options_.isEnabled || !fence_ || aLeaseEnd <= aNow.steady ||
      book_.CurrentConfiguration() == nullptr)
    return;
  if (!isListInFlight_ && nextList_ <= aNow.steady) {
    isListInFlight_ = true;
    Send(ListHosts{}, { .host = {}, .isList = true });
  }
  if (!hasList_)
    return;
  SeeWorkers();
  WatchDemand();
  WatchOrders();
  GiveAnnounced();
  PlanWaves();
  PlanMoves();
  for (auto& [id, host] : hosts_)
    Advance(id, host);
}

void
HostPlanner::Watch(Moment aNow)
{
  now_ = aNow;
  if (!options_.isEnabled || book_.CurrentConfiguration() == nullptr)
    return;
  WatchOrders();
  WatchDemand();
}

bool
HostPlanner::IsOrderDue() const
{
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& aItem) {
    return aItem.second.awaitedOrders &&
           AnnouncedFor(aItem.first) >= *aItem.second.awaitedOrders;
  });
}

void
HostPlanner::Begin(const HostId& aId, Host& aHost, Purpose aReason)
{
  aHost.purpose = aReason;
  aHost.nextOrder = now_.steady;
  if (aHost.worker)
    scheduler_.Cordon(*aHost.worker, true);
  observe::Log(observe::LogLevel::Info,
               "host-draining",
               { { "host", aId.Value() },
                 { "for", aReason == Purpose::Upkeep ? "upkeep" : "move" },
                 { "from", aHost.pool.Value() },
                 { "to", aHost.target.Value() },
                 { "runs", std::to_string(RunsOn(aHost)) } });
}

void
HostPlanner::Abandon(Host& aHost)
{
  aHost.purpose = Purpose::None;
  if (aHost.worker)
    scheduler_.Cordon(*aHost.worker, false);
}

/// Continues the drain of a host, and announces its order once it is empty.
void
HostPlanner::Advance(const HostId& aId, Host& aHost)
{
  if (aHost.purpose == Purpose::None || aHost.isOrderInFlight ||
      aHost.nextOrder > now_.steady)
    return;
  if (aHost.worker) {
    scheduler_.Cordon(*aHost.worker, true);
    if (RunsOn(aHost) > 0) {
      scheduler_.Evacuate(*aHost.worker);
      return;
    }
  }
  if (MayOrder(aId))
    Announce(aId, aHost);
}

/// Proposes the announcement of an order. The order is sent only after the
/// announcement is committed, so that each later leader knows of it.
void
HostPlanner::Announce(const HostId& aId, Host& aHost)
{
  aHost.isOrderInFlight = true;
  aHost.awaitedOrders = AnnouncedFor(aId) + 1;
  outbox_.Propose(jobs::AnnounceOrder{ .host = aId });
}

void
HostPlanner::GiveAnnounced()
{
  for (auto& [id, host] : hosts_) {
    if (!host.awaitedOrders || AnnouncedFor(id) < *host.awaitedOrders)
      continue;
    host.awaitedOrders.reset();
    Order(id, host);
  }
}

void
HostPlanner::Order(const HostId& aId, Host& aHost)
{
  if (!book_.Workers().empty())
    aHost.orderedAfter = book_.Workers().rbegin()->first;
  HostRequest request = MoveHost{ .host = aId, .pool = aHost.target };
  if (aHost.purpose == Purpose::Upkeep)
    request = MaintainHost{ .host = aId, .wave = aHost.wave };
  Send(std::move(request), { .host = aId, .isList = false });
}
