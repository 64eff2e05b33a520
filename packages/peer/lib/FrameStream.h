/// \file
/// Whole frames in and out of one TCP connection.

#ifndef GREENGAGE_PEER_LIB_FRAMESTREAM_H
#define GREENGAGE_PEER_LIB_FRAMESTREAM_H

#include "greengage/wire/Frame.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace greengage::peer::detail {

/// A connection that carries frames. Both callbacks come from the loop.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  using OnFrame = std::function<void(const std::string&)>;
  using OnEnd = std::function<void()>;

  explicit FrameStream(boost::asio::ip::tcp::socket aSocket);

  /// Begins to read. After \p aOnEnd neither callback comes again.
  void Start(OnFrame aOnFrame, OnEnd aOnEnd);
  /// Exchanges the callbacks of a stream that has been started.
  void Handle(OnFrame aOnFrame, OnEnd aOnEnd);
  /// Queues a frame. False, with nothing queued, if the backlog would exceed
  /// \p aMaxBacklog bytes or the connection has ended.
  bool Send(const std::string& aBytes, std::size_t aMaxBacklog);
  /// Closes the connection without a callback and discards what is not yet
  /// acknowledged, so that nothing arrives after the peer was given up.
  void Close();

private:
  void ReadHeader();
  void ReadBody(std::size_t aLength);
  void WriteNext();
  void End();

  boost::asio::ip::tcp::socket socket_;
  OnFrame onFrame_;
  OnEnd onEnd_;
  std::array<char, wire::kFrameHeaderBytes> header_{};
  std::string body_;
  std::deque<std::string> backlog_;
  std::size_t backlogBytes_ = 0;
  bool isOpen_ = true;
};

} // namespace greengage::peer::detail

#endif // GREENGAGE_PEER_LIB_FRAMESTREAM_H
