// Comparison of a wait for a rack with a remote run.
#include "core/locality_wait.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace zinniamux::core {
namespace {

// Racks that are remembered. Far more than a dispatcher sees; bounds what callers can make it keep.
constexpr std::size_t kMaxRacks = 512;
// Weight of one wait: a rack that turns hot is recognised after a few waits.
constexpr double kWaitWeight = 0.25;
// Bounds on what one wait shows, and the least difference between waits that means anything.
constexpr double kMaxWaitRatio = 8;
constexpr std::chrono::milliseconds kWaitResolution{2};
// The learned factor may exceed the one of the settings by this. If waits always pay, remote runs
// are rare, and an estimate that a few slow ones raised would last.
constexpr double kMaxFactorExcess = 1.5;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

LocalityWait::RunTimes LocalityWait::RunTimesOf(std::string_view queue, Duration declared) const {
  RunTimes times;
  times.local = local_.For(queue, declared).run_time;
  times.remote = Scale(times.local, options_.spread_factor);
  const RunTimeEstimator::Estimate learned = remote_.For(queue, declared);
  if (learned.learned) {
    times.remote = std::clamp(learned.run_time, times.local,
                              std::max(times.local, Scale(times.remote, kMaxFactorExcess)));
  }
  return times;
}

double LocalityWait::WaitRatio(std::string_view rack, TimePoint now) const {
  const auto found = experience_.find(rack);
  if (found == experience_.end()) return 1;
  const std::chrono::duration<double> age = now - found->second.changed_at;
  const std::chrono::duration<double> memory = options_.memory;
  return std::exp(found->second.log_ratio * std::exp(-age / memory));
}

Duration LocalityWait::Corrected(Duration wait, std::string_view rack, TimePoint now) const {
  const double ratio = WaitRatio(rack, now);
  return std::max(Scale(wait + kWaitResolution, ratio) - kWaitResolution, Duration(0));
}

std::optional<LocalityWait::Wait> LocalityWait::Decide(const Question& question) const {
  if (question.wait == Duration::max() || question.remote_wait == Duration::max()) {
    return std::nullopt;
  }
  const RunTimes times = RunTimesOf(question.queue, question.declared);
  const TimePoint remote_end = question.now + question.remote_wait + times.remote;
  // A remote run that is in time now must stay so if the wait fails. One that is late anyway leaves
  // the time in which a local run is in time.
  const bool remote_in_time = remote_end <= question.objective;
  TimePoint until = remote_end - times.local;
  const Duration needed = remote_in_time ? times.remote + options_.replacement_time : times.local;
  const TimePoint last_start = question.objective - needed;
  if (remote_in_time || last_start > question.now) until = std::min(until, last_start);
  const TimePoint latest_expected =
      std::min(until, remote_end - times.local - Scale(times.remote, options_.min_gain_share));
  if (question.now + Corrected(question.wait, question.rack, question.now) > latest_expected) {
    return std::nullopt;
  }
  // The limit for ChooseShortestWait, whose waits are not corrected.
  const double ratio = WaitRatio(question.rack, question.now);
  const Duration longest = Scale(latest_expected - question.now, 1 / ratio);
  return Wait{.longest_expected = std::max(longest, question.wait),
              .until = until,
              .remote_end = remote_end};
}

ExecutorView* LocalityWait::ChooseWait(const RoomPlacement& room,
                                       std::span<ExecutorView* const> executors,
                                       const RoomPlacement::Query& near, Question question,
                                       std::minstd_rand& random, Placement& placement) const {
  question.rack = placement.rack;
  question.wait = room.ShortestWait(executors, near);
  const std::optional<Wait> wait = Decide(question);
  if (!wait) return nullptr;
  ExecutorView* best = room.ChooseShortestWait(executors, near, wait->longest_expected, random);
  if (best == nullptr) return nullptr;
  placement.is_local = true;
  placement.wait = wait;
  placement.expected_wait = best->ExpectedWait(near.step->need, near.rank);
  return best;
}

std::string LocalityWait::ChooseRack(std::span<ExecutorView* const> executors,
                                     const RoomPlacement::Query& query, std::uint32_t tasks,
                                     const Question& question) const {
  struct Room {
    std::int64_t tasks = 0;
    double release_rate = 0;
  };
  const Resources& need = query.step->need;
  const std::uint32_t most_per_executor =
      query.step->max_per_executor == 0 ? tasks : query.step->max_per_executor;
  std::map<std::string_view, Room> rooms;
  for (const ExecutorView* executor : executors) {
    const ExecutorReport& report = executor->report();
    if (!executor->takes_work() || report.service != query.service) continue;
    const std::string& required = query.step->required_label;
    if (!required.empty() && !executor->HasLabel(required)) continue;
    if (!need.Fits(report.capacity) || (query.filter && !query.filter(*executor))) continue;
    for (const std::string& label : report.labels) {
      if (!racks_.contains(label)) continue;
      Room& room = rooms[label];
      room.release_rate +=
          query.rank == StartRank::kNormal ? report.lesser_release_rate : report.release_rate;
      Resources left = executor->free();
      left.cpu_milli -= report.waiting.ahead_of(query.rank);
      if (query.rank == StartRank::kNormal) left.cpu_milli -= report.kept_cpu_milli;
      for (std::uint32_t i = 0; i < most_per_executor && need.Fits(left); ++i) {
        left -= need;
        ++room.tasks;
      }
    }
  }
  std::string best;
  Duration best_wait = Duration::max();
  std::int64_t best_room = 0;
  for (const auto& [rack, room] : rooms) {
    const std::int64_t missing = tasks - room.tasks;
    if (missing > 0 && room.release_rate <= 0) continue;
    Duration wait{0};
    if (missing > 0) {
      const std::chrono::duration<double> release(static_cast<double>(missing * need.cpu_milli) /
                                                  room.release_rate);
      wait = std::chrono::duration_cast<Duration>(release);
      Question each = question;
      each.rack = rack;
      each.wait = wait;
      if (!Decide(each)) continue;
      wait = Corrected(wait, rack, question.now);
    }
    if (wait > best_wait || (wait == best_wait && room.tasks <= best_room)) continue;
    best = rack;
    best_wait = wait;
    best_room = room.tasks;
  }
  return best;
}

Duration LocalityWait::Estimate(std::string_view queue, Duration declared, Duration local_estimate,
                                const Placement& placement) const {
  if (placement.is_local) return local_estimate;
  const RunTimes times = RunTimesOf(queue, declared);
  if (times.local <= Duration(0)) return local_estimate;
  return Scale(local_estimate, std::chrono::duration<double>(times.remote) / times.local);
}

Duration LocalityWait::LocalTime(std::string_view queue, Duration declared,
                                 const Placement& placement, Duration elapsed) const {
  if (placement.is_local) return elapsed;
  const RunTimes times = RunTimesOf(queue, declared);
  if (times.local <= Duration(0) || times.remote <= times.local) return elapsed;
  return Scale(elapsed, std::chrono::duration<double>(times.local) / times.remote);
}

bool LocalityWait::OnRunEnded(std::string_view queue, Duration declared, const Placement& placement,
                              RunOutcome outcome, Duration elapsed, TimePoint now) {
  if (outcome == RunOutcome::kDone) {
    const bool shows_rack = placement.is_local && !placement.rack.empty();
    if (shows_rack && racks_.size() < kMaxRacks) racks_.insert(placement.rack);
    (placement.is_local ? local_ : remote_).Observe(queue, declared, elapsed);
    if (placement.wait) {
      const Duration wait = now - elapsed - placement.ordered_at;
      RecordWait(placement, wait, now <= placement.wait->remote_end, now);
    }
    return true;
  }
  if (!placement.wait || HasStarted(outcome)) return true;
  RecordWait(placement, now - placement.ordered_at, false, now);
  return false;
}

void LocalityWait::RecordWait(const Placement& placement, Duration wait, bool paid, TimePoint now) {
  wait = std::max(wait, Duration(0));
  ++(paid ? counts_.paid : counts_.unpaid);
  counts_.total_wait += wait;
  const double ratio = std::chrono::duration<double>(wait + kWaitResolution) /
                       std::chrono::duration<double>(placement.expected_wait + kWaitResolution);
  const double sample = std::log(std::clamp(ratio, 1 / kMaxWaitRatio, kMaxWaitRatio));
  if (experience_.size() >= kMaxRacks && !experience_.contains(placement.rack)) {
    experience_.erase(experience_.begin());
  }
  const double before = std::log(WaitRatio(placement.rack, now));
  experience_[placement.rack] = {.log_ratio = before + kWaitWeight * (sample - before),
                                 .changed_at = now};
}

}  // namespace zinniamux::core
