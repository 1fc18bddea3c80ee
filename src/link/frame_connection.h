// A TCP connection that carries frames: four bytes of length, big endian, and a message.
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

// Frames that are sent while a write is under way leave together. All calls and callbacks are on
// the loop of the socket. Created with std::make_shared.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Options {
    // A frame beyond this is a fault of the sender.
    std::size_t max_frame_bytes = 4U << 20U;
    // A peer that does not take this much is as good as gone.
    std::size_t max_queued_bytes = 8U << 20U;
    // The kernel gives up a connection whose bytes were not acknowledged for this long.
    std::chrono::milliseconds user_timeout{3000};
  };
  struct Handlers {
    std::function<void(std::string_view frame)> on_frame;
    // Called once, unless Close was called.
    std::function<void(const std::string& reason)> on_closed;
  };

  FrameConnection(asio::ip::tcp::socket socket, const Options& options);
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Start(Handlers handlers);
  void Send(std::string_view frame);
  // No handler is called afterwards.
  void Close();
  std::string peer_address() const;

 private:
  static constexpr std::size_t kHeaderBytes = 4;

  void SetSocketOptions();
  void ReadHeader();
  void ReadBody(std::size_t size);
  void Write();
  void Fail(const std::string& reason);

  asio::ip::tcp::socket socket_;
  const Options options_;
  Handlers handlers_;
  std::array<unsigned char, kHeaderBytes> header_{};
  std::string body_;
  // Frames that wait, and those that are being written.
  std::string waiting_;
  std::string writing_;
  bool closed_ = false;
};

}  // namespace zinniamux::link

#endif  // ZINNIAMUX_LINK_FRAME_CONNECTION_H_
