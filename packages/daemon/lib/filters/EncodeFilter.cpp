#include "EncodeFilter.h"

#include "greengage/api/Encode.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

EncodeFilter::EncodeFilter(Ports aPorts)
  : ports_(std::move(aPorts))
{
}

void
EncodeFilter::Accept(api::Reply&& aReply, Time /*aNow*/)
{
  http::HttpResponse response = api::EncodeReply(std::move(aReply));
  ports_.at(response.port)->Push(std::move(response));
}
