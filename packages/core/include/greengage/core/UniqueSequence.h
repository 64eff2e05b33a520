/// \file
/// Numbers for messages that another process may answer after this process has
/// been restarted.

#ifndef GREENGAGE_CORE_UNIQUESEQUENCE_H
#define GREENGAGE_CORE_UNIQUESEQUENCE_H

#include <cstdint>

namespace greengage {

/// Ascending numbers that no other incarnation of the process issues, so that
/// an answer to an earlier incarnation matches no message of this one. Each
/// sequence starts at a random number, since the time of day may be set back.
/// The numbers are below 2^53, so that they are exact in JSON.
class UniqueSequence
{
public:
  UniqueSequence();

  /// The next number; never 0.
  std::uint64_t Next() { return ++last_; }

private:
  std::uint64_t last_;
};

} // namespace greengage

#endif // GREENGAGE_CORE_UNIQUESEQUENCE_H
