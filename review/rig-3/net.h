// Small HTTP/1.1 server, client and TCP link for the cases, all on one event loop.
#ifndef REVIEW_RIG_3_NET_H_
#define REVIEW_RIG_3_NET_H_

#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rig {

using Tcp = asio::ip::tcp;
using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime Now() { return std::chrono::steady_clock::now(); }

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  Tcp::endpoint endpoint() const { return {asio::ip::make_address(ip), port}; }
};

struct Request {
  std::string method;
  // Without the query.
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

// Parses one message from the front of `buffer`; removes it and returns true once it is complete.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  static bool Take(std::string& buffer, Message& message);
};

// Requests of one connection are handled one after the other.
class HttpServer {
 public:
  using Responder = std::function<void(Response)>;
  using Handler = std::function<void(Request, Responder)>;

  HttpServer(asio::io_context& loop, const Address& address, Handler handler);
  // Closes the listener and resets all connections.
  void Stop();

 private:
  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::string input;
    std::array<char, 16384> piece{};
  };
  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void HandleNext(const std::shared_ptr<Connection>& connection);

  Tcp::acceptor acceptor_;
  const Handler handler_;
  std::set<std::shared_ptr<Connection>> connections_;
  // Callbacks that come after the destruction see that it is gone.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// One open connection to a server. Sends one request at a time.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  // `status` is 0 if the channel ended without a complete answer, or the time was over.
  using Callback = std::function<void(int status, std::string body)>;

  explicit Channel(asio::io_context& loop) : socket_(loop), timer_(loop) {}
  void Open(const Address& target);
  bool usable() const { return open_ && !busy_; }
  // Without an answer within the timeout, the channel is closed (not reset).
  void Send(const std::string& method, const std::string& path,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body, Milliseconds timeout, Callback callback);
  void Close();

 private:
  void Read();
  void Finish(int status, std::string body);

  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::string input_;
  std::array<char, 16384> piece_{};
  std::string output_;
  Callback callback_;
  bool open_ = false;
  bool connected_ = false;
  bool busy_ = false;
};

// Sends one request on a channel of its own.
void Call(asio::io_context& loop, const Address& target, const std::string& method,
          const std::string& path, const std::vector<std::pair<std::string, std::string>>& headers,
          const std::string& body, Milliseconds timeout, Channel::Callback callback);

// A network path: forwards connections from `listen` to `target`. While the path is cut, what is
// sent waits; it arrives when TCP sends it again after the cut: 0.2, 0.6, 1.4, 3.0, 6.2 s after the
// first sending. The end of a channel arrives after the bytes that were sent before it. A reset
// drops the bytes that are held up.
class Link {
 public:
  Link(asio::io_context& loop, const Address& listen, const Address& target);
  void SetCut(bool cut) { forward_cut_ = backward_cut_ = cut; }
  // Only what the connecting side sends.
  void SetForwardCut(bool cut) { forward_cut_ = cut; }
  // While set, open connections are reset and new ones refused.
  void SetRefused(bool refused);

 private:
  struct Piece {
    std::string bytes;
    bool end = false;
    SteadyTime due;
    // Sendings so far that were lost.
    int losses = 0;
  };
  struct Direction {
    std::deque<Piece> waiting;
    std::array<char, 16384> buffer{};
    std::unique_ptr<asio::steady_timer> timer;
    std::string writing;
    bool is_writing = false;
  };
  struct Pair {
    Pair(asio::io_context& loop, Tcp::socket accepted)
        : client(std::move(accepted)), server(loop), connect_timer(loop) {}
    Tcp::socket client;
    Tcp::socket server;
    asio::steady_timer connect_timer;
    int connect_losses = 0;
    Direction forward;
    Direction backward;
    bool closed = false;
  };
  void Listen();
  void Accept();
  void Connect(const std::shared_ptr<Pair>& pair);
  void Read(const std::shared_ptr<Pair>& pair, bool forward);
  void Deliver(const std::shared_ptr<Pair>& pair, bool forward);
  static void Reset(const std::shared_ptr<Pair>& pair);

  asio::io_context& loop_;
  const Address listen_;
  const Address target_;
  Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Pair>> pairs_;
  bool forward_cut_ = false;
  bool backward_cut_ = false;
};

}  // namespace rig

#endif  // REVIEW_RIG_3_NET_H_
