// Asynchronous reading and writing of frames.
#include "link/frame_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>

namespace zinniamux::link {
namespace {

using asio::detail::socket_option::integer;

std::size_t DecodeLength(const std::array<unsigned char, 4>& header) {
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
  // Errors are ignored: without these options the connection still works, and missing heartbeats
  // reveal a silent peer.
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
                     if (error) return self->CloseWithError(error.message());
                     self->ReadBody(DecodeLength(self->header_));
                   });
}

void FrameConnection::ReadBody(std::size_t size) {
  if (size > options_.max_frame_bytes) {
    return CloseWithError("frame of " + std::to_string(size) + " bytes exceeds the limit");
  }
  frame_bytes_ = size;
  body_.clear();
  ReadPiece();
}

void FrameConnection::ReadPiece() {
  const std::size_t received = body_.size();
  body_.resize(std::min(frame_bytes_, std::max(kFirstPieceBytes, 2 * received)));
  asio::async_read(socket_, asio::buffer(body_) + received,
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (self->closed_) return;
                     if (error) return self->CloseWithError(error.message());
                     self->OnPiece();
                   });
}

void FrameConnection::OnPiece() {
  if (body_.size() < frame_bytes_) {
    if (handlers_.on_part) handlers_.on_part(body_.capacity());
    if (!closed_) ReadPiece();
    return;
  }
  handlers_.on_frame(body_);
  if (closed_) return;
  if (body_.capacity() > kKeptBytes) std::string().swap(body_);
  ReadHeader();
}

void FrameConnection::Send(std::string_view frame) {
  if (closed_) return;
  if (queued_.size() + frame.size() > options_.max_queued_bytes) {
    return CloseWithError("too many bytes queued for the peer");
  }
  const std::size_t size = frame.size();
  for (int shift = 24; shift >= 0; shift -= 8) {
    queued_.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU));
  }
  queued_.append(frame);
  if (writing_.empty()) WriteQueued();
}

void FrameConnection::WriteQueued() {
  writing_.swap(queued_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->writing_.clear();
                      if (self->writing_.capacity() > kKeptBytes) self->writing_.shrink_to_fit();
                      if (self->closed_) return;
                      if (error) return self->CloseWithError(error.message());
                      if (!self->queued_.empty()) self->WriteQueued();
                    });
}

void FrameConnection::Close() {
  if (closed_) return;
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  // Handlers may own the owner of this connection, so they are released to break the cycle. One of
  // them may be running, so this happens in a later event.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
}

void FrameConnection::CloseWithError(const std::string& reason) {
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
