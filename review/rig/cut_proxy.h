// A TCP proxy for one path to a server, which can be cut.
#ifndef ZINNIAMUX_REVIEW_RIG_CUT_PROXY_H_
#define ZINNIAMUX_REVIEW_RIG_CUT_PROXY_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace zinniamux::review {

// While the path is cut, nothing passes, and what is sent meanwhile passes afterwards.
class CutProxy {
 public:
  CutProxy(std::uint16_t port, std::uint16_t target);
  ~CutProxy();
  CutProxy(const CutProxy&) = delete;
  CutProxy& operator=(const CutProxy&) = delete;

  void set_cut(bool cut) { cut_ = cut; }
  // Resets the clients' ends of all connections. The resets do not reach the server: its ends stay
  // open until it sends something after the cut, which is answered with a reset.
  void ResetClients() { ++resets_; }

 private:
  void Accept();
  void Serve(int client);

  const std::uint16_t target_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> cut_{false};
  std::atomic<int> resets_{0};
  std::mutex mutex_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace zinniamux::review

#endif  // ZINNIAMUX_REVIEW_RIG_CUT_PROXY_H_
