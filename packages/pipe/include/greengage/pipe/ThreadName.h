/// \file
/// Names threads, so that a process listing shows each duty.

#ifndef GREENGAGE_PIPE_THREADNAME_H
#define GREENGAGE_PIPE_THREADNAME_H

#include <string_view>

namespace greengage::pipe {

/// Names the calling thread; the kernel keeps the first 15 characters.
void
NameThisThread(std::string_view aName);

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_THREADNAME_H
