// A TCP socket that reports what it reads and writes to its connection's ConnectionInput.
#ifndef ZINNIAMUX_ADAPTERS_GUARDED_SOCKET_H_
#define ZINNIAMUX_ADAPTERS_GUARDED_SOCKET_H_

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <utility>

#include "adapters/input_guard.h"
#include "adapters/reset_aware_socket.h"

namespace zinniamux::adapters {

// The server accepts a connection and starts its first read in one call, so that the socket finds
// the input that was opened for it here. Null for a connection without limits.
inline thread_local std::shared_ptr<ConnectionInput> accepted_input;

// RESTinio closes a connection when a read or write fails, so a dropped connection reports an error
// to the next one.
class GuardedSocket : public ResetAwareSocket {
 public:
  using ResetAwareSocket::ResetAwareSocket;

  template <typename Handler>
  void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler) {
    if (accepted_input != nullptr) {
      input_ = std::exchange(accepted_input, nullptr);
      input_->Attach(*this);
    }
    const auto executor = asio::get_associated_executor(handler, get_executor());
    ResetAwareSocket::async_read_some(
        buffer, asio::bind_executor(
                    executor, [this, input = input_, handler = std::forward<Handler>(handler)](
                                  asio::error_code error, std::size_t length) {
                      if (input == nullptr) return handler(error, length);
                      if (input->dropped()) error = asio::error::connection_aborted;
                      if (client_closed()) input->OnClientClosed();
                      const InputScope scope(*input);
                      if (!error) input->OnRead(length);
                      handler(error, length);
                      input->OnParsed();
                    }));
    if (input_ != nullptr && input_->dropped()) {
      asio::error_code ignored;
      cancel(ignored);
    }
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    if (input_ != nullptr) input_->OnWriting(asio::buffer_size(buffers));
    const auto executor = asio::get_associated_executor(handler, get_executor());
    ResetAwareSocket::async_write_some(
        buffers,
        asio::bind_executor(executor, [input = input_, handler = std::forward<Handler>(handler)](
                                          asio::error_code error, std::size_t length) mutable {
          if (input == nullptr) return handler(error, length);
          if (input->dropped()) error = asio::error::connection_aborted;
          input->OnWritten();
          const InputScope scope(*input);
          handler(error, length);
          // The next request may have arrived with the last one.
          input->OnParsed();
        }));
  }

 private:
  std::shared_ptr<ConnectionInput> input_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_GUARDED_SOCKET_H_
