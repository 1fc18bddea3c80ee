// Search for job files, and checks within and across them.
#include "adapters/job_files.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <utility>

#include "adapters/checked_object.h"
#include "adapters/checked_yaml.h"
#include "adapters/config_rules.h"

namespace zinniamux::adapters {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

// Finds files; canonical paths keep a file that two folders share from being read twice.
class FileSearch {
 public:
  explicit FileSearch(ProblemList& problems) : problems_(problems) {}

  void Add(const std::string& start) {
    std::error_code error;
    if (fs::is_regular_file(start, error)) {
      AddFile(start);
      return;
    }
    fs::recursive_directory_iterator entry(start, error);
    for (; !error && entry != fs::recursive_directory_iterator(); entry.increment(error)) {
      const std::string name = entry->path().filename().string();
      std::error_code type_error;
      if (entry->is_directory(type_error)) {
        if (name.starts_with('.')) entry.disable_recursion_pending();
      } else if (name.ends_with(kJobFileSuffix)) {
        AddFile(entry->path());
      }
    }
    if (error) problems_.Add(fmt::format("{}: cannot be read: {}", start, error.message()));
  }

  // Paths as found, sorted.
  std::vector<std::string> files() const {
    std::vector<std::string> paths;
    for (const auto& [canonical, path] : files_) paths.push_back(path);
    std::sort(paths.begin(), paths.end());
    return paths;
  }

 private:
  void AddFile(const fs::path& path) {
    std::error_code error;
    const fs::path canonical = fs::canonical(path, error);
    if (error) {
      problems_.Add(fmt::format("{}: cannot be read: {}", path.string(), error.message()));
      return;
    }
    files_.emplace(canonical.string(), path.lexically_normal().string());
  }

  ProblemList& problems_;
  std::map<std::string, std::string> files_;
};

bool IsTeamFile(const std::string& path) { return fs::path(path).filename() == kTeamFileName; }

// Reads files one after the other into one configuration. The team file comes first.
class Collector {
 public:
  // Without `check_teams`, the jobs' teams may be unknown.
  Collector(ProblemList& problems, bool check_teams)
      : problems_(problems), check_teams_(check_teams) {}

  void ReadTeamFile(const std::string& path) {
    Read(path, [this](CheckedObject& root, const DocumentContext& context) {
      root.Members("teams",
                   [&](const std::string& name, const json& value, const std::string& member) {
                     CheckedObject object(value, member, context);
                     config_.teams[name] = ReadTeam(object);
                     object.Finish();
                   });
      if (std::optional<CheckedObject> policy = root.Object("policy")) {
        config_.policy = ReadPolicy(*policy);
        policy->Finish();
      }
    });
  }

  void ReadJobFile(const std::string& path) {
    Read(path, [this](CheckedObject& root, const DocumentContext& context) {
      const std::string team = root.Id("team");
      if (check_teams_ && !team.empty() && !config_.teams.contains(team)) {
        root.Reject("team", fmt::format("a team of {}", kTeamFileName));
      }
      root.Members("jobs",
                   [&](const std::string& name, const json& value, const std::string& member) {
                     AddJob(name, team, CheckedObject(value, member, context), context, member);
                   });
    });
  }

  core::DispatchConfig TakeConfig() { return std::move(config_); }

 private:
  template <typename Reader>
  void Read(const std::string& path, const Reader& read) {
    DocumentContext context{.problems = problems_};
    const std::size_t problems_before = problems_.size();
    const json document = LoadYamlFile(path, context);
    if (problems_.size() > problems_before) return;
    CheckedObject root(document, "", context);
    root.Integer("version", kFileFormatVersion, kFileFormatVersion);
    read(root, context);
    root.Finish();
  }

  void AddJob(const std::string& name, const std::string& team, CheckedObject object,
              const DocumentContext& context, const std::string& path) {
    core::JobConfig job = ReadJob(object);
    object.Finish();
    job.team = team;
    const std::string place = context.Place(path);
    const auto [first, is_new] = places_.emplace(name, place);
    if (!is_new) {
      problems_.Add(place, path,
                    fmt::format("the job name a second time (first in {})", first->second),
                    "each job name once in all files");
      return;
    }
    config_.jobs[name] = std::move(job);
  }

  ProblemList& problems_;
  const bool check_teams_;
  core::DispatchConfig config_;
  // Where each job was declared first.
  std::map<std::string, std::string> places_;
};

std::string TeamFilesSeen(const std::vector<std::string>& team_files) {
  if (team_files.empty()) return "none";
  return fmt::format("{}", fmt::join(team_files, ", "));
}

}  // namespace

core::Result<CollectedConfig> CollectConfig(std::span<const std::string> folders) {
  ProblemList problems;
  FileSearch search(problems);
  for (const std::string& folder : folders) search.Add(folder);
  CollectedConfig collected{.config = {}, .files = search.files()};
  const auto first_job_file =
      std::stable_partition(collected.files.begin(), collected.files.end(), IsTeamFile);
  const std::vector<std::string> team_files(collected.files.begin(), first_job_file);
  if (team_files.size() != 1) {
    problems.Add("", fmt::format("file {}", kTeamFileName), TeamFilesSeen(team_files),
                 "exactly one below the given folders");
  }
  // All files are read even so, to report what else is wrong with them.
  Collector collector(problems, /*check_teams=*/!team_files.empty());
  for (const std::string& file : team_files) collector.ReadTeamFile(file);
  for (auto file = first_job_file; file != collected.files.end(); ++file) {
    collector.ReadJobFile(*file);
  }
  collected.config = collector.TakeConfig();
  if (!problems.empty()) {
    return tl::unexpected(problems.ToError(core::ErrorKind::kInvalidRequest, "\n"));
  }
  std::sort(collected.files.begin(), collected.files.end());
  return collected;
}

}  // namespace zinniamux::adapters
