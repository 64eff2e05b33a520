#include "Http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

using namespace greengage;
using namespace greengage::system_tests;

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = boost::asio::ip::tcp;

HttpAnswer
greengage::system_tests::Fetch(const Endpoint& aEndpoint,
                               const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aKey,
                               const std::string& aBody)
{
  boost::asio::io_context context;
  beast::tcp_stream stream(context);
  bhttp::request<bhttp::string_body> request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(bhttp::field::host, ToString(aEndpoint));
  if (!aKey.empty())
    request.set(bhttp::field::authorization, "Bearer " + aKey);
  request.body() = aBody;
  request.prepare_payload();
  beast::flat_buffer buffer;
  bhttp::response<bhttp::string_body> response;
  HttpAnswer answer;
  stream.expires_after(std::chrono::seconds(15));
  stream.async_connect(
    tcp::endpoint(boost::asio::ip::make_address(aEndpoint.address),
                  aEndpoint.port),
    [&](beast::error_code aError) {
      if (aError)
        return;
      bhttp::async_write(
        stream, request, [&](beast::error_code aWritten, std::size_t) {
          if (aWritten)
            return;
          bhttp::async_read(stream,
                            buffer,
                            response,
                            [&](beast::error_code aRead, std::size_t) {
                              if (aRead)
                                return;
                              answer.status = response.result_int();
                              answer.body = response.body();
                            });
        });
    });
  context.run();
  return answer;
}
