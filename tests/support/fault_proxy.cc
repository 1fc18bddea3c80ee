// Asio implementation of the fault-injecting proxy.
#include "support/fault_proxy.h"

#include <array>
#include <asio.hpp>
#include <deque>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace zinniamux::testing {
namespace {

using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kBufferBytes = 65536;

// The thread that runs every proxy of the process.
class ProxyThread {
 public:
  static asio::io_context& Context() {
    static ProxyThread instance;
    return instance.context_;
  }

 private:
  ProxyThread() : work_(asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}
  ~ProxyThread() {
    context_.stop();
    thread_.join();
  }

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

void CloseWithReset(tcp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// One proxied connection. Used on the proxy thread only.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket client, std::chrono::microseconds delay)
      : client_(std::move(client)),
        server_(client_.get_executor()),
        upstream_timer_(client_.get_executor()),
        downstream_timer_(client_.get_executor()),
        delay_(delay) {}

  void Start(std::uint16_t target_port, bool silent) {
    silent_ = silent;
    if (silent) return;
    server_.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), target_port),
        [self = shared_from_this()](const asio::error_code& error) {
          if (error) {
            CloseWithReset(self->client_);
            return;
          }
          asio::error_code ignored;
          self->server_.set_option(tcp::no_delay(true), ignored);
          self->client_.set_option(tcp::no_delay(true), ignored);
          self->Read(self->client_, self->server_, self->upstream_, self->upstream_timer_);
          self->Read(self->server_, self->client_, self->downstream_, self->downstream_timer_);
        });
  }

  // Invariant: a silent connection never forwards again and is closed only with its proxy.
  void Silence() { silent_ = true; }
  void ResetAtAnswer() { resets_at_answer_ = true; }
  bool closed() const { return !client_.is_open(); }
  void SetDelay(std::chrono::microseconds delay) { delay_ = delay; }

  void Reset() {
    CloseWithReset(client_);
    CloseWithReset(server_);
  }

 private:
  struct Chunk {
    SteadyTime due;
    std::string bytes;
  };
  struct Direction {
    std::array<char, kBufferBytes> buffer;
    std::deque<Chunk> chunks;
    bool writing = false;
    bool ended = false;
  };

  void Read(tcp::socket& from, tcp::socket& to, Direction& direction, asio::steady_timer& timer) {
    from.async_read_some(
        asio::buffer(direction.buffer), [this, self = shared_from_this(), &from, &to, &direction,
                                         &timer](const asio::error_code& error, std::size_t count) {
          if (silent_) return;
          if (resets_at_answer_ && &from == &server_) return Reset();
          if (error) {
            direction.ended = true;
            if (!direction.writing) ShutDown(to);
            return;
          }
          direction.chunks.push_back(
              {std::chrono::steady_clock::now() + delay_, {direction.buffer.data(), count}});
          if (!direction.writing) Write(to, direction, timer);
          Read(from, to, direction, timer);
        });
  }

  void Write(tcp::socket& to, Direction& direction, asio::steady_timer& timer) {
    if (direction.chunks.empty()) {
      direction.writing = false;
      if (direction.ended) ShutDown(to);
      return;
    }
    direction.writing = true;
    if (direction.chunks.front().due <= std::chrono::steady_clock::now()) {
      WriteFront(to, direction, timer);
      return;
    }
    timer.expires_at(direction.chunks.front().due);
    timer.async_wait(
        [this, self = shared_from_this(), &to, &direction, &timer](const asio::error_code& error) {
          if (!error && !silent_) WriteFront(to, direction, timer);
        });
  }

  void WriteFront(tcp::socket& to, Direction& direction, asio::steady_timer& timer) {
    asio::async_write(to, asio::buffer(direction.chunks.front().bytes),
                      [this, self = shared_from_this(), &to, &direction, &timer](
                          const asio::error_code& error, std::size_t /*count*/) {
                        if (silent_) return;
                        if (error) {
                          Reset();
                          return;
                        }
                        direction.chunks.pop_front();
                        Write(to, direction, timer);
                      });
  }

  void ShutDown(tcp::socket& to) {
    asio::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (!upstream_.ended || !downstream_.ended) return;
    client_.close(ignored);
    server_.close(ignored);
  }

  tcp::socket client_;
  tcp::socket server_;
  asio::steady_timer upstream_timer_;
  asio::steady_timer downstream_timer_;
  std::chrono::microseconds delay_;
  Direction upstream_;
  Direction downstream_;
  bool silent_ = false;
  bool resets_at_answer_ = false;
};

}  // namespace

