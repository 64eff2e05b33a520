/// \file
/// The operators' settings as a tree of branches with inheritance: a value set
/// on a branch holds for all below it until a lower branch overrides it.

#ifndef GREENGAGE_STATE_SETTINGSTREE_H
#define GREENGAGE_STATE_SETTINGSTREE_H

#include "greengage/settings/IniFile.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengage::state {

/// A branch by its path, such as "teams/caxias/plan"; the root is "".
using BranchPath = std::string;

/// A value together with the branch that sets it.
struct InheritedValue
{
  std::string value;
  BranchPath from;
};

/// A value of one branch before and after a change; nothing where the branch
/// does not set it.
struct ValueChange
{
  BranchPath branch;
  std::string name;
  std::optional<std::string> before;
  std::optional<std::string> after;

  friend bool operator==(const ValueChange&, const ValueChange&) = default;
};

/// Branches with their own values.
class SettingsTree
{
public:
  using Values = std::map<std::string, std::string>;

  /// Takes each INI section as a branch; keys above all sections are the
  /// root's.
  static SettingsTree FromIni(const settings::IniFile& aFile);
  /// The INI text that FromIni reads.
  std::string ToIni() const;

  /// Sets a value on a branch, creating the branch.
  void Set(const BranchPath& aBranch,
           const std::string& aName,
           std::string aValue);
  /// Removes a value from its own branch. False if it was not set there.
  bool Unset(const BranchPath& aBranch, const std::string& aName);

  /// The value in force on \p aBranch and where it comes from.
  std::optional<InheritedValue> Explain(const BranchPath& aBranch,
                                        const std::string& aName) const;
  /// The values set on \p aBranch itself.
  const Values& OwnValues(const BranchPath& aBranch) const;
  /// All branches in order of their paths.
  std::vector<BranchPath> Branches() const;
  /// All branches with their own values.
  const std::map<BranchPath, Values>& All() const { return branches_; }
  /// Whether no branch stands below \p aBranch.
  bool IsLeaf(const BranchPath& aBranch) const;
  /// The branches below \p aPrefix that have no branch below them.
  std::vector<BranchPath> LeavesBelow(const BranchPath& aPrefix) const;

  friend bool operator==(const SettingsTree&, const SettingsTree&) = default;

private:
  std::map<BranchPath, Values> branches_;
};

/// What turns \p aFrom into \p aTo.
std::vector<ValueChange>
Difference(const SettingsTree& aFrom, const SettingsTree& aTo);

} // namespace greengage::state

#endif // GREENGAGE_STATE_SETTINGSTREE_H
