#include "greengage/fleet/PoolRegistry.h"

#include <string>
#include <utility>

namespace greengage::fleet {

namespace {

std::string
HostLabel(const HostId& aHost)
{
  return "host \"" + aHost.Value() + "\"";
}

std::nullopt_t
FailWrongPool(const HostId& aHost, const PoolId& aPool, Error& aReason)
{
  return Fail(aReason,
              ErrorKind::Conflict,
              HostLabel(aHost) + " belongs to pool \"" + aPool.Value() + "\"");
}

} // namespace

PoolRegistry::PoolRegistry(RegistryState aState)
  : state_(std::move(aState))
{
}

std::optional<PoolEpoch>
PoolRegistry::Apply(const RegistryCommand& aCommand, Error& aReason)
{
  return std::visit(
    [this, &aReason](const auto& aTyped) { return On(aTyped, aReason); },
    aCommand);
}

const Membership*
PoolRegistry::Find(const HostId& aHost) const
{
  auto found = state_.members.find(aHost);
  return found == state_.members.end() ? nullptr : &found->second;
}

std::optional<PoolEpoch>
PoolRegistry::On(const AddHost& aCommand, Error& aReason)
{
  if (aCommand.host.Value().empty() || aCommand.pool.Value().empty()) {
    return Fail(aReason,
                ErrorKind::Malformed,
                "the id of the host or of the pool is empty");
  }
  if (const Membership* existing = Find(aCommand.host)) {
    const bool isRepeat = existing->pool == aCommand.pool &&
                          existing->placement == aCommand.placement;
    if (!isRepeat) {
      return FailWrongPool(aCommand.host, existing->pool, aReason);
    }
    return existing->epoch;
  }
  Membership& added = state_.members[aCommand.host];
  added.pool = aCommand.pool;
  added.placement = aCommand.placement;
  added.memberSince = aCommand.at;
  return AdvanceEpoch(added);
}

std::optional<PoolEpoch>
PoolRegistry::On(const BeginMove& aCommand, Error& aReason)
{
  if (aCommand.to.Value().empty() || aCommand.from == aCommand.to) {
    return Fail(
      aReason,
      ErrorKind::Malformed,
      "the destination pool of the move is empty or the same as its source");
  }
  Membership* member =
    FindAtEpoch(aCommand.host, aCommand.expectedEpoch, aReason);
  if (!member) {
    return std::nullopt;
  }
  if (member->pool != aCommand.from) {
    return FailWrongPool(aCommand.host, member->pool, aReason);
  }
  if (member->move) {
    return Fail(
      aReason, ErrorKind::Conflict, HostLabel(aCommand.host) + " is moving");
  }
  member->move = Move{ .from = aCommand.from,
                       .to = aCommand.to,
                       .phase = MovePhase::Draining,
                       .phaseSince = aCommand.at };
  return AdvanceEpoch(*member);
}

std::optional<PoolEpoch>
PoolRegistry::On(const FinishDrain& aCommand, Error& aReason)
{
  Membership* member = FindInPhase(
    aCommand.host, aCommand.expectedEpoch, MovePhase::Draining, aReason);
  if (!member) {
    return std::nullopt;
  }
  member->move->phase = MovePhase::HandingOver;
  member->move->phaseSince = aCommand.at;
  return AdvanceEpoch(*member);
}

std::optional<PoolEpoch>
PoolRegistry::On(const HandOver& aCommand, Error& aReason)
{
  Membership* member = FindInPhase(
    aCommand.host, aCommand.expectedEpoch, MovePhase::HandingOver, aReason);
  if (!member) {
    return std::nullopt;
  }
  member->pool = member->move->to;
  member->memberSince = aCommand.at;
  member->move->phase = MovePhase::Resuming;
  member->move->phaseSince = aCommand.at;
  return AdvanceEpoch(*member);
}

std::optional<PoolEpoch>
PoolRegistry::On(const FinishMove& aCommand, Error& aReason)
{
  Membership* member = FindInPhase(
    aCommand.host, aCommand.expectedEpoch, MovePhase::Resuming, aReason);
  if (!member) {
    return std::nullopt;
  }
  member->move.reset();
  return AdvanceEpoch(*member);
}

std::optional<PoolEpoch>
PoolRegistry::On(const AbortMove& aCommand, Error& aReason)
{
  Membership* member =
    FindAtEpoch(aCommand.host, aCommand.expectedEpoch, aReason);
  if (!member) {
    return std::nullopt;
  }
  if (!member->move) {
    return Fail(aReason,
                ErrorKind::Conflict,
                HostLabel(aCommand.host) + " is not moving");
  }
  if (member->move->phase == MovePhase::Resuming) {
    return Fail(aReason,
                ErrorKind::Conflict,
                HostLabel(aCommand.host) +
                  " has already been handed over to its new pool");
  }
  member->move.reset();
  return AdvanceEpoch(*member);
}

std::optional<PoolEpoch>
PoolRegistry::On(const RemoveHost& aCommand, Error& aReason)
{
  Membership* member =
    FindAtEpoch(aCommand.host, aCommand.expectedEpoch, aReason);
  if (!member) {
    return std::nullopt;
  }
  const PoolEpoch epoch = AdvanceEpoch(*member);
  state_.members.erase(aCommand.host);
  return epoch;
}

Membership*
PoolRegistry::FindAtEpoch(const HostId& aHost,
                          PoolEpoch aExpectedEpoch,
                          Error& aReason)
{
  auto found = state_.members.find(aHost);
  if (found == state_.members.end()) {
    Fail(aReason, ErrorKind::NotFound, HostLabel(aHost) + " is not registered");
    return nullptr;
  }
  const PoolEpoch epoch = found->second.epoch;
  if (epoch != aExpectedEpoch) {
    Fail(aReason,
         ErrorKind::Conflict,
         HostLabel(aHost) + " is at epoch " + std::to_string(epoch.Value()) +
           ", not " + std::to_string(aExpectedEpoch.Value()));
    return nullptr;
  }
  return &found->second;
}

Membership*
PoolRegistry::FindInPhase(const HostId& aHost,
                          PoolEpoch aExpectedEpoch,
                          MovePhase aPhase,
                          Error& aReason)
{
  Membership* member = FindAtEpoch(aHost, aExpectedEpoch, aReason);
  if (!member) {
    return nullptr;
  }
  if (!member->move || member->move->phase != aPhase) {
    Fail(aReason,
         ErrorKind::Conflict,
         HostLabel(aHost) +
           " is not in the move phase that the command expects");
    return nullptr;
  }
  return member;
}

PoolEpoch
PoolRegistry::AdvanceEpoch(Membership& aMembership)
{
  state_.lastEpoch = PoolEpoch(state_.lastEpoch.Value() + 1);
  aMembership.epoch = state_.lastEpoch;
  return aMembership.epoch;
}

std::optional<PoolEpoch>
CheckAnnouncement(const PoolRegistry& aRegistry,
                  const UpstreamAnnouncement& aAnnouncement,
                  Error& aReason)
{
  const HostId host = HostOf(aAnnouncement);
  const Membership* member = aRegistry.Find(host);
  if (!member) {
    return Fail(
      aReason, ErrorKind::NotFound, HostLabel(host) + " is not registered");
  }
  if (member->pool != aAnnouncement.pool) {
    return FailWrongPool(host, member->pool, aReason);
  }
  const Placement announced{ .availabilityZone = aAnnouncement.availabilityZone,
                             .rack = aAnnouncement.rack };
  if (member->placement != announced) {
    return Fail(aReason,
                ErrorKind::Conflict,
                HostLabel(host) + " is registered in another zone or rack");
  }
  return member->epoch;
}

bool
MayDispatch(const PoolRegistry& aRegistry,
            const HostId& aHost,
            const PoolId& aPool,
            PoolEpoch aExpectedEpoch,
            Error& aReason)
{
  const Membership* member = aRegistry.Find(aHost);
  if (!member) {
    Fail(aReason, ErrorKind::NotFound, HostLabel(aHost) + " is not registered");
    return false;
  }
  if (member->epoch != aExpectedEpoch || member->pool != aPool) {
    Fail(aReason,
         ErrorKind::Conflict,
         HostLabel(aHost) + " is at another epoch or in another pool");
    return false;
  }
  if (member->move) {
    Fail(aReason, ErrorKind::Conflict, HostLabel(aHost) + " is moving");
    return false;
  }
  return true;
}

} // namespace greengage::fleet
