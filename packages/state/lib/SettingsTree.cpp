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

std::vector<BranchPath>
SettingsTree::LeavesBelow(const BranchPath& aPrefix) const
{
  std::vector<BranchPath> leaves;
  for (const BranchPath& branch : Branches()) {
    if (!IsBelow(branch, aPrefix))
      continue;
    bool isLeaf = true;
    for (const BranchPath& other : Branches())
      isLeaf = isLeaf && !IsBelow(other, branch);
    if (isLeaf)
      leaves.push_back(branch);
  }
  return leaves;
}
