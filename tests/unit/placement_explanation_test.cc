// The dry run of a placement, its endpoint, and zinniamuxctl placement.
#include "core/placement_explanation.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "adapters/http_server.h"
#include "core/job_scheduler.h"
#include "support/port_block.h"
#include "zinniamuxctl/placement_command.h"
#include "zinniamuxd/placement_api.h"

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::adapters::HttpResponse;
using zinniamux::core::ExecutorReport;
using zinniamux::core::JobScheduler;
using zinniamux::core::ManualClock;
using zinniamux::core::QueueConfiguration;
using zinniamux::core::StartTasks;
using zinniamux::daemon::AnswerPlacement;

struct Cluster {
  Cluster() {
    clock.Advance(seconds(2));
    Attach("free", {.free = {.cpu_milli = 4000, .memory_mb = 10}, .pace = 1});
    Attach("other", {.free = {.cpu_milli = 4000, .memory_mb = 10}, .pace = 1}, "another");
    Attach("slow", {.free = {.cpu_milli = 4000, .memory_mb = 10}, .pace = 9});
    Attach("full", {.pace = 1, .release_rate = 1000, .lesser_release_rate = 1000});
  }

  void Attach(const std::string& id, ExecutorReport report, const std::string& service = "service",
              bool is_close = true) {
    report.executor_id = id;
    report.service = service;
    report.accepting = true;
    report.is_close = is_close;
    report.capacity = {.cpu_milli = 4000, .memory_mb = 10};
    report.executor_answered = true;
    scheduler.OnAgentAttached(id, "zone", 1, {});
    scheduler.OnReport(id, report);
  }

  HttpResponse Ask(const std::string& query) const {
    return AnswerPlacement(
        {.method = "GET", .path = "/v1/placement", .query = "queue=queue&estimate_ms=100&" + query},
        scheduler, &configuration, clock.now());
  }

  // The executors of the tasks ordered since the last call.
  std::vector<std::string> PlacedAt() {
    std::vector<std::string> executors;
    for (const auto& action : scheduler.TakeActions()) {
      const auto* start = std::get_if<StartTasks>(&action);
      if (start == nullptr) continue;
      executors.insert(executors.end(), start->starts.size(), start->agent_id);
    }
    return executors;
  }

  ManualClock clock;
  JobScheduler scheduler{{.availability_zone = "zone"}, clock};
  const QueueConfiguration configuration{
      .version = 1,
      .queues = {
          {.name = "queue", .service = "service", .stretch = 1.6, .slack = milliseconds(60)}}};
};

}  // namespace

// Guards against a wrong reason for an executor that is not used.
Test(placement_explanation, names_what_decides_at_each_executor) {
  const Cluster cluster;
  const json body = json::parse(cluster.Ask("tasks=3&cpu_milli=1000").body);
  cr_assert(body["decision"] == "starts");
  std::map<std::string, std::string> verdicts;
  for (const json& executor : body["executors"]) verdicts[executor["agent"]] = executor["verdict"];
  cr_assert_eq(verdicts["free"], "has_room");
  cr_assert_eq(verdicts["other"], "other_service");
  cr_assert_eq(verdicts["slow"], "slow");
  cr_assert_eq(verdicts["full"], "no_room");
  cr_assert(body["executors"][0]["agent"] == "free");
}

// Guards against operators who look for a fault at executors that are left empty on purpose.
Test(placement_explanation, shows_executors_in_evacuated_zones) {
  Cluster cluster;
  cluster.scheduler.OnEvacuation({.version = 1, .zones = {"zone"}});
  const json body = json::parse(cluster.Ask("cpu_milli=1000").body);
  cr_assert(body["decision"] == "refused");
  for (const json& executor : body["executors"]) {
    if (executor["agent"] == "free") cr_assert_eq(executor["verdict"], "zone_evacuated");
  }
}

