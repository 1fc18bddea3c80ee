// A TCP socket that discards what it has received once the connection was reset.
#ifndef ZINNIAMUX_ADAPTERS_RESET_AWARE_SOCKET_H_
#define ZINNIAMUX_ADAPTERS_RESET_AWARE_SOCKET_H_

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <utility>

namespace zinniamux::adapters {

// The kernel hands out data that arrived before a reset, and reports the reset with the next read.
// A client whose connection was reset may send its request again elsewhere, so a process that reads
// the first copy later must not handle it. A client that only stops sending may still read, so its
// requests are handed out; client_closed() tells them apart.
class ResetAwareSocket : public asio::ip::tcp::socket {
 public:
  using asio::ip::tcp::socket::socket;

  // The client sends nothing after what was read.
  bool client_closed() const { return client_closed_; }

  // As the base's, but reads all that has arrived, and fails if the connection was reset.
  template <typename Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) {
    const auto executor = asio::get_associated_executor(handler, get_executor());
    asio::ip::tcp::socket::async_read_some(
        buffer,
        asio::bind_executor(executor, [this, buffer, handler = std::forward<Handler>(handler)](
                                          asio::error_code error, std::size_t length) {
          if (!error) length += ReadRest(buffer + length, error);
          handler(error, length);
        }));
  }

 private:
  // Reads until nothing is left or the buffer is full, and notes the end of what the client sends.
  // Sets `error` if the connection was reset.
  std::size_t ReadRest(asio::mutable_buffer buffer, asio::error_code& error) {
    std::size_t total = 0;
    // For read_some; asynchronous reads wait all the same.
    if (!non_blocking()) non_blocking(true, error);
    while (!error && buffer.size() > 0) {
      const std::size_t length = read_some(buffer, error);
      total += length;
      buffer += length;
    }
    // The end may follow what has filled the buffer.
    char next = 0;
    if (!error) receive(asio::buffer(&next, 1), message_peek, error);
    client_closed_ = error == asio::error::eof;
    if (error == asio::error::would_block || error == asio::error::eof) error.clear();
    return total;
  }

  bool client_closed_ = false;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_RESET_AWARE_SOCKET_H_
