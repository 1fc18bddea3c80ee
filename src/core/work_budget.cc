// Costs of jobs.
#include "core/work_budget.h"

#include <string>
#include <utility>

namespace zinniamux::core {
namespace {

// Heap bytes, rounded up. `work_budget/costs_cover_what_the_scheduler_allocates` compares them with
// the allocator's figures.
// The job in the scheduler's tables, its caller and its answer.
constexpr std::size_t kJobBytes = 2048;
// The request's step and its state.
constexpr std::size_t kStepBytes = 320;
// A task's state with the names of its supervisors and its rack.
constexpr std::size_t kTaskBytes = 256;
// An order without its spec.
constexpr std::size_t kOrderBytes = 128;
// A task's index and run within an order.
constexpr std::size_t kOrderedTaskBytes = 16;

}  // namespace

std::size_t WorkBudget::CostOf(const JobRequest& request) {
  std::size_t bytes = kJobBytes + request.spec.size();
  for (const JobStep& step : request.steps) {
    bytes += kStepBytes + step.required_label.size() + step.preferred_rack.size();
    bytes += step.after.size() * sizeof(step.after.front());
    bytes += std::size_t{step.count} * (kTaskBytes + kRunBytes);
  }
  return bytes;
}

std::size_t WorkBudget::OrderBytes(const JobRequest& request, std::size_t tasks) {
  return tasks * (kOrderBytes + kOrderedTaskBytes + request.spec.size());
}

bool WorkBudget::HasRoomFor(std::size_t job_bytes, std::size_t unreported_runs) const {
  constexpr std::size_t kKeptPart = 4;
  const std::size_t kept = job_bytes > kSmallJobBytes ? options_.max_bytes / kKeptPart : 0;
  return job_bytes_ + unreported_runs * kRunBytes + job_bytes + kept <= options_.max_bytes;
}

Result<void> WorkBudget::CheckSize(const JobRequest& request) {
  std::size_t tasks = 0;
  for (const JobStep& step : request.steps) tasks += step.count;
  const auto too_large = [&](const std::string& what, std::size_t bytes, std::size_t limit) {
    return tl::unexpected(
        Error{ErrorKind::kTooLarge,
              "the job is too large: " + what + " of " + std::to_string(request.steps.size()) +
                  " steps with " + std::to_string(tasks) + " tasks takes " + std::to_string(bytes) +
                  " bytes of memory, at most " + std::to_string(limit) + " are allowed",
              {}});
  };
  if (const std::size_t bytes = CostOf(request); bytes > kMaxJobBytes) {
    return too_large("the state", bytes, kMaxJobBytes);
  }
  if (const std::size_t bytes = OrderBytes(request, tasks); bytes > kMaxOrderBytes) {
    return too_large("the start", bytes, kMaxOrderBytes);
  }
  return {};
}

}  // namespace zinniamux::core
