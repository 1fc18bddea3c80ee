// Blocking HTTP/1.1 over loopback, one thread for each connection: enough for small stand-ins.
#ifndef ZINNIAMUX_REVIEW_RIG_HTTP_H_
#define ZINNIAMUX_REVIEW_RIG_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace zinniamux::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct HttpRequest {
  std::string method;
  // With the query.
  std::string target;
  // Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpResponse {
  // 0 closes the connection without an answer, with a reset if `reset` is set.
  int status = 200;
  std::string body = "{}";
  bool reset = false;
};

// The value of a query parameter, percent-decoded.
std::string QueryValue(const std::string& target, const std::string& name);

// Calls the handler on the thread of the connection, for one request after the other.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(std::uint16_t port, Handler handler);
  // Closes all connections and waits for their threads.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  void Accept();
  void Serve(int socket);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

// How a call ended.
enum class CallEnd {
  kAnswered,
  // Reset or closed before the whole answer.
  kBroken,
  kNoConnection,
  kTimeout,
};

struct CallResult {
  CallEnd end = CallEnd::kNoConnection;
  int status = 0;
  std::string body;
};

struct Call {
  std::uint16_t port = 0;
  std::string method = "GET";
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  milliseconds timeout{1000};
};

// Sends one request on a connection of its own. Closes the connection at the timeout.
CallResult SendCall(const Call& call);

// Bytes of a request as they are sent.
std::string Encode(const Call& call);

// A connected socket, or -1.
int ConnectTo(std::uint16_t port);
// False if the connection broke.
bool WriteAll(int socket, const std::string& bytes);

// Ports that were free a moment ago.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace zinniamux::review

#endif  // ZINNIAMUX_REVIEW_RIG_HTTP_H_
