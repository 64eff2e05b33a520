// The remembered results, the published view and the snapshot of FleetState.

#include "greengage/state/FleetState.h"

#include <memory>
#include <utility>

using namespace greengage;
using namespace greengage::state;

const RememberedResult*
FleetState::Recall(const Origin& aOrigin) const
{
  const auto found = places_.find({ aOrigin.who, aOrigin.change });
  return found == places_.end() ? nullptr
                                : &results_[found->second - forgotten_];
}

void
FleetState::Remember(const Command& aCommand,
                     std::string aFingerprint,
                     const CommandResult& aResult)
{
  const Origin& origin = aCommand.origin;
  places_[{ origin.who, origin.change }] = forgotten_ + results_.size();
  results_.push_back(
    { origin.who, origin.change, std::move(aFingerprint), aResult });
  if (results_.size() <= kMaxRemembered)
    return;
  places_.erase({ results_.front().who, results_.front().change });
  results_.pop_front();
  ++forgotten_;
}

void
FleetState::IndexResults()
{
  places_.clear();
  forgotten_ = 0;
  for (std::size_t place = 0; place < results_.size(); ++place)
    places_[{ results_[place].who, results_[place].change }] = place;
}

FleetViewPtr
FleetState::View() const
{
  if (!published_ && HasBegun())
    published_ = std::make_shared<const FleetView>(fleet_);
  return published_;
}

FleetSnapshot
FleetState::Save() const
{
  return { .version = version_,
           .settingsVersion = settingsVersion_,
           .tree = tree_,
           .withdrawn = withdrawn_,
           .results = results_,
           .audit = audit_.Chain() };
}

bool
FleetState::Load(FleetSnapshot aSnapshot, Error& aReason)
{
  FleetView fleet;
  if (aSnapshot.version > Version(0)) {
    auto built = BuildFleetView(aSnapshot.tree, aSnapshot.version, aReason);
    if (!built) {
      aReason.kind = ErrorKind::DataCorrupt;
      return false;
    }
    fleet = std::move(*built);
  }
  if (!audit_.Load(std::move(aSnapshot.audit), aReason))
    return false;
  version_ = aSnapshot.version;
  settingsVersion_ = aSnapshot.settingsVersion;
  tree_ = std::move(aSnapshot.tree);
  fleet_ = std::move(fleet);
  published_.reset();
  withdrawn_ = std::move(aSnapshot.withdrawn);
  results_ = std::move(aSnapshot.results);
  IndexResults();
  return true;
}
