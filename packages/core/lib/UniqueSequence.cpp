#include "greengage/core/UniqueSequence.h"

#include <random>

using namespace greengage;

static std::uint64_t
RandomStart()
{
  constexpr std::uint64_t kMaxStart = std::uint64_t{ 1 } << 52U;
  std::random_device source("/dev/urandom");
  return std::uniform_int_distribution<std::uint64_t>(0, kMaxStart)(source);
}

UniqueSequence::UniqueSequence()
  : last_(RandomStart())
{
}
