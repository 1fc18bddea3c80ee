// A server that resets each connection once something has arrived.
#ifndef ZINNIAMUX_REVIEW_RIG_RESET_PROXY_H_
#define ZINNIAMUX_REVIEW_RIG_RESET_PROXY_H_

#include <atomic>
#include <cstdint>
#include <thread>

namespace zinniamux::review {

class ResetProxy {
 public:
  ResetProxy();
  ~ResetProxy();
  ResetProxy(const ResetProxy&) = delete;
  ResetProxy& operator=(const ResetProxy&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  void Run() const;

  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace zinniamux::review

#endif  // ZINNIAMUX_REVIEW_RIG_RESET_PROXY_H_
