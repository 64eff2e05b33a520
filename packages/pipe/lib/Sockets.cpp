#include "greengage/pipe/Sockets.h"

#include <boost/system/error_code.hpp>

using namespace greengage;

namespace asio = boost::asio;

bool
greengage::pipe::ListenOn(asio::ip::tcp::acceptor& aAcceptor,
                          const Endpoint& aEndpoint,
                          Error& aReason)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.address, error);
  const asio::ip::tcp::endpoint endpoint(address, aEndpoint.port);
  if (!error)
    aAcceptor.open(endpoint.protocol(), error);
  if (!error)
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    aAcceptor.bind(endpoint, error);
  if (!error)
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error)
    return true;
  Fail(aReason,
       ErrorKind::Unreachable,
       "cannot listen on " + ToString(aEndpoint) + ": " + error.message());
  return false;
}
