/// \file
/// The filter from replies to HTTP responses.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_ENCODEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_ENCODEFILTER_H

#include "greengage/api/Calls.h"
#include "greengage/http/Message.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

#include <map>

namespace greengage::daemon::detail {

/// Encodes replies and hands each to the server of its port.
class EncodeFilter final : public pipe::Filter<api::Reply>
{
public:
  using Ports = std::map<http::PortRole, pipe::Pipe<http::HttpResponse>*>;

  explicit EncodeFilter(Ports aPorts);
  void Accept(api::Reply&& aReply, Time aNow) override;

private:
  Ports ports_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_ENCODEFILTER_H
