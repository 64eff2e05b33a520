/// \file
/// The fair-share tree of one pool. Groups are its inner nodes and teams its
/// leaves; each node has a weight among its siblings.

#ifndef GREENGAGE_DISPATCH_SHARETREE_H
#define GREENGAGE_DISPATCH_SHARETREE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// Offsets of the price classes and limits of the catch-up credit. The offsets
/// and the credit limit are converted to virtual time at the peak rate at which
/// the virtual time of the group advances.
struct ShareOptions
{
  /// How far urgent work may run ahead of its team's share.
  Duration urgentLead = Duration(500);
  /// How far patient work is kept behind other work.
  Duration patientYield = Duration::Seconds(1);
  /// Upper bound of the service that an underserved team can catch up on.
  Duration maxCredit = Duration::Seconds(10);
  /// Half-life of the credit of an underserved team.
  Duration creditHalfLife = Duration::Seconds(30);
};

/// Weighted fair queueing on each level of the tree. The virtual time of a node
/// is the service it has received divided by its share. The node with the
/// lowest virtual time is served first; the price class of its work shifts it
/// forwards or backwards. Operations take logarithmic time in the number of
/// siblings on each level.
class ShareTree
{
public:
  explicit ShareTree(ShareOptions aOptions);

  /// Sets the weight of a team or, if the path ends in "/", of a group.
  void SetShare(const std::string& aPath, double aShare);
  /// Marks a team as active: it has work that may run. \p aClass is the class
  /// of its first request.
  void Activate(const TeamId& aTeam, PriceClass aClass, Time aNow);
  /// Marks a team as inactive: it has no work or is blocked.
  void Deactivate(const TeamId& aTeam, Time aNow);
  /// The team to serve next; empty if none is active.
  std::optional<TeamId> Next() const;
  /// Charges a team and its groups for service in slot seconds. A negative
  /// amount refunds an overcharge.
  void Charge(const TeamId& aTeam, double aSlotSeconds, Time aNow);

private:
  static constexpr std::size_t kClasses = 3;
  static constexpr std::size_t kRoot = 0;
  using NodeIndex = std::size_t;

  struct Node
  {
    NodeIndex parent = kRoot;
    TeamId team;
    double share = 1;
    double virtualTime = 0;
    /// Virtual time that the node may catch up on, as of creditSavedAt.
    double credit = 0;
    Time creditSavedAt;
    /// Number of active leaves in the subtree, by class of the first request.
    std::array<std::size_t, kClasses> activeLeaves{};
    /// Class of the first request of an active leaf.
    std::optional<PriceClass> leafClass;
    bool isLinked = false;
    double sortKey = 0;

    /// The active children by their sort keys: virtual time less the lead.
    std::set<std::pair<double, NodeIndex>> activeChildren;
    /// Sum of their shares.
    double activeShare = 0;
    /// Sum of their virtual times, each weighted by its share.
    double weightedVirtualTime = 0;
    /// Virtual time of the last active child when the group became inactive.
    double lastVirtualTime = 0;
    /// Decaying peak of the rate at which the children's virtual times advance,
    /// per second.
    double peakRate = 0;
    /// Advance of virtual time since windowStart.
    double windowProgress = 0;
    Time windowStart;
  };

  NodeIndex FindOrCreateNode(const std::string& aPath, NodeIndex aParent);
  NodeIndex FindOrCreateLeaf(const TeamId& aTeam);
  void SetLeafClass(NodeIndex aLeaf,
                    std::optional<PriceClass> aClass,
                    Time aNow);
  double VirtualTimeLead(const Node& aNode, const Node& aParent) const;
  static double GroupVirtualTime(const Node& aGroup);
  static bool IsActive(const Node& aNode);
  void SaveCredit(Node& aNode, Time aNow) const;
  void ApplyCredit(Node& aNode, Time aNow) const;
  void Link(NodeIndex aNode);
  void Unlink(NodeIndex aNode);
  static void UpdatePeakRate(Node& aNode, Time aNow);

  ShareOptions options_;
  std::map<std::string, double> shares_;
  std::map<std::string, NodeIndex> byPath_;
  std::map<TeamId, NodeIndex> leaves_;
  std::vector<Node> nodes_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_SHARETREE_H
