#include "FrameStream.h"

#include "greengage/core/Error.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

using namespace greengage;
using namespace greengage::peer::detail;

namespace asio = boost::asio;
using boost::system::error_code;

FrameStream::FrameStream(asio::ip::tcp::socket aSocket)
  : socket_(std::move(aSocket))
{
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void
FrameStream::Start(OnFrame aOnFrame, OnEnd aOnEnd)
{
  Handle(std::move(aOnFrame), std::move(aOnEnd));
  ReadHeader();
}

void
FrameStream::Handle(OnFrame aOnFrame, OnEnd aOnEnd)
{
  onFrame_ = std::move(aOnFrame);
  onEnd_ = std::move(aOnEnd);
}

void
FrameStream::ReadHeader()
{
  auto self = shared_from_this();
  asio::async_read(
    socket_, asio::buffer(header_), [self](error_code aError, std::size_t) {
      Error reason;
      const std::string_view header(self->header_.data(), self->header_.size());
      const auto length =
        aError ? std::nullopt : wire::ParseFrameHeader(header, reason);
      if (!length) {
        self->End();
        return;
      }
      self->ReadBody(*length);
    });
}

void
FrameStream::ReadBody(std::size_t aLength)
{
  body_.resize(aLength);
  auto self = shared_from_this();
  asio::async_read(
    socket_, asio::buffer(body_), [self](error_code aError, std::size_t) {
      if (aError || !self->isOpen_) {
        self->End();
        return;
      }
      // A copy: the callback may exchange the callbacks.
      const OnFrame onFrame = self->onFrame_;
      onFrame(self->body_);
      if (!self->isOpen_)
        self->onFrame_ = nullptr;
      if (self->isOpen_)
        self->ReadHeader();
    });
}

bool
FrameStream::Send(const std::string& aBytes, std::size_t aMaxBacklog)
{
  const std::size_t size = aBytes.size() + wire::kFrameHeaderBytes;
  if (!isOpen_ || backlogBytes_ + size > aMaxBacklog)
    return false;
  const bool isIdle = backlog_.empty();
  backlogBytes_ += size;
  backlog_.push_back(wire::MakeFrame(aBytes));
  if (isIdle)
    WriteNext();
  return true;
}

void
FrameStream::WriteNext()
{
  auto self = shared_from_this();
  asio::async_write(socket_,
                    asio::buffer(backlog_.front()),
                    [self](error_code aError, std::size_t) {
                      if (aError || !self->isOpen_) {
                        self->End();
                        return;
                      }
                      self->backlogBytes_ -= self->backlog_.front().size();
                      self->backlog_.pop_front();
                      if (!self->backlog_.empty())
                        self->WriteNext();
                    });
}

void
FrameStream::Close()
{
  isOpen_ = false;
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  onEnd_ = nullptr;
}

void
FrameStream::End()
{
  if (!isOpen_)
    return;
  const OnEnd onEnd = std::move(onEnd_);
  Close();
  if (onEnd)
    onEnd();
}
