// Accepts, reads once and closes with a reset.
#include "reset_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

#include "http.h"

namespace zinniamux::review {

ResetProxy::ResetProxy() : port_(FreePorts(1).front()) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, 4) != 0) {
    throw std::runtime_error("cannot listen on port " + std::to_string(port_));
  }
  thread_ = std::thread([this] { Run(); });
}

ResetProxy::~ResetProxy() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

void ResetProxy::Run() const {
  while (!stopping_) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    std::array<char, 1024> bytes{};
    const bool has_bytes = recv(accepted, bytes.data(), bytes.size(), 0) > 0;
    const linger at_once{.l_onoff = has_bytes ? 1 : 0, .l_linger = 0};
    setsockopt(accepted, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(accepted);
  }
}

}  // namespace zinniamux::review
