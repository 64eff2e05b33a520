#include "greengage/dispatch/ShareTree.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace greengage;
using namespace greengage::dispatch;

/// Lower bound of shares: a node with a share of zero still gets the capacity
/// that its siblings leave unused.
static constexpr double kMinShare = 1e-6;
/// Window over which the rate of service is measured.
static constexpr Duration kRateWindow = Duration(500);
/// Factor by which the peak rate decays in each window.
static constexpr double kPeakRateDecay = 0.95;
/// Minimum offset of a price class, which applies in particular before a rate
/// is known.
static constexpr double kMinLeadSlotSeconds = 1;

static double
SecondsOf(Duration aSpan)
{
  constexpr double kMillisPerSecond = 1000;
  return static_cast<double>(aSpan.Millis()) / kMillisPerSecond;
}

ShareTree::ShareTree(ShareOptions aOptions)
  : options_(aOptions)
  , nodes_(1)
{
}

void
ShareTree::SetShare(const std::string& aPath, double aShare)
{
  const double share = std::max(aShare, kMinShare);
  shares_[aPath] = share;
  const auto found = byPath_.find(aPath);
  if (found == byPath_.end())
    return;
  Node& node = nodes_[found->second];
  if (node.isLinked) {
    Node& parent = nodes_[node.parent];
    parent.activeShare += share - node.share;
    parent.weightedVirtualTime += (share - node.share) * node.virtualTime;
  }
  node.share = share;
}

ShareTree::NodeIndex
ShareTree::FindOrCreateNode(const std::string& aPath, NodeIndex aParent)
{
  const auto [position, isNew] = byPath_.try_emplace(aPath, nodes_.size());
  if (!isNew)
    return position->second;
  Node node;
  node.parent = aParent;
  const auto share = shares_.find(aPath);
  if (share != shares_.end())
    node.share = share->second;
  nodes_.push_back(std::move(node));
  return position->second;
}

ShareTree::NodeIndex
ShareTree::FindOrCreateLeaf(const TeamId& aTeam)
{
  const auto found = leaves_.find(aTeam);
  if (found != leaves_.end())
    return found->second;
  const std::string& path = aTeam.Value();
  NodeIndex parent = kRoot;
  for (auto slash = path.find('/'); slash != std::string::npos;
       slash = path.find('/', slash + 1))
    parent = FindOrCreateNode(path.substr(0, slash + 1), parent);
  const NodeIndex leaf = FindOrCreateNode(path, parent);
  nodes_[leaf].team = aTeam;
  leaves_.emplace(aTeam, leaf);
  return leaf;
}

void
ShareTree::Activate(const TeamId& aTeam, PriceClass aClass, Time aNow)
{
  SetLeafClass(FindOrCreateLeaf(aTeam), aClass, aNow);
}

void
ShareTree::Deactivate(const TeamId& aTeam, Time aNow)
{
  SetLeafClass(FindOrCreateLeaf(aTeam), std::nullopt, aNow);
}

/// Sets the class of a leaf and updates the position of the leaf and of its
/// ancestors among their siblings.
void
ShareTree::SetLeafClass(NodeIndex aLeaf,
                        std::optional<PriceClass> aClass,
                        Time aNow)
{
  const std::optional<PriceClass> oldClass = nodes_[aLeaf].leafClass;
  if (oldClass == aClass)
    return;
  nodes_[aLeaf].leafClass = aClass;
  for (NodeIndex index = aLeaf; index != kRoot; index = nodes_[index].parent) {
    Node& node = nodes_[index];
    const bool wasActive = node.isLinked;
    Unlink(index);
    if (oldClass)
      --node.activeLeaves.at(static_cast<std::size_t>(*oldClass));
    if (aClass)
      ++node.activeLeaves.at(static_cast<std::size_t>(*aClass));
    const bool isActive = IsActive(node);
    if (wasActive && !isActive)
      SaveCredit(node, aNow);
    if (!wasActive && isActive)
      ApplyCredit(node, aNow);
    if (isActive)
      Link(index);
  }
}

/// The virtual time of a group: the weighted mean over its active children.
double
ShareTree::GroupVirtualTime(const Node& aGroup)
{
  if (aGroup.activeChildren.empty())
    return aGroup.lastVirtualTime;
  return aGroup.weightedVirtualTime / aGroup.activeShare;
}

bool
ShareTree::IsActive(const Node& aNode)
{
  return std::any_of(aNode.activeLeaves.begin(),
                     aNode.activeLeaves.end(),
                     [](std::size_t aLeaves) { return aLeaves > 0; });
}

