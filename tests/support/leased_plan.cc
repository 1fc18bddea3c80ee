// Drawing of jobs and faults.
#include "support/leased_plan.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <numeric>
#include <random>
#include <sstream>

namespace zinniamux::testing {
namespace {

using std::chrono::milliseconds;
using Kind = LeasedFault::Kind;

constexpr std::array<const char*, 7> kKindNames{
    "freeze_supervisor", "freeze_dispatcher",      "cut_dispatcher", "reset_callers",
    "kill_supervisor",   "reset_executor_answers", "evacuate_zone"};
// Kinds of single faults. The last ones are drawn apart, see DrawBrokenAnswers and DrawEvacuations.
constexpr std::size_t kSingleFaults = kKindNames.size() - 2;
constexpr milliseconds kLoadTime{10'000};
constexpr std::size_t kJobs = 80;
constexpr std::size_t kMaxTasks = 4;
// Each episode is healed, and callers have sent again, before the next one.
constexpr std::array<milliseconds, 2> kEpisodes{milliseconds(2500), milliseconds(7000)};

class PlanDraw {
 public:
  explicit PlanDraw(std::uint64_t seed) : random_(seed) {
    plan_.seed = seed;
    plan_.dispatchers = Number(2, 3);
    plan_.supervisors = Number(3, 4);
    plan_.incident = Number(0, 1) == 1;
  }

  LeasedPlan Draw() {
    for (std::size_t index = 0; index < kJobs; ++index) DrawJob(index);
    for (const milliseconds episode : kEpisodes) {
      const milliseconds at = episode + Time(0, 500);
      if (plan_.incident) {
        DrawIncident(at);
      } else {
        DrawFault(at);
        DrawFault(at + Time(0, 800));
      }
    }
    // Last, so that the other faults of a seed stay what they were.
    if (!plan_.incident) DrawBrokenAnswers();
    if (!plan_.incident) DrawEvacuations();
    return plan_;
  }

 private:
  std::size_t Number(std::size_t from, std::size_t to) {
    return std::uniform_int_distribution<std::size_t>(from, to)(random_);
  }
  milliseconds Time(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(random_));
  }

  void DrawJob(std::size_t index) {
    std::ostringstream id;
    // 16 hexadecimal digits, of which the last ones count the jobs.
    id << std::hex << std::setfill('0') << std::setw(12) << (random_() & 0xffffffffffffU)
       << std::setw(4) << index;
    plan_.jobs.push_back({.id = id.str(),
                          .at = kLoadTime * index / kJobs,
                          .task_length = Time(200, 3000),
                          .tasks = Number(1, kMaxTasks),
                          .dispatcher = Number(0, plan_.dispatchers - 1)});
  }

  void Add(Kind kind, std::size_t target, milliseconds at, milliseconds length) {
    plan_.faults.push_back({.kind = kind, .target = target, .at = at, .length = length});
  }

  void DrawCut(milliseconds at, milliseconds length) {
    const std::size_t dispatcher = Number(0, plan_.dispatchers - 1);
    Add(Kind::kCutDispatcher, dispatcher, at, length);
    Add(Kind::kResetCallers, dispatcher, at + Time(10, 60), milliseconds(0));
  }

  void DrawIncident(milliseconds at) {
    DrawCut(at, Time(500, 3000));
    std::vector<std::size_t> supervisors(plan_.supervisors);
    std::iota(supervisors.begin(), supervisors.end(), std::size_t{0});
    std::shuffle(supervisors.begin(), supervisors.end(), random_);
    // At least one supervisor goes on, so that second copies can start.
    supervisors.resize(Number(1, plan_.supervisors - 1));
    const bool frozen_before_cut = Number(0, 2) == 0;
    const milliseconds freeze = frozen_before_cut ? at - Time(100, 300) : at + Time(500, 850);
    for (const std::size_t supervisor : supervisors) {
      Add(Kind::kFreezeSupervisor, supervisor, freeze, Time(300, 2000));
    }
  }

  void DrawFault(milliseconds at) {
    const std::size_t supervisor = Number(0, plan_.supervisors - 1);
    const std::size_t dispatcher = Number(0, plan_.dispatchers - 1);
    switch (static_cast<Kind>(Number(0, kSingleFaults - 1))) {
      case Kind::kFreezeSupervisor:
        return Add(Kind::kFreezeSupervisor, supervisor, at, Time(300, 2000));
      case Kind::kFreezeDispatcher:
        return Add(Kind::kFreezeDispatcher, dispatcher, at, Time(300, 2000));
      case Kind::kCutDispatcher:
        return DrawCut(at, Time(500, 3000));
      case Kind::kResetCallers:
        return Add(Kind::kResetCallers, dispatcher, at, milliseconds(0));
      case Kind::kKillSupervisor:
        return Add(Kind::kKillSupervisor, supervisor, at, Time(0, 1000));
      case Kind::kResetExecutorAnswers:
      case Kind::kEvacuateZone:
        return;
    }
  }

  // The connections to one executor break again and again for a second, also beside other faults.
  void DrawBrokenAnswers() {
    constexpr int kTimes = 50;
    constexpr milliseconds kPeriod{20};
    plan_.refuses_second_copies = Number(0, 1) == 1;
    const std::size_t executor = Number(0, plan_.supervisors - 1);
    const milliseconds at = Time(2000, 8000);
    for (int i = 0; i < kTimes; ++i) {
      Add(Kind::kResetExecutorAnswers, executor, at + i * kPeriod, milliseconds(0));
    }
  }

  // One zone for longer than the bound, and in half of the rounds the other one meanwhile.
  void DrawEvacuations() {
    const std::size_t zone = Number(0, 1);
    Add(Kind::kEvacuateZone, zone, Time(500, 2000), Time(6500, 7500));
    if (Number(0, 1) == 1) Add(Kind::kEvacuateZone, 1 - zone, Time(3000, 6000), Time(200, 2000));
  }

  std::mt19937_64 random_;
  LeasedPlan plan_;
};

}  // namespace

std::string LeasedFault::Text() const {
  std::string text = kKindNames.at(static_cast<std::size_t>(kind));
  text += ' ' + std::to_string(target + 1) + " at " + std::to_string(at.count());
  if (length > milliseconds(0)) text += " for " + std::to_string(length.count());
  return text;
}

LeasedPlan DrawLeasedPlan(std::uint64_t seed) { return PlanDraw(seed).Draw(); }

}  // namespace zinniamux::testing
