#include "greengage/pipe/ThreadName.h"

#include <pthread.h>

#include <cstddef>
#include <string>

static constexpr std::size_t kMaxKernelName = 15;

void
greengage::pipe::NameThisThread(std::string_view aName)
{
  const std::string name(aName.substr(0, kMaxKernelName));
  pthread_setname_np(pthread_self(), name.c_str());
}
