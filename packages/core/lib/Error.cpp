#include "greengage/core/Error.h"

#include <array>
#include <cassert>
#include <cstddef>
#include <utility>

using namespace greengage;

namespace {

struct KindText
{
  ErrorKind kind;
  std::string_view code;
  std::string_view remedy;
};

} // namespace

// In the order of the enumerators, so that a kind is its own index.
static constexpr std::array<KindText, 25> kKindTexts = { {
  { ErrorKind::None, "none", "nothing to do" },
  { ErrorKind::Malformed, "malformed", "correct the input and send it again" },
  { ErrorKind::TooLarge, "too-large", "send less or raise the limit" },
  { ErrorKind::InvalidSetting, "invalid-setting", "correct the setting" },
  { ErrorKind::Unauthenticated,
    "unauthenticated",
    "send a key that is in force" },
  { ErrorKind::Forbidden, "forbidden", "use a key that has this right" },
  { ErrorKind::NotFound, "not-found", "check the name" },
  { ErrorKind::Conflict,
    "conflict",
    "read the current version and decide again" },
  { ErrorKind::DuplicateRequest,
    "duplicate-request",
    "wait for the first answer or use a new request id" },
  { ErrorKind::DeadlineUnmeetable,
    "deadline-unmeetable",
    "send again after the time given or with a later deadline" },
  { ErrorKind::DeadlinePassed,
    "deadline-passed",
    "send again with a later deadline" },
  { ErrorKind::LimitReached,
    "limit-reached",
    "wait for running work to end or ask for a higher limit" },
  { ErrorKind::Overloaded, "overloaded", "send again after the time given" },
  { ErrorKind::NoCapacity,
    "no-capacity",
    "add hosts to the pool or send again later" },
  { ErrorKind::ShuttingDown,
    "shutting-down",
    "send again; another entry host will take it" },
  { ErrorKind::Unreachable,
    "unreachable",
    "check that the address is right and its process runs" },
  { ErrorKind::OutcomeUnknown,
    "outcome-unknown",
    "check the effect before sending the work under a new id" },
  { ErrorKind::Cancelled, "cancelled", "send it under a new id if wanted" },
  { ErrorKind::Timeout, "timeout", "send again or allow more time" },
  { ErrorKind::Unsupported, "unsupported", "use a version that both support" },
  { ErrorKind::DataCorrupt,
    "data-corrupt",
    "move the data folder away and let the host rejoin empty" },
  { ErrorKind::DataLocked,
    "data-locked",
    "stop the other process or name another data folder" },
  { ErrorKind::StorageFailed,
    "storage-failed",
    "check the disk; the host goes on once it can be written again" },
  { ErrorKind::StorageFull,
    "storage-full",
    "free disk space; the host goes on by itself" },
  { ErrorKind::Internal, "internal", "report the log lines around it" },
} };

static const KindText&
TextOf(ErrorKind aKind)
{
  const auto index = static_cast<std::size_t>(aKind);
  assert(index < kKindTexts.size() && "every kind has its text");
  assert(kKindTexts[index].kind == aKind && "the table follows the enum");
  return kKindTexts[index];
}

std::string_view
greengage::CodeOf(ErrorKind aKind)
{
  return TextOf(aKind).code;
}

std::string_view
greengage::RemedyOf(ErrorKind aKind)
{
  return TextOf(aKind).remedy;
}

std::string
greengage::Describe(const Error& aError)
{
  std::string text = aError.detail;
  text += "; ";
  text += RemedyOf(aError.kind);
  return text;
}

std::nullopt_t
greengage::Fail(Error& aReason, ErrorKind aKind, std::string aDetail)
{
  aReason = Error{ .kind = aKind, .detail = std::move(aDetail) };
  return std::nullopt;
}
