#include "greengage/dispatch/ShareTree.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace greengage;
using namespace greengage::dispatch;

/// A share of zero still gets what nobody else wants.
static constexpr double kLeastShare = 1e-6;
/// Over how long the rate of service is measured.
static constexpr Duration kRateWindow = Duration(500);
/// What is left of the greatest rate after each window.
static constexpr double kRateDecay = 0.95;
/// The least lead in slot seconds, before a rate is known.
static constexpr double kLeastLead = 1;

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
  const double share = std::max(aShare, kLeastShare);
  shares_[aPath] = share;
  const auto found = byPath_.find(aPath);
  if (found == byPath_.end())
    return;
  Node& node = nodes_[found->second];
  if (node.isLinked) {
    Node& parent = nodes_[node.parent];
    parent.activeShare += share - node.share;
    parent.weightedTimes += (share - node.share) * node.virtualTime;
  }
  node.share = share;
}

ShareTree::NodeIndex
ShareTree::NodeOf(const std::string& aPath, NodeIndex aParent)
{
  const auto [place, isNew] = byPath_.try_emplace(aPath, nodes_.size());
  if (!isNew)
    return place->second;
  Node node;
  node.parent = aParent;
  const auto share = shares_.find(aPath);
  if (share != shares_.end())
    node.share = share->second;
  nodes_.push_back(std::move(node));
  return place->second;
}

ShareTree::NodeIndex
ShareTree::LeafOf(const TeamId& aTeam)
{
  const auto found = leaves_.find(aTeam);
  if (found != leaves_.end())
    return found->second;
  const std::string& path = aTeam.Value();
  NodeIndex parent = kRoot;
  for (auto slash = path.find('/'); slash != std::string::npos;
       slash = path.find('/', slash + 1))
    parent = NodeOf(path.substr(0, slash + 1), parent);
  const NodeIndex leaf = NodeOf(path, parent);
  nodes_[leaf].team = aTeam;
  leaves_.emplace(aTeam, leaf);
  return leaf;
}

void
ShareTree::Activate(const TeamId& aTeam, PriceClass aClass, Time aNow)
{
  SetLeafClass(LeafOf(aTeam), aClass, aNow);
}

void
ShareTree::Deactivate(const TeamId& aTeam, Time aNow)
{
  SetLeafClass(LeafOf(aTeam), std::nullopt, aNow);
}

/// Brings the leaf and all groups above it to their new places.
void
ShareTree::SetLeafClass(NodeIndex aLeaf,
                        std::optional<PriceClass> aClass,
                        Time aNow)
{
  const std::optional<PriceClass> before = nodes_[aLeaf].leafClass;
  if (before == aClass)
    return;
  nodes_[aLeaf].leafClass = aClass;
  for (NodeIndex index = aLeaf; index != kRoot; index = nodes_[index].parent) {
    Node& node = nodes_[index];
    const bool hadWork = node.isLinked;
    Unlink(index);
    if (before)
      --node.active.at(static_cast<std::size_t>(*before));
    if (aClass)
      ++node.active.at(static_cast<std::size_t>(*aClass));
    const bool hasWork = HasWork(node);
    if (hadWork && !hasWork)
      KeepCredit(node, aNow);
    if (!hadWork && hasWork)
      SpendCredit(node, aNow);
    if (hasWork)
      Link(index);
  }
}

/// The weighted mean of the virtual times of the children with work.
double
ShareTree::VirtualNow(const Node& aGroup)
{
  if (aGroup.children.empty())
    return aGroup.lastTime;
  return aGroup.weightedTimes / aGroup.activeShare;
}

bool
ShareTree::HasWork(const Node& aNode)
{
  return std::any_of(aNode.active.begin(),
                     aNode.active.end(),
                     [](std::size_t aLeaves) { return aLeaves > 0; });
}

