/// \file
/// Who is served next in one pool: the teams as the leaves of the tree of
/// groups, each group and team with a weight among its siblings.

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

/// What price classes and memory are worth, in time of the pool's service.
struct ShareOptions
{
  /// How far urgent work may run ahead of its team's share.
  Duration urgentLead = Duration(500);
  /// How long patient work lets the other work go first.
  Duration patientYield = Duration::Seconds(1);
  /// The most that a team which lacked service may make up for later.
  Duration maxCredit = Duration::Seconds(10);
  /// After this time half of what a team lacked is forgotten.
  Duration creditHalfLife = Duration::Seconds(30);
};

/// Weighted fair queueing on each level of the tree. The virtual time of a
/// node is the service that it received, divided by its share; the node with
/// the least goes first, with a lead or a yield by the class of its work. Each
/// operation costs a time logarithmic in the number of siblings.
class ShareTree
{
public:
  explicit ShareTree(ShareOptions aOptions);

  /// Sets a weight by the path of a team, or of a group with a "/" behind it.
  void SetShare(const std::string& aPath, double aShare);
  /// Says that a team has work to be served, and the class of the first.
  void Activate(const TeamId& aTeam, PriceClass aClass, Time aNow);
  /// Says that a team has no work, or may not run any.
  void Deactivate(const TeamId& aTeam, Time aNow);
  /// The team to serve next.
  std::optional<TeamId> Next() const;
  /// Charges a team and its groups for service in slot seconds; negative to
  /// give back what was charged too much.
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
    /// The lack of service that the node may still make up for.
    double credit = 0;
    Time creditAt;
    /// Leaves below with work, by the class of the first.
    std::array<std::size_t, kClasses> active{};
    std::optional<PriceClass> leafClass;
    bool isLinked = false;
    double key = 0;

    /// The children with work, by virtual time less their lead.
    std::set<std::pair<double, NodeIndex>> children;
    double activeShare = 0;
    /// The sum of their virtual times, each times its share.
    double weightedTimes = 0;
    /// The virtual time of the last child that had work.
    double lastTime = 0;
    /// How fast the children's virtual times advance, per second.
    double rate = 0;
    double progress = 0;
    Time rateSince;
  };

  NodeIndex NodeOf(const std::string& aPath, NodeIndex aParent);
  NodeIndex LeafOf(const TeamId& aTeam);
  void SetLeafClass(NodeIndex aLeaf,
                    std::optional<PriceClass> aClass,
                    Time aNow);
  double LeadOf(const Node& aNode, const Node& aParent) const;
  static double VirtualNow(const Node& aGroup);
  static bool HasWork(const Node& aNode);
  void KeepCredit(Node& aNode, Time aNow) const;
  void SpendCredit(Node& aNode, Time aNow) const;
  void Link(NodeIndex aNode);
  void Unlink(NodeIndex aNode);
  static void Measure(Node& aNode, Time aNow);

  ShareOptions options_;
  std::map<std::string, double> shares_;
  std::map<std::string, NodeIndex> byPath_;
  std::map<TeamId, NodeIndex> leaves_;
  std::vector<Node> nodes_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_SHARETREE_H
