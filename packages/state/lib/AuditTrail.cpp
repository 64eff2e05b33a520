#include "greengage/state/AuditTrail.h"

#include "CanonicalText.h"

#include "greengage/state/SettingCatalogue.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::state;

static constexpr std::size_t kHashDigits = 64;
/// Rough size of the fixed fields of one entry.
static constexpr std::size_t kEntryBytes = 256;

static std::string
HashOf(const std::string& aBefore, const AuditEntry& aEntry)
{
  const Origin& origin = aEntry.origin;
  return detail::CanonicalText()
    .Add(std::string_view(aBefore))
    .Add(aEntry.sequence.Value())
    .Add(std::string_view(origin.who.Value()))
    .Add(std::string_view(origin.change.Value()))
    .Add(std::string_view(origin.remoteAddress))
    .Add(origin.at.Millis())
    .Add(std::string_view(aEntry.action))
    .Add(aEntry.changes)
    .Add(CodeOf(aEntry.refusal))
    .Add(std::string_view(aEntry.why))
    .Add(aEntry.version.Value())
    .Sha256();
}

static std::size_t
BytesOf(const std::optional<std::string>& aText)
{
  return aText ? aText->size() : 0;
}

static std::size_t
BytesOf(const AuditEntry& aEntry)
{
  std::size_t bytes = kEntryBytes + aEntry.why.size();
  for (const ValueChange& change : aEntry.changes)
    bytes += change.branch.size() + change.name.size() +
             BytesOf(change.before) + BytesOf(change.after);
  return bytes;
}

std::optional<ChainBreak>
greengage::state::VerifyChain(const AuditChain& aChain)
{
  AuditSequence expected = aChain.first;
  const std::string* before = &aChain.anchor;
  for (const AuditEntry& entry : aChain.entries) {
    if (entry.sequence != expected)
      return ChainBreak{ expected, "an entry is missing or out of order" };
    if (entry.hash != HashOf(*before, entry))
      return ChainBreak{ expected,
                         "this entry was altered, or the one before it was "
                         "replaced" };
    before = &entry.hash;
    expected = AuditSequence(expected.Value() + 1);
  }
  if (*before != aChain.head)
    return ChainBreak{ expected, "the newest entries are missing" };
  return std::nullopt;
}

AuditTrail::AuditTrail(AuditLimits aLimits)
  : limits_(aLimits)
{
  chain_.anchor = std::string(kHashDigits, '0');
  chain_.head = chain_.anchor;
}

void
AuditTrail::Append(AuditEntry aEntry)
{
  const std::uint64_t place =
    chain_.first.Value() + static_cast<std::uint64_t>(chain_.entries.size());
  aEntry.sequence = AuditSequence(place);
  aEntry.hash = HashOf(chain_.head, aEntry);
  chain_.head = aEntry.hash;
  bytes_ += BytesOf(aEntry);
  chain_.entries.push_back(std::move(aEntry));
  DropOldest();
}

void
AuditTrail::DropOldest()
{
  while (
    chain_.entries.size() > 1 &&
    (chain_.entries.size() > limits_.maxEntries || bytes_ > limits_.maxBytes)) {
    AuditEntry& oldest = chain_.entries.front();
    bytes_ -= BytesOf(oldest);
    chain_.anchor = std::move(oldest.hash);
    chain_.first = AuditSequence(chain_.first.Value() + 1);
    chain_.entries.pop_front();
  }
}

static bool
IsAtOrBelow(const BranchPath& aBranch, const BranchPath& aTop)
{
  return aTop.empty() || aBranch == aTop || aBranch.starts_with(aTop + "/");
}

static bool
IsAskedFor(const AuditEntry& aEntry, const AuditQuery& aQuery)
{
  if (aEntry.sequence < aQuery.from || aEntry.sequence > aQuery.to)
    return false;
  if (aQuery.who && aEntry.origin.who != *aQuery.who)
    return false;
  return !aQuery.branch ||
         std::any_of(aEntry.changes.begin(),
                     aEntry.changes.end(),
                     [&](const ValueChange& aChange) {
                       return IsAtOrBelow(aChange.branch, *aQuery.branch);
                     });
}

std::vector<AuditEntry>
AuditTrail::Find(const AuditQuery& aQuery) const
{
  std::vector<AuditEntry> found;
  const auto& entries = chain_.entries;
  for (auto entry = entries.rbegin();
       entry != entries.rend() && found.size() < aQuery.limit;
       ++entry)
    if (IsAskedFor(*entry, aQuery))
      found.push_back(*entry);
  std::reverse(found.begin(), found.end());
  return found;
}

bool
AuditTrail::Load(AuditChain aChain, Error& aReason)
{
  if (const auto broken = VerifyChain(aChain)) {
    Fail(aReason,
         ErrorKind::DataCorrupt,
         "audit entry " + std::to_string(broken->at.Value()) + ": " +
           broken->detail);
    return false;
  }
  chain_ = std::move(aChain);
  bytes_ = 0;
  for (const AuditEntry& entry : chain_.entries)
    bytes_ += BytesOf(entry);
  return true;
}

std::optional<std::string>
greengage::state::AuditedText(const std::string& aName,
                              const std::optional<std::string>& aValue)
{
  if (!aValue || FindSetting(aName) != nullptr)
    return aValue;
  return "(not shown)";
}
