// A TCP connection that carries frames: a length of four bytes, big endian, and a message.
#ifndef ZINNIAMUX_LINK_FRAME_CONNECTION_H_
#define ZINNIAMUX_LINK_FRAME_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace zinniamux::link {

// Frames that are sent during a write are batched into the next one. All calls and callbacks run on
// the socket's event loop. Created with std::make_shared.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  // A frame is read in pieces, so that an announced length alone takes no memory. Most frames are
  // one piece.
  static constexpr std::size_t kFirstPieceBytes = 4096;
  // What a longer frame took is released after it.
  static constexpr std::size_t kKeptBytes = 65'536;

  struct Options {
    // A longer frame is a protocol error and closes the connection.
    std::size_t max_frame_bytes = 4U << 20U;
    // The connection is closed when more than this waits to be written: the peer does not read.
    std::size_t max_queued_bytes = 8U << 20U;
    // TCP_USER_TIMEOUT: the kernel closes a connection whose data is unacknowledged for this long.
    std::chrono::milliseconds user_timeout{3000};
  };
  struct Handlers {
    std::function<void(std::string_view frame)> on_frame;
    // Part of a long frame has arrived and takes this much memory; optional.
    std::function<void(std::size_t held_bytes)> on_part;
    // Called once when the connection fails, but not after Close.
    std::function<void(const std::string& reason)> on_closed;
  };

  FrameConnection(asio::ip::tcp::socket socket, const Options& options);
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Start(Handlers handlers);
  void Send(std::string_view frame);
  // Of frames that are not handed to the system completely.
  std::size_t unsent_bytes() const { return queued_.size() + writing_.size(); }
  // No handler is called afterwards.
  void Close();
  std::string peer_address() const;

 private:
  static constexpr std::size_t kHeaderBytes = 4;
  void SetSocketOptions();
  void ReadHeader();
  void ReadBody(std::size_t size);
  // Reads as much again as has arrived of the frame.
  void ReadPiece();
  void OnPiece();
  void WriteQueued();
  void CloseWithError(const std::string& reason);

  asio::ip::tcp::socket socket_;
  const Options options_;
  Handlers handlers_;
  std::array<unsigned char, kHeaderBytes> header_{};
  // The frame, as far as it has arrived, and its length.
  std::string body_;
  std::size_t frame_bytes_ = 0;
  // Encoded frames that wait for the next write, and those of the current write.
  std::string queued_;
  std::string writing_;
  bool closed_ = false;
};

}  // namespace zinniamux::link

#endif  // ZINNIAMUX_LINK_FRAME_CONNECTION_H_
