/// \file
/// Typed errors. A function that can fail returns `std::optional` and leaves
/// the last reason in an `Error&`; each kind names the remedy.

#ifndef GREENGAGE_CORE_ERROR_H
#define GREENGAGE_CORE_ERROR_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage {

/// What went wrong, as far as the remedy depends on it.
enum class ErrorKind : std::uint8_t
{
  None,
  Malformed,
  TooLarge,
  InvalidSetting,
  Unauthenticated,
  Forbidden,
  NotFound,
  Conflict,
  DuplicateRequest,
  DeadlineUnmeetable,
  DeadlinePassed,
  LimitReached,
  Overloaded,
  NoCapacity,
  ShuttingDown,
  Unreachable,
  OutcomeUnknown,
  Cancelled,
  Timeout,
  Unsupported,
  DataCorrupt,
  DataLocked,
  StorageFailed,
  StorageFull,
  Internal,
};

/// The last reason of a failed call.
struct Error
{
  ErrorKind kind = ErrorKind::None;
  /// What happened: lower case, no full stop.
  std::string detail;
};

/// The stable code of \p aKind for machines, such as "deadline-unmeetable".
std::string_view
CodeOf(ErrorKind aKind);

/// What the reader of the message can do about \p aKind.
std::string_view
RemedyOf(ErrorKind aKind);

/// The detail followed by the remedy, as one line for people.
std::string
Describe(const Error& aError);

/// Stores the reason and returns the empty optional, so that a caller can
/// write `return Fail(aReason, ErrorKind::NotFound, "...")`.
std::nullopt_t
Fail(Error& aReason, ErrorKind aKind, std::string aDetail);

} // namespace greengage

#endif // GREENGAGE_CORE_ERROR_H