/// Saves the service deficit of a node that becomes inactive as credit.
void
ShareTree::SaveCredit(Node& aNode, Time aNow) const
{
  const Node& parent = nodes_[aNode.parent];
  const double maxCredit = parent.peakRate * SecondsOf(options_.maxCredit);
  const double deficit = GroupVirtualTime(parent) - aNode.virtualTime;
  aNode.credit = std::clamp(deficit, 0.0, maxCredit);
  aNode.creditSavedAt = aNow;
}

/// Advances a node that becomes active to the virtual time of its group, less
/// the rest of its credit, so that idle time gives no claim to service.
void
ShareTree::ApplyCredit(Node& aNode, Time aNow) const
{
  const double halfLives =
    SecondsOf(aNow - aNode.creditSavedAt) / SecondsOf(options_.creditHalfLife);
  const double credit = aNode.credit * std::exp2(-halfLives);
  aNode.virtualTime = std::max(aNode.virtualTime,
                               GroupVirtualTime(nodes_[aNode.parent]) - credit);
}

/// The offset of a node's sort key by the class of its work: positive if the
/// node is served earlier, negative if later.
double
ShareTree::VirtualTimeLead(const Node& aNode, const Node& aParent) const
{
  const double minLead =
    kMinLeadSlotSeconds / std::max(aParent.activeShare, kMinShare);
  const auto toVirtualTime = [&](Duration aSpan) {
    return std::max(minLead, aParent.peakRate * SecondsOf(aSpan));
  };
  if (aNode.activeLeaves[static_cast<std::size_t>(PriceClass::Urgent)] > 0)
    return toVirtualTime(options_.urgentLead);
  if (aNode.activeLeaves[static_cast<std::size_t>(PriceClass::Standard)] > 0)
    return 0;
  return -toVirtualTime(options_.patientYield);
}

void
ShareTree::Link(NodeIndex aNode)
{
  Node& node = nodes_[aNode];
  Node& parent = nodes_[node.parent];
  parent.activeShare += node.share;
  parent.weightedVirtualTime += node.share * node.virtualTime;
  node.sortKey = node.virtualTime - VirtualTimeLead(node, parent);
  node.isLinked = true;
  parent.activeChildren.emplace(node.sortKey, aNode);
}

void
ShareTree::Unlink(NodeIndex aNode)
{
  Node& node = nodes_[aNode];
  if (!node.isLinked)
    return;
  Node& parent = nodes_[node.parent];
  parent.activeChildren.erase({ node.sortKey, aNode });
  parent.activeShare -= node.share;
  parent.weightedVirtualTime -= node.share * node.virtualTime;
  if (parent.activeChildren.empty()) {
    // Floating-point sums drift, so they are reset when the group is empty.
    parent.activeShare = 0;
    parent.weightedVirtualTime = 0;
    parent.lastVirtualTime = node.virtualTime;
  }
  node.isLinked = false;
}

std::optional<TeamId>
ShareTree::Next() const
{
  if (nodes_[kRoot].activeChildren.empty())
    return std::nullopt;
  NodeIndex index = kRoot;
  while (!nodes_[index].activeChildren.empty())
    index = nodes_[index].activeChildren.begin()->second;
  return nodes_[index].team;
}

/// Updates the peak rate at which a group's virtual time advances.
void
ShareTree::UpdatePeakRate(Node& aNode, Time aNow)
{
  const Duration elapsed = aNow - aNode.windowStart;
  if (elapsed < kRateWindow)
    return;
  const double rate = aNode.windowProgress / SecondsOf(elapsed);
  // A slowly decaying peak, since the rate at times of low load is no estimate
  // of the rate under contention.
  aNode.peakRate = std::max(rate, aNode.peakRate * kPeakRateDecay);
  aNode.windowProgress = 0;
  aNode.windowStart = aNow;
}

void
ShareTree::Charge(const TeamId& aTeam, double aSlotSeconds, Time aNow)
{
  for (NodeIndex index = FindOrCreateLeaf(aTeam); index != kRoot;
       index = nodes_[index].parent) {
    Node& parent = nodes_[nodes_[index].parent];
    const bool wasLinked = nodes_[index].isLinked;
    const double share =
      parent.activeShare + (wasLinked ? 0 : nodes_[index].share);
    parent.windowProgress += aSlotSeconds / share;
    UpdatePeakRate(parent, aNow);
    Unlink(index);
    nodes_[index].virtualTime += aSlotSeconds / nodes_[index].share;
    if (wasLinked)
      Link(index);
  }
}
