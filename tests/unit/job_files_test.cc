// Job files: one configuration from many files, with checks across them.
#include "adapters/job_files.h"

#include <criterion/criterion.h>

#include "adapters/config_codec.h"
#include "unit/temporary_folder.h"

namespace {

using std::chrono::milliseconds;
using zinniamux::adapters::CollectConfig;
using zinniamux::adapters::CollectedConfig;
using zinniamux::adapters::ComposeConfig;
using zinniamux::tests::TemporaryFolder;

constexpr const char* kTeams = R"(version: 1
teams:
  orders: {weight: 2, max_queued_tasks: 100}
  desk: {}
policy: {placement: round_robin, result_hold_ms: 20}
)";

zinniamux::core::Result<CollectedConfig> Collect(const TemporaryFolder& folder) {
  const std::vector<std::string> folders{folder.path()};
  return CollectConfig(folders);
}

void AssertReports(const std::string& message, const std::string& part) {
  cr_assert(message.find(part) != std::string::npos, "\"%s\" not found in:\n%s", part.c_str(),
            message.c_str());
}

}  // namespace

// Guards against job files that are overlooked, fields that are lost, and bytes that depend on the
// order in which files are found.
Test(job_files, collects_all_files_below_a_folder) {
  const TemporaryFolder folder("job_files");
  folder.Write("teams.zinniamux.yaml", kTeams);
  folder.Write("b/stock.zinniamux.yaml",
               "version: 1\nteam: orders\njobs:\n  stock: {run_ms: 80, memory_mb: 64}\n");
  folder.Write("a/desk/hold.zinniamux.yaml",
               "version: 1\nteam: desk\njobs:\n  hold: {idempotent: false, time_limit_ms: 900}\n");
  folder.Write("a/.git/old.zinniamux.yaml", "not a job file");
  folder.Write("a/notes.yaml", "not a job file");
  const auto collected = Collect(folder);
  cr_assert(collected.has_value());
  cr_assert_eq(collected->files.size(), 3U);
  const auto& config = collected->config;
  cr_assert(config.jobs.at("stock").team == "orders");
  cr_assert(config.jobs.at("stock").run_time == milliseconds(80));
  cr_assert(!config.jobs.at("hold").idempotent);
  cr_assert_eq(config.teams.at("orders").max_queued_tasks, 100U);
  cr_assert(config.policy.result_hold == milliseconds(20));
  const std::vector<std::string> overlapping{folder.path() + "/b", folder.path()};
  cr_assert(ComposeConfig(CollectConfig(overlapping)->config) == ComposeConfig(config));
}

// Guards against a configuration in which one file silently overrides or misses another.
Test(job_files, reports_contradictions_between_files) {
  const TemporaryFolder folder("job_files_conflict");
  folder.Write("teams.zinniamux.yaml", kTeams);
  folder.Write("a.zinniamux.yaml", "version: 1\nteam: orders\njobs:\n  stock: {}\n");
  folder.Write("b.zinniamux.yaml", "version: 1\nteam: ordres\njobs:\n  price: {}\n  stock: {}\n");
  folder.Write("c.zinniamux.yaml",
               "version: 1\nteam: desk\njobs:\n  slow:\n    run_ms: 9000000\n    retries: 2\n");
  const std::string message = Collect(folder).error().message;
  AssertReports(message, "b.zinniamux.yaml:2: team: saw \"ordres\"; allowed: a team of");
  AssertReports(message,
                "b.zinniamux.yaml:5: jobs.stock: saw the job name a second time (first in");
  AssertReports(message, "a.zinniamux.yaml:4)");
  AssertReports(message, "c.zinniamux.yaml:5: jobs.slow.run_ms: saw 9000000; allowed: a whole");
  AssertReports(message, "c.zinniamux.yaml:6: jobs.slow.retries: saw an unknown field");
}

// Guards against publishing without teams, or with two different policies.
Test(job_files, requires_exactly_one_team_file) {
  const TemporaryFolder folder("job_files_teams");
  folder.Write("a.zinniamux.yaml", "version: 1\nteam: orders\njobs:\n  stock: {}\n");
  AssertReports(Collect(folder).error().message,
                "teams.zinniamux.yaml: saw none; allowed: exactly");
  folder.Write("x/teams.zinniamux.yaml", kTeams);
  folder.Write("y/teams.zinniamux.yaml", kTeams);
  AssertReports(Collect(folder).error().message, "y/teams.zinniamux.yaml; allowed: exactly one");
  const std::vector<std::string> missing{folder.path() + "/none"};
  AssertReports(CollectConfig(missing).error().message, "/none: cannot be read");
}
