// A line on standard error for an operation that takes a while.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_PROGRESS_H_
#define ZINNIAMUX_ZINNIAMUXCTL_PROGRESS_H_

#include <chrono>
#include <string>

namespace zinniamux::ctl {

// Shows after one second what is waited for. On a terminal the line is updated and removed at the
// end; elsewhere it is printed once.
class Progress {
 public:
  explicit Progress(std::string text);
  ~Progress();
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

  // Called several times per second while the operation runs.
  void Update();

 private:
  const std::string text_;
  const bool terminal_;
  const std::chrono::steady_clock::time_point start_;
  std::chrono::seconds shown_{0};
};

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_PROGRESS_H_
