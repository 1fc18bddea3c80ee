// Lines with times, and the search for overlaps.
#include "record.h"

#include <algorithm>

namespace zinniamux::review {

Record::Record(const std::string& file) : file_(file) {}

void Record::Write(const std::string& line) {
  const std::chrono::duration<double, std::milli> time = Clock::now() - start_;
  char text[32];
  std::snprintf(text, sizeof(text), "%10.1f ms  ", time.count());
  file_ << text << line << '\n' << std::flush;
}

void Record::Note(const std::string& line) {
  const std::lock_guard lock(mutex_);
  Write(line);
}

std::size_t Record::RunBegan(const std::string& executor, const std::string& task,
                             std::uint32_t run) {
  const std::lock_guard lock(mutex_);
  Write("run begins: task " + task + " run " + std::to_string(run) + " on " + executor);
  runs_.push_back({.task = task, .run = run, .executor = executor, .began = Clock::now()});
  return runs_.size() - 1;
}

void Record::RunEnded(std::size_t number, const std::string& how) {
  const std::lock_guard lock(mutex_);
  RunRecord& run = runs_[number];
  run.ended = Clock::now();
  run.how = how;
  Write("run ends: task " + run.task + " run " + std::to_string(run.run) + " on " + run.executor +
        ", " + how);
}

std::vector<RunRecord> Record::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<Overlap> Record::Overlaps() {
  std::map<std::string, std::vector<RunRecord>> by_task;
  for (const RunRecord& run : Runs()) by_task[run.task].push_back(run);
  const auto now = Clock::now();
  std::vector<Overlap> overlaps;
  for (const auto& [task, runs] : by_task) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const auto begin = std::max(runs[i].began, runs[j].began);
        const auto end = std::min(runs[i].ended.value_or(now), runs[j].ended.value_or(now));
        if (end <= begin) continue;
        overlaps.push_back({.first = runs[i],
                            .second = runs[j],
                            .length = std::chrono::duration_cast<milliseconds>(end - begin)});
      }
    }
  }
  return overlaps;
}

}  // namespace zinniamux::review
