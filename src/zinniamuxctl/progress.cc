// Printing of progress.
#include "zinniamuxctl/progress.h"

#include <unistd.h>

#include <iostream>
#include <utility>

namespace zinniamux::ctl {
namespace {

// Returns to the start of the line and clears it.
constexpr const char* kClearLine = "\r\x1b[K";

}  // namespace

Progress::Progress(std::string text)
    : text_(std::move(text)),
      terminal_(isatty(STDERR_FILENO) == 1),
      start_(std::chrono::steady_clock::now()) {}

Progress::~Progress() {
  if (terminal_ && shown_.count() > 0) std::cerr << kClearLine << std::flush;
}

void Progress::Update() {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start_);
  if (elapsed <= shown_) return;
  const bool first = shown_.count() == 0;
  shown_ = elapsed;
  if (terminal_) {
    std::cerr << kClearLine << text_ << " (" << elapsed.count() << " s)" << std::flush;
  } else if (first) {
    std::cerr << text_ << " ...\n";
  }
}

}  // namespace zinniamux::ctl
