#include "greengage/state/SettingsTree.h"

#include <utility>

using namespace greengage;
using namespace greengage::state;

/// The branch above \p aBranch, or nothing above the root.
static std::optional<BranchPath>
ParentOf(const BranchPath& aBranch)
{
  if (aBranch.empty())
    return std::nullopt;
  const std::size_t slash = aBranch.rfind('/');
  if (slash == BranchPath::npos)
    return BranchPath();
  return aBranch.substr(0, slash);
}

static bool
IsBelow(const BranchPath& aBranch, const BranchPath& aPrefix)
{
  return aBranch.size() > aPrefix.size() && aBranch.starts_with(aPrefix) &&
         (aPrefix.empty() || aBranch[aPrefix.size()] == '/');
}

SettingsTree
SettingsTree::FromIni(const settings::IniFile& aFile)
{
  SettingsTree tree;
  for (const settings::IniEntry& entry : aFile.Entries())
    tree.Set(entry.section, entry.key, entry.value);
  return tree;
}

static void
AppendValues(std::string& aText, const SettingsTree::Values& aValues)
{
  for (const auto& [name, value] : aValues)
    aText.append(name).append(" = ").append(value).append("\n");
}

std::string
SettingsTree::ToIni() const
{
  std::string text;
  for (const auto& [branch, values] : branches_) {
    if (!branch.empty())
      text += "\n[" + branch + "]\n";
    AppendValues(text, values);
  }
  return text;
}

void
SettingsTree::Set(const BranchPath& aBranch,
                  const std::string& aName,
                  std::string aValue)
{
  branches_[aBranch][aName] = std::move(aValue);
}

bool
SettingsTree::Unset(const BranchPath& aBranch, const std::string& aName)
{
  const auto found = branches_.find(aBranch);
  if (found == branches_.end() || found->second.erase(aName) == 0)
    return false;
  if (found->second.empty())
    branches_.erase(found);
  return true;
}

std::optional<InheritedValue>
SettingsTree::Explain(const BranchPath& aBranch, const std::string& aName) const
{
  std::optional<BranchPath> branch = aBranch;
  while (branch) {
    const Values& values = OwnValues(*branch);
    const auto found = values.find(aName);
    if (found != values.end())
      return InheritedValue{ .value = found->second, .from = *branch };
    branch = ParentOf(*branch);
  }
  return std::nullopt;
}

const SettingsTree::Values&
SettingsTree::OwnValues(const BranchPath& aBranch) const
{
  static const Values kNoValues;
  const auto found = branches_.find(aBranch);
  return found == branches_.end() ? kNoValues : found->second;
}

std::vector<BranchPath>
SettingsTree::Branches() const
{
  std::vector<BranchPath> paths;
  for (const auto& [branch, values] : branches_)
    paths.push_back(branch);
  return paths;
}

bool
SettingsTree::IsLeaf(const BranchPath& aBranch) const
{
  // The branches below stand together, behind names such as "a-b".
  const auto next = branches_.lower_bound(aBranch + "/");
  return next == branches_.end() || !IsBelow(next->first, aBranch);
}

std::vector<BranchPath>
SettingsTree::LeavesBelow(const BranchPath& aPrefix) const
{
  std::vector<BranchPath> leaves;
  auto next = branches_.lower_bound(aPrefix + "/");
  for (; next != branches_.end() && IsBelow(next->first, aPrefix); ++next)
    if (IsLeaf(next->first))
      leaves.push_back(next->first);
  return leaves;
}

/// Adds what \p aFrom sets on one branch and \p aTo sets otherwise or not.
static void
AddDifferences(const BranchPath& aBranch,
               const SettingsTree::Values& aFrom,
               const SettingsTree::Values& aTo,
               std::vector<ValueChange>& aChanges)
{
  for (const auto& [name, value] : aFrom) {
    const auto found = aTo.find(name);
    if (found == aTo.end())
      aChanges.push_back({ aBranch, name, value, std::nullopt });
    else if (found->second != value)
      aChanges.push_back({ aBranch, name, value, found->second });
  }
  for (const auto& [name, value] : aTo)
    if (!aFrom.contains(name))
      aChanges.push_back({ aBranch, name, std::nullopt, value });
}

std::vector<ValueChange>
greengage::state::Difference(const SettingsTree& aFrom, const SettingsTree& aTo)
{
  std::vector<ValueChange> changes;
  const SettingsTree::Values none;
  for (const auto& [branch, values] : aFrom.All())
    AddDifferences(branch, values, aTo.OwnValues(branch), changes);
  for (const auto& [branch, values] : aTo.All())
    if (!aFrom.All().contains(branch))
      AddDifferences(branch, none, values, changes);
  return changes;
}
