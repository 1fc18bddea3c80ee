// Reading of the executors' record files: lines "start ID INDEX MS" and "end ID INDEX MS".
#include "support/start_records.h"

#include <fstream>
#include <set>
#include <sstream>

namespace zinniamux::testing {

StartRecords::StartRecords(const std::filesystem::path& directory) {
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() != ".starts") continue;
    std::set<std::string> submissions;
    std::ifstream file(entry.path());
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::string kind;
      std::string id;
      std::string index;
      if (!(words >> kind >> id >> index) || kind != "start") continue;
      ++starts_[{id, index}];
      ++by_submission_[id];
      submissions.insert(id);
    }
    job_agents_ += submissions.size();
  }
}

std::size_t StartRecords::StartsOf(const std::string& submission_id) const {
  const auto found = by_submission_.find(submission_id);
  return found == by_submission_.end() ? 0 : found->second;
}

std::size_t StartRecords::duplicate_starts() const {
  std::size_t duplicates = 0;
  for (const auto& [task, count] : starts_) duplicates += count - 1;
  return duplicates;
}

std::size_t StartRecords::total() const {
  std::size_t count = 0;
  for (const auto& [task, starts] : starts_) count += starts;
  return count;
}

}  // namespace zinniamux::testing
