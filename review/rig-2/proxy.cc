// A proxy whose link can be cut silently.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

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

void CloseWithReset(int fd) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

}  // namespace

Proxy::Proxy(const std::string& ip, int port, std::string target_ip, int target_port)
    : target_ip_(std::move(target_ip)), target_port_(target_port) {
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

Proxy::~Proxy() {
  stopped_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) thread.join();
}

void Proxy::Accept() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (!stopped_) SleepMs(1);
      continue;
    }
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Proxy::Serve(int client) {
  while (cut_ && !stopped_) SleepMs(2);
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(target_ip_, target_port_);
  if (connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(server);
    CloseWithReset(client);
    return;
  }
  const int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  // The client has reset the connection in a cut: its reset is lost, and the server learns of it
  // from the answer to what it sends.
  bool client_is_gone = false;
  while (!stopped_) {
    pollfd ends[2] = {{.fd = client_is_gone ? -1 : client, .events = POLLIN, .revents = 0},
                      {.fd = server, .events = POLLIN, .revents = 0}};
    const bool was_cut = cut_;
    if (was_cut) {
      ends[0].events = 0;
      ends[1].fd = -1;
    }
    if (poll(ends, 2, 2) < 0) break;
    if (was_cut) {
      if ((ends[0].revents & (POLLERR | POLLHUP)) != 0) client_is_gone = true;
      // Poll returns at once for an end that is gone.
      SleepMs(1);
      continue;
    }
    bool ended = false;
    for (int i = 0; i < 2 && !ended; ++i) {
      if (ends[i].revents == 0) continue;
      char bytes[65536];
      const ssize_t received = recv(i == 0 ? client : server, bytes, sizeof(bytes), 0);
      const int other = i == 0 ? server : client;
      ended = received <= 0 || (i == 1 && client_is_gone) ||
              send(other, bytes, static_cast<std::size_t>(received), MSG_NOSIGNAL) != received;
    }
    if (ended) break;
  }
  if (client_is_gone) {
    CloseWithReset(server);
  } else {
    close(server);
  }
  close(client);
}

}  // namespace rig