/// Remembers what a node lacked when its work ended.
void
ShareTree::KeepCredit(Node& aNode, Time aNow) const
{
  const Node& parent = nodes_[aNode.parent];
  const double most = parent.rate * SecondsOf(options_.maxCredit);
  const double lacked = VirtualNow(parent) - aNode.virtualTime;
  aNode.credit = std::clamp(lacked, 0.0, most);
  aNode.creditAt = aNow;
}

/// Lets a node that comes back start level with the others, or before them by
/// what it lacked lately.
void
ShareTree::SpendCredit(Node& aNode, Time aNow) const
{
  const double halfLives =
    SecondsOf(aNow - aNode.creditAt) / SecondsOf(options_.creditHalfLife);
  const double credit = aNode.credit * std::exp2(-halfLives);
  aNode.virtualTime =
    std::max(aNode.virtualTime, VirtualNow(nodes_[aNode.parent]) - credit);
}

/// How much earlier or later than by its virtual time a node is served.
double
ShareTree::LeadOf(const Node& aNode, const Node& aParent) const
{
  const double least = kLeastLead / std::max(aParent.activeShare, kLeastShare);
  const auto worth = [&](Duration aSpan) {
    return std::max(least, aParent.rate * SecondsOf(aSpan));
  };
  if (aNode.active[static_cast<std::size_t>(PriceClass::Urgent)] > 0)
    return worth(options_.urgentLead);
  if (aNode.active[static_cast<std::size_t>(PriceClass::Standard)] > 0)
    return 0;
  return -worth(options_.patientYield);
}

void
ShareTree::Link(NodeIndex aNode)
{
  Node& node = nodes_[aNode];
  Node& parent = nodes_[node.parent];
  parent.activeShare += node.share;
  parent.weightedTimes += node.share * node.virtualTime;
  node.key = node.virtualTime - LeadOf(node, parent);
  node.isLinked = true;
  parent.children.emplace(node.key, aNode);
}

void
ShareTree::Unlink(NodeIndex aNode)
{
  Node& node = nodes_[aNode];
  if (!node.isLinked)
    return;
  Node& parent = nodes_[node.parent];
  parent.children.erase({ node.key, aNode });
  parent.activeShare -= node.share;
  parent.weightedTimes -= node.share * node.virtualTime;
  if (parent.children.empty()) {
    // Sums of fractions drift; an empty group starts anew.
    parent.activeShare = 0;
    parent.weightedTimes = 0;
    parent.lastTime = node.virtualTime;
  }
  node.isLinked = false;
}

std::optional<TeamId>
ShareTree::Next() const
{
  if (nodes_[kRoot].children.empty())
    return std::nullopt;
  NodeIndex index = kRoot;
  while (!nodes_[index].children.empty())
    index = nodes_[index].children.begin()->second;
  return nodes_[index].team;
}

/// Keeps the rate at which a group's virtual time advances.
void
ShareTree::Measure(Node& aNode, Time aNow)
{
  const Duration span = aNow - aNode.rateSince;
  if (span < kRateWindow)
    return;
  const double rate = aNode.progress / SecondsOf(span);
  // Quiet times say little about the rate when the pool is busy.
  aNode.rate = std::max(rate, aNode.rate * kRateDecay);
  aNode.progress = 0;
  aNode.rateSince = aNow;
}

void
ShareTree::Charge(const TeamId& aTeam, double aSlotSeconds, Time aNow)
{
  for (NodeIndex index = LeafOf(aTeam); index != kRoot;
       index = nodes_[index].parent) {
    Node& parent = nodes_[nodes_[index].parent];
    const bool wasLinked = nodes_[index].isLinked;
    const double share =
      parent.activeShare + (wasLinked ? 0 : nodes_[index].share);
    parent.progress += aSlotSeconds / share;
    Measure(parent, aNow);
    Unlink(index);
    nodes_[index].virtualTime += aSlotSeconds / nodes_[index].share;
    if (wasLinked)
      Link(index);
  }
}
