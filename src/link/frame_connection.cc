// Reading and writing of frames.
#include "link/frame_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>

namespace zinniamux::link {
namespace {

using asio::detail::socket_option::integer;

std::size_t LengthOf(const std::array<unsigned char, 4>& header) {
  std::size_t length = 0;
  for (const unsigned char byte : header) length = (length << 8U) | byte;
  return length;
}

}  // namespace

FrameConnection::FrameConnection(asio::ip::tcp::socket socket, const Options& options)
    : socket_(std::move(socket)), options_(options) {}

void FrameConnection::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  SetSocketOptions();
  ReadHeader();
}

void FrameConnection::SetSocketOptions() {
  // Without these options the connection still works; silence is noticed by missing heartbeats.
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(
      integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(options_.user_timeout.count())),
      ignored);
}

void FrameConnection::ReadHeader() {
  asio::async_read(socket_, asio::buffer(header_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (self->closed_) return;
                     if (error) return self->Fail(error.message());
                     self->ReadBody(LengthOf(self->header_));
                   });
}

void FrameConnection::ReadBody(std::size_t size) {
  if (size > options_.max_frame_bytes) return Fail("frame of " + std::to_string(size) + " bytes");
  body_.resize(size);
  asio::async_read(socket_, asio::buffer(body_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (self->closed_) return;
                     if (error) return self->Fail(error.message());
                     self->handlers_.on_frame(self->body_);
                     if (!self->closed_) self->ReadHeader();
                   });
}

void FrameConnection::Send(std::string_view frame) {
  if (closed_) return;
  if (waiting_.size() + frame.size() > options_.max_queued_bytes) {
    return Fail("the peer takes no more bytes");
  }
  const std::size_t size = frame.size();
  for (int shift = 24; shift >= 0; shift -= 8) {
    waiting_.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU));
  }
  waiting_.append(frame);
  if (writing_.empty()) Write();
}

void FrameConnection::Write() {
  writing_.swap(waiting_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->writing_.clear();
                      if (self->closed_) return;
                      if (error) return self->Fail(error.message());
                      if (!self->waiting_.empty()) self->Write();
                    });
}

void FrameConnection::Close() {
  if (closed_) return;
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  // Handlers may hold the owner of this connection. One of them may be running, so they are let go
  // of later.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
}

void FrameConnection::Fail(const std::string& reason) {
  if (closed_) return;
  Close();
  if (handlers_.on_closed) handlers_.on_closed(reason);
}

std::string FrameConnection::peer_address() const {
  asio::error_code error;
  const auto endpoint = socket_.remote_endpoint(error);
  if (error) return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace zinniamux::link
