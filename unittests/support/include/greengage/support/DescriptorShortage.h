/// \file
/// A process that can open no more file descriptors, for tests of how servers
/// bear it.

#ifndef GREENGAGE_SUPPORT_DESCRIPTORSHORTAGE_H
#define GREENGAGE_SUPPORT_DESCRIPTORSHORTAGE_H

#include <sys/resource.h>

namespace greengage::support {

/// While it exists, no file descriptor can be opened; open ones stay usable.
class DescriptorShortage
{
public:
  DescriptorShortage()
  {
    getrlimit(RLIMIT_NOFILE, &former_);
    rlimit limit = former_;
    limit.rlim_cur = kStandardStreams;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;
  ~DescriptorShortage() { setrlimit(RLIMIT_NOFILE, &former_); }

private:
  /// New descriptors get numbers above those of the standard streams.
  static constexpr rlim_t kStandardStreams = 3;
  rlimit former_{};
};

} // namespace greengage::support

#endif // GREENGAGE_SUPPORT_DESCRIPTORSHORTAGE_H
