// Sockets and message framing.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <stdexcept>

namespace zinniamux::review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kBufferBytes = 16'384;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SendSmallMessagesAtOnce(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// Reads more bytes into `buffer`. Returns what recv returns, or -2 at the deadline.
long ReadMore(int socket, std::string& buffer, Clock::time_point deadline) {
  const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
  pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) == 0) return -2;
  std::string chunk(kBufferBytes, '\0');
  const long count = recv(socket, chunk.data(), chunk.size(), 0);
  if (count > 0) buffer.append(chunk, 0, static_cast<std::size_t>(count));
  return count;
}

// Parses "Name: value" lines between `begin` and the empty line.
std::map<std::string, std::string> ParseHeaders(const std::string& head, std::size_t begin) {
  std::map<std::string, std::string> headers;
  while (begin < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      headers[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    begin = end + 2;
  }
  return headers;
}

// Reads one message with a Content-Length. `first` is its first line.
long ReadMessage(int socket, std::string& buffer, Clock::time_point deadline, std::string& first,
                 std::map<std::string, std::string>& headers, std::string& body) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const long count = ReadMore(socket, buffer, deadline);
    if (count <= 0) return count;
  }
  const std::string head = buffer.substr(0, end);
  const std::size_t line_end = std::min(head.find("\r\n"), head.size());
  first = head.substr(0, line_end);
  headers = ParseHeaders(head, line_end + 2);
  const auto length = headers.find("content-length");
  const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < end + 4 + size) {
    const long count = ReadMore(socket, buffer, deadline);
    if (count <= 0) return count;
  }
  body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return 1;
}

std::string PercentDecode(const std::string& text) {
  constexpr int kHex = 16;
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHex)));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

}  // namespace

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t question = target.find('?');
  if (question == std::string::npos) return "";
  const std::string query = '&' + target.substr(question + 1);
  const std::size_t found = query.find('&' + name + '=');
  if (found == std::string::npos) return "";
  const std::size_t begin = found + name.size() + 2;
  return PercentDecode(query.substr(begin, query.find('&', begin) - begin));
}

HttpServer::HttpServer(std::uint16_t port, Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int each : sockets_) shutdown(each, SHUT_RDWR);
  }
  for (std::thread& each : connections_) each.join();
}

void HttpServer::Accept() {
  while (!stopping_) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    SendSmallMessagesAtOnce(accepted);
    const std::lock_guard lock(mutex_);
    sockets_.insert(accepted);
    connections_.emplace_back([this, accepted] { Serve(accepted); });
  }
}

void HttpServer::Serve(int socket) {
  std::string buffer;
  while (!stopping_) {
    std::string first;
    HttpRequest request;
    const auto deadline = Clock::now() + std::chrono::hours(1);
    if (ReadMessage(socket, buffer, deadline, first, request.headers, request.body) <= 0) break;
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    const HttpResponse response = handler_(request);
    if (response.reset) {
      const linger at_once{.l_onoff = 1, .l_linger = 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    if (stopping_ || response.status == 0) break;
    const bool sent =
        WriteAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " \r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    if (!sent) break;
  }
  const std::lock_guard lock(mutex_);
  sockets_.erase(socket);
  close(socket);
}

std::string Encode(const Call& call) {
  std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : call.headers) text.append(name + ": " + value + "\r\n");
  text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) +
          "\r\n\r\n" + call.body;
  return text;
}

int ConnectTo(std::uint16_t port) {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(result, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(result);
    return -1;
  }
  SendSmallMessagesAtOnce(result);
  return result;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const long count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

CallResult SendCall(const Call& call) {
  const auto deadline = Clock::now() + call.timeout;
  const int socket = ConnectTo(call.port);
  if (socket < 0) return {};
  CallResult result{.end = CallEnd::kBroken};
  std::string buffer;
  std::string first;
  std::map<std::string, std::string> headers;
  if (WriteAll(socket, Encode(call))) {
    const long count = ReadMessage(socket, buffer, deadline, first, headers, result.body);
    if (count == -2) result.end = CallEnd::kTimeout;
    if (count > 0) {
      result.end = CallEnd::kAnswered;
      result.status = std::stoi(first.substr(first.find(' ') + 1));
    }
  }
  close(socket);
  return result;
}

std::vector<std::uint16_t> FreePorts(std::size_t count) {
  // Below the range from which connections get their own ports. Processes that run at the same time
  // begin at different ones.
  constexpr int kFirst = 12'000;
  constexpr int kLast = 31'000;
  constexpr int kBlock = 64;
  static std::atomic<int> next{kFirst + (getpid() * kBlock) % (kLast - kFirst)};
  std::vector<std::uint16_t> ports;
  for (int tries = 0; ports.size() < count && tries < kLast - kFirst; ++tries) {
    const int port = next++;
    if (port >= kLast) next = kFirst;
    const int candidate = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(static_cast<std::uint16_t>(port));
    const bool is_free =
        bind(candidate, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(candidate);
    if (is_free) ports.push_back(static_cast<std::uint16_t>(port));
  }
  if (ports.size() < count) throw std::runtime_error("no free ports");
  return ports;
}

}  // namespace zinniamux::review
