/// \file
/// The names of the files in a data folder.

#ifndef GREENGAGE_STORAGE_LIB_NAMES_H
#define GREENGAGE_STORAGE_LIB_NAMES_H

#include <cstdint>
#include <optional>
#include <string>

namespace greengage::storage {

constexpr const char* kLockName = "lock";
constexpr const char* kIdentityName = "identity";
constexpr const char* kTemporarySuffix = ".tmp";
constexpr const char* kSegmentName = "journal-";
constexpr const char* kSnapshotName = "snapshot-";
constexpr std::uint64_t kFirstSegment = 1;

/// The name with \p aPrefix and \p aNumber; names sort as numbers do.
std::string
NameOf(const char* aPrefix, std::uint64_t aNumber);

/// The number in a name that NameOf gives for \p aPrefix, else nothing.
std::optional<std::uint64_t>
NumberIn(const std::string& aName, const char* aPrefix);

} // namespace greengage::storage

#endif // GREENGAGE_STORAGE_LIB_NAMES_H
