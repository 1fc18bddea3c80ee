// What the executors themselves recorded: the judge over starts.
#ifndef ZINNIAMUX_TESTS_SUPPORT_START_RECORDS_H_
#define ZINNIAMUX_TESTS_SUPPORT_START_RECORDS_H_

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <utility>

namespace zinniamux::testing {

// Counts of starts per task, read from the record files of all executors in a directory.
class StartRecords {
 public:
  // Reads every file named "*.starts".
  explicit StartRecords(const std::filesystem::path& directory);

  std::size_t StartsOf(const std::string& submission_id) const;
  // The number of starts beyond the first, over all tasks.
  std::size_t duplicate_starts() const;
  std::size_t total() const;
  // The number of pairs of a submission and an agent on which a task of it started.
  std::size_t job_agents() const { return job_agents_; }

 private:
  // Key: submission id and task index.
  std::map<std::pair<std::string, std::string>, std::size_t> starts_;
  std::map<std::string, std::size_t> by_submission_;
  std::size_t job_agents_ = 0;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_START_RECORDS_H_
