// Time to choose executors for the tasks of one job from the views of a dispatcher.
#include <benchmark/benchmark.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/room_placement.h"
#include "core/speed_matching.h"

namespace {

using namespace zinniamux::core;  // NOLINT(google-build-using-namespace)

constexpr int kTasks = 8;
constexpr std::int64_t kCpuMilli = 64'000;
constexpr std::int64_t kTaskCpuMilli = 6200;

// Arguments: number of executors, whether a quarter of them is steadily slow. Each iteration places
// one job, as a pass over the queue does.
void PlaceTasks(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  std::vector<std::unique_ptr<ExecutorView>> owned;
  std::vector<ExecutorView*> views;
  for (std::size_t i = 0; i < count; ++i) {
    const bool is_slow = state.range(1) != 0 && i % 4 == 3;
    const std::string id = "agent-" + std::to_string(i);
    owned.push_back(std::make_unique<ExecutorView>(id, "zone-" + std::to_string(i % 3)));
    owned.back()->set_attached(true);
    owned.back()->OnReport(
        {.executor_id = id,
         .service = "service",
         .accepting = true,
         .capacity = {.cpu_milli = kCpuMilli, .memory_mb = 1000},
         .free = {.cpu_milli = static_cast<std::int64_t>(i % 10) * 6400, .memory_mb = 1000},
         .is_close = i % 3 == 0,
         .pace = is_slow ? 1.9 : 0.85,
         .steady_pace = is_slow ? 1.9 : 0.85});
    views.push_back(owned.back().get());
  }
  const RoomPlacement placement({.availability_zone = "zone-0"});
  SpeedMatching speeds;
  const JobStep step{.count = kTasks, .need = {.cpu_milli = kTaskCpuMilli, .memory_mb = 1}};
  std::minstd_rand random;
  TimePoint now{std::chrono::seconds(100)};
  for (auto _ : state) {
    now += std::chrono::milliseconds(1);
    RoomPlacement::Query query{.service = "service",
                               .step = &step,
                               .median_pace = RoomPlacement::MedianPace(views),
                               .filter = [](const ExecutorView&) { return true; }};
    speeds.Update(views, now);
    if (speeds.is_active()) query.speeds = &speeds;
    query.run_time = std::chrono::milliseconds(50);
    query.time_left = std::chrono::milliseconds(140);
    for (int task = 0; task < kTasks; ++task) {
      benchmark::DoNotOptimize(placement.ChooseWithRoom(views, query, random));
    }
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}

BENCHMARK(PlaceTasks)
    ->ArgNames({"executors", "uneven"})
    ->ArgsProduct({{54, 72, 300}, {0, 1}})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
