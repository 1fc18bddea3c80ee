// What happens on one way through the model, for its timeline.
#ifndef ZINNIAMUX_MODEL_JOURNAL_H_
#define ZINNIAMUX_MODEL_JOURNAL_H_

#include <chrono>
#include <string>
#include <vector>

namespace zinniamux::model {

class Journal {
 public:
  struct Entry {
    std::chrono::milliseconds time{0};
    std::string text;
  };

  void set_time(std::chrono::milliseconds time) { time_ = time; }
  void Add(std::string text) { entries_.push_back({.time = time_, .text = std::move(text)}); }
  const std::vector<Entry>& entries() const { return entries_; }

 private:
  std::chrono::milliseconds time_{0};
  std::vector<Entry> entries_;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_JOURNAL_H_