class FaultProxy::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  explicit Implementation(const Options& options)
      : acceptor_(ProxyThread::Context(),
                  tcp::endpoint(asio::ip::address_v4::loopback(), options.listen_port)),
        port_(acceptor_.local_endpoint().port()),
        target_port_(options.target_port),
        delay_(options.delay) {}

  std::uint16_t port() const { return port_; }

  // Runs `change` on the proxy thread and waits for its end.
  template <typename Change>
  void Apply(Change change) {
    asio::post(acceptor_.get_executor(), asio::use_future([&] { change(*this); })).get();
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
          if (error) return;
          self->Take(std::move(socket));
          self->Accept();
        });
  }

  void SetDelay(std::chrono::microseconds delay) {
    delay_ = delay;
    for (const auto& connection : connections_) connection->SetDelay(delay);
  }

  void Silence() {
    for (const auto& connection : connections_) connection->Silence();
  }

  void ResetAtAnswer() {
    for (const auto& connection : connections_) connection->ResetAtAnswer();
  }

  void SetBlackhole(bool blackhole) {
    blackhole_ = blackhole;
    if (blackhole) Silence();
  }

  void Reset() {
    for (const auto& connection : connections_) connection->Reset();
    connections_.clear();
  }

  void SetRefuse(bool refuse) { refuse_ = refuse; }

  void Close() {
    acceptor_.close();
    Reset();
  }

 private:
  void Take(tcp::socket socket) {
    if (refuse_) {
      CloseWithReset(socket);
      return;
    }
    std::erase_if(connections_, [](const auto& connection) { return connection->closed(); });
    auto connection = std::make_shared<Connection>(std::move(socket), delay_);
    connections_.insert(connection);
    connection->Start(target_port_, blackhole_);
  }

  tcp::acceptor acceptor_;
  const std::uint16_t port_;
  const std::uint16_t target_port_;
  // Used on the proxy thread only.
  std::chrono::microseconds delay_;
  bool blackhole_ = false;
  bool refuse_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
};

FaultProxy::FaultProxy(const Options& options)
    : implementation_(std::make_shared<Implementation>(options)) {
  implementation_->Apply([](Implementation& proxy) { proxy.Accept(); });
}

FaultProxy::~FaultProxy() {
  implementation_->Apply([](Implementation& proxy) { proxy.Close(); });
}

std::uint16_t FaultProxy::port() const { return implementation_->port(); }

void FaultProxy::SetDelay(std::chrono::microseconds delay) {
  implementation_->Apply([delay](Implementation& proxy) { proxy.SetDelay(delay); });
}

void FaultProxy::SilenceOpenConnections() {
  implementation_->Apply([](Implementation& proxy) { proxy.Silence(); });
}

void FaultProxy::SetBlackhole(bool blackhole) {
  implementation_->Apply([blackhole](Implementation& proxy) { proxy.SetBlackhole(blackhole); });
}

void FaultProxy::ResetOpenConnectionsAtAnswer() {
  implementation_->Apply([](Implementation& proxy) { proxy.ResetAtAnswer(); });
}

void FaultProxy::ResetOpenConnections() {
  implementation_->Apply([](Implementation& proxy) { proxy.Reset(); });
}

void FaultProxy::SetRefuse(bool refuse) {
  implementation_->Apply([refuse](Implementation& proxy) { proxy.SetRefuse(refuse); });
}

}  // namespace zinniamux::testing