// Guards against a refusal without the limit that applied.
Test(placement_explanation, says_what_a_refused_job_would_need) {
  Cluster cluster;
  const json too_large = json::parse(cluster.Ask("cpu_milli=5000").body);
  cr_assert(too_large["decision"] == "refused");
  cr_assert(too_large["reason"] == "never_runnable");
  cr_assert(too_large["remedy"].get<std::string>().find("5000 milli-cores") != std::string::npos);
  cluster.Attach("free", {.pace = 1, .release_rate = 1000, .lesser_release_rate = 1000});
  // The only room is released at one core a second.
  const json late = json::parse(cluster.Ask("cpu_milli=1000").body);
  cr_assert(late["decision"] == "refused");
  cr_assert(late["reason"] == "overloaded");
  cr_assert(late["remedy"].get<std::string>().find("at most 55 ms; it is 1000 ms") !=
            std::string::npos);
}

// Guards against a dry run that orders tasks, or that changes where the next job is placed.
Test(placement_explanation, changes_nothing) {
  Cluster asked;
  Cluster other;
  for (Cluster* cluster : {&asked, &other}) {
    // Among these the placement draws.
    for (const std::string id : {"a", "b", "c", "d"}) {
      cluster->Attach(id, {.free = {.cpu_milli = 4000, .memory_mb = 10}, .pace = 1}, "service",
                      false);
    }
  }
  for (int i = 0; i < 20; ++i) asked.Ask("tasks=3&cpu_milli=1000");
  cr_assert(asked.scheduler.TakeActions().empty());
  cr_assert_eq(asked.scheduler.job_count(), 0);
  for (Cluster* cluster : {&asked, &other}) {
    cluster->scheduler.OnJob({.id = "job",
                              .queue = "queue",
                              .service = "service",
                              .steps = {{.count = 12, .need = {.cpu_milli = 1000}}},
                              .deadline = cluster->clock.now() + seconds(1)});
    cluster->scheduler.Place();
  }
  cr_assert(asked.PlacedAt() == other.PlacedAt());
  cr_assert_eq(asked.scheduler.placements_tried(), other.scheduler.placements_tried());
}

// Guards against a wrong question that is answered as if it were another.
Test(placement_explanation, refuses_unreadable_questions) {
  const Cluster cluster;
  cr_assert_eq(cluster.Ask("tasks=0").status, 400);
  cr_assert_eq(cluster.Ask("cpu_milli=1x").status, 400);
  const auto unknown =
      AnswerPlacement({.method = "GET", .path = "/v1/placement", .query = "queue=none"},
                      cluster.scheduler, &cluster.configuration, cluster.clock.now());
  cr_assert_eq(unknown.status, 404);
  const auto early = AnswerPlacement({.method = "GET", .path = "/v1/placement"}, cluster.scheduler,
                                     nullptr, cluster.clock.now());
  cr_assert_eq(early.status, 503);
}

// Guards against a success without an answer, and against options that do not reach the dispatcher.
Test(placement_command, asks_the_dispatcher) {
  zinniamux::testing::PortBlock ports;
  const std::uint16_t port = ports.Next();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const std::vector<std::string> words{"--dispatcher", address, "--queue",     "queue",
                                       "--tasks",      "3",     "--cpu-milli", "1000"};
  zinniamux::ctl::PlacementCommand command;
  cr_assert_eq(command.Run(words), zinniamux::ctl::kExitNoAnswer);
  const Cluster cluster;
  auto server = zinniamux::adapters::HttpServer::Start(
      {.port = port, .threads = 1}, [&cluster](const zinniamux::adapters::HttpRequest& request,
                                               const zinniamux::adapters::HttpResponder& respond) {
        const bool is_complete =
            zinniamux::adapters::QueryValue(request.query, "tasks") == "3" &&
            zinniamux::adapters::QueryValue(request.query, "cpu_milli") == "1000";
        respond(is_complete ? AnswerPlacement(request, cluster.scheduler, &cluster.configuration,
                                              cluster.clock.now())
                            : HttpResponse{.status = 500});
      });
  cr_assert(server.has_value());
  cr_assert_eq(command.Run(words), zinniamux::ctl::kExitOk);
}
