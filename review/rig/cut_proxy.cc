// One thread for each connection copies both ways.
#include "cut_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <string>

#include "http.h"

namespace zinniamux::review {
namespace {

constexpr int kStepMs = 2;
constexpr std::size_t kBufferBytes = 65'536;

void Reset(int socket) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(socket);
}

bool IsReadable(int socket) {
  pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
  return poll(&waiting, 1, 0) > 0;
}

// Copies what is there. False at the end of the stream.
bool Copy(int from, int to) {
  std::string buffer(kBufferBytes, '\0');
  const long count = recv(from, buffer.data(), buffer.size(), 0);
  if (count <= 0) return false;
  buffer.resize(static_cast<std::size_t>(count));
  return WriteAll(to, buffer);
}

}  // namespace

CutProxy::CutProxy(std::uint16_t port, std::uint16_t target) : target_(target) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  }
  acceptor_ = std::thread([this] { Accept(); });
}

CutProxy::~CutProxy() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (std::thread& each : connections_) each.join();
}

void CutProxy::Accept() {
  while (!stopping_) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) continue;
    connections_.emplace_back([this, client] { Serve(client); });
  }
}

void CutProxy::Serve(int client) {
  const int resets = resets_;
  while (cut_ && !stopping_) std::this_thread::sleep_for(milliseconds(kStepMs));
  const int server = ConnectTo(target_);
  if (server < 0) return Reset(client);
  while (!stopping_) {
    std::array<pollfd, 2> waiting{
        {{.fd = client, .events = POLLIN, .revents = 0}, {.fd = server, .events = POLLIN}}};
    poll(waiting.data(), waiting.size(), kStepMs);
    if (resets_ > resets) {
      Reset(client);
      // The server's end hears of it when it sends something after the cut.
      while (!stopping_ && (cut_ || !IsReadable(server))) {
        std::this_thread::sleep_for(milliseconds(kStepMs));
      }
      return Reset(server);
    }
    if (cut_) {
      std::this_thread::sleep_for(milliseconds(kStepMs));
      continue;
    }
    if (IsReadable(client) && !Copy(client, server)) break;
    if (IsReadable(server) && !Copy(server, client)) break;
  }
  close(client);
  close(server);
}

}  // namespace zinniamux::review
