// Blocking HTTP/1.1 over sockets.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "rig.h"

namespace rig {
namespace {

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads more into `buffer`; false at the end of the connection or of the time.
bool ReceiveMore(int fd, std::string& buffer, Ms until) {
  pollfd waiting{.fd = fd, .events = POLLIN, .revents = 0};
  const Ms left = std::max<Ms>(0, until - NowMs());
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
  char bytes[65536];
  const ssize_t received = recv(fd, bytes, sizeof(bytes), 0);
  if (received <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(received));
  return true;
}

// The first line, the headers and the body of the next message. Messages have a Content-Length.
bool ReceiveMessage(int fd, std::string& buffer, Ms until, std::string& first_line,
                    std::map<std::string, std::string>& headers, std::string& body) {
  std::size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReceiveMore(fd, buffer, until)) return false;
  }
  const std::string head = buffer.substr(0, head_end);
  buffer.erase(0, head_end + 4);
  std::size_t line_end = head.find("\r\n");
  first_line = head.substr(0, line_end);
  while (line_end != std::string::npos) {
    const std::size_t begin = line_end + 2;
    line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length =
      headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
  while (buffer.size() < length) {
    if (!ReceiveMore(fd, buffer, until)) return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

std::string Decode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      result += text[i] == '+' ? ' ' : text[i];
    }
  }
  return result;
}

void ParseTarget(const std::string& target, Request& request) {
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  std::size_t begin = mark == std::string::npos ? target.size() : mark + 1;
  while (begin < target.size()) {
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string item = target.substr(begin, end - begin);
    const std::size_t equals = item.find('=');
    const std::string value = equals == std::string::npos ? "" : item.substr(equals + 1);
    request.query[Decode(item.substr(0, equals))] = Decode(value);
    begin = end + 1;
  }
}

}  // namespace

HttpServer::HttpServer(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, 256) != 0) {
    close(listener_);
    throw CannotRun{"cannot listen on " + ip + ":" + std::to_string(port)};
  }
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

void HttpServer::Accept() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (stopped_) return;
      SleepMs(1);
      continue;
    }
    SetNoDelay(fd);
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void HttpServer::Serve(int fd) {
  std::string buffer;
  while (!stopped_) {
    Request request;
    std::string first_line;
    constexpr Ms kIdle = 600'000;
    if (!ReceiveMessage(fd, buffer, NowMs() + kIdle, first_line, request.headers, request.body)) {
      break;
    }
    const std::size_t first = first_line.find(' ');
    const std::size_t second = first_line.find(' ', first + 1);
    request.method = first_line.substr(0, first);
    ParseTarget(first_line.substr(first + 1, second - first - 1), request);
    const Response response = handler_(request);
    if (stopped_ || response.status == 0) break;
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                         " -\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  open_.erase(fd);
  close(fd);
}

Channel::Channel(const std::string& ip, int port) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd_);
    fd_ = -1;
    return;
  }
  SetNoDelay(fd_);
}

Channel::~Channel() {
  if (fd_ >= 0) close(fd_);
}

void Channel::Reset() {
  if (fd_ < 0) return;
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd_);
  fd_ = -1;
}

bool Channel::Send(const std::string& method, const std::string& path, const std::string& host,
                   const std::string& body, Ms deadline, const std::string& header) {
  if (fd_ < 0) return false;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (deadline > 0) text += "X-Deadline-Ms: " + std::to_string(deadline) + "\r\n";
  if (!header.empty()) text += header + "\r\n";
  if (!body.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return SendAll(fd_, text);
}

Response Channel::Receive(Ms limit) {
  if (fd_ < 0) return {.status = 0, .body = ""};
  std::string buffer;
  std::string first_line;
  std::map<std::string, std::string> headers;
  Response response;
  if (!ReceiveMessage(fd_, buffer, NowMs() + limit, first_line, headers, response.body)) {
    return {.status = 0, .body = ""};
  }
  response.status = std::atoi(first_line.c_str() + first_line.find(' ') + 1);
  return response;
}

Response Call(const std::string& ip, int port, const std::string& method, const std::string& path,
              const std::string& host, const std::string& body, Ms limit, Ms deadline) {
  Channel channel(ip, port);
  if (!channel.Send(method, path, host, body, deadline)) return {.status = 0, .body = ""};
  return channel.Receive(limit);
}

}  // namespace rig
