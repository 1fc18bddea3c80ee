// Start-time fair queueing over teams, with ordered jobs inside each team.
#include "core/job_queue.h"

#include <algorithm>
#include <utility>

namespace zinniamux::core {
namespace {

// Remaining work that delays a job by half of the age bound. Jobs with far more remaining work are
// served nearly in their order of arrival.
constexpr Duration kHalfDelayWork = std::chrono::seconds(10);
constexpr double kMeanCostWeight = 1.0 / 64;
// Minimum charge for a task. Uncharged tasks without an estimate would let their team be served
// alone.
constexpr Duration kMinCost = std::chrono::milliseconds(1);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

JobQueue::JobQueue(const Options& options) : options_(options) {}

void JobQueue::Configure(const DispatchConfig& config) {
  for (auto& [name, team] : teams_) team.configured = false;
  for (const auto& [name, team_config] : config.teams) {
    Team& team = FindOrAddTeam(name);
    team.configured = true;
    team.quota.Configure(team_config);
  }
  std::erase_if(teams_, [](const auto& entry) {
    const Team& team = entry.second;
    return !team.configured && team.known_jobs == 0 && team.quota.running() == 0;
  });
  if (config.policy.job_order != job_order_) {
    job_order_ = config.policy.job_order;
    for (auto& [id, job] : jobs_) {
      RemoveFromOrder(job);
      AddToOrder(job);
    }
  }
  for (auto& [name, team] : teams_) UpdateEligibility(team);
}

void JobQueue::Push(NewJob new_job) {
  if (jobs_.contains(new_job.submission_id)) return;
  Job& job = jobs_[new_job.submission_id];
  job.submission_id = std::move(new_job.submission_id);
  job.team = &FindOrAddTeam(new_job.team);
  job.arrival = new_job.arrival;
  job.sequence = next_sequence_++;
  job.task_costs = std::move(new_job.task_costs);
  for (Duration& cost : job.task_costs) cost = std::max(cost, kMinCost);
  job.waiting = std::move(new_job.waiting);
  std::reverse(job.waiting.begin(), job.waiting.end());
  for (const std::uint32_t index : job.waiting) job.remaining += job.task_costs[index];

  Team& team = *job.team;
  const auto count = static_cast<std::uint32_t>(job.waiting.size());
  ++team.known_jobs;
  team.queued_work += job.remaining;
  team.quota.AddQueued(count);
  size_ += count;
  AddToOrder(job);
  UpdateEligibility(team);
}

std::optional<JobQueue::QueuedTask> JobQueue::Pop() {
  if (eligible_teams_.empty()) return std::nullopt;
  Team& team = *eligible_teams_.begin()->second;
  Job& job = *team.jobs.begin()->second;
  const std::uint32_t index = job.waiting.back();
  const Duration cost = job.task_costs[index];

  RemoveEligible(team);
  virtual_time_ = std::max(virtual_time_, team.start_tag);
  team.start_tag += Seconds(cost) / team.quota.weight();
  max_finish_tag_ = std::max(max_finish_tag_, team.start_tag);
  mean_cost_ +=
      (static_cast<double>(cost.count()) - mean_cost_) * (mean_cost_ == 0 ? 1.0 : kMeanCostWeight);

  RemoveFromOrder(job);
  job.waiting.pop_back();
  job.remaining -= cost;
  AddToOrder(job);
  team.queued_work -= cost;
  team.quota.RemoveQueued(1);
  --size_;
  UpdateEligibility(team);
  // No team is eligible, so the busy period has ended; all teams start the next one with equal
  // tags.
  if (eligible_teams_.empty()) virtual_time_ = max_finish_tag_;
  return QueuedTask{
      .submission_id = job.submission_id, .team = team.name, .task_index = index, .cost = cost};
}

void JobQueue::Requeue(std::string_view submission_id, std::uint32_t task_index) {
  Job* job = FindJob(submission_id);
  if (job == nullptr || task_index >= job->task_costs.size()) return;
  Team& team = *job->team;
  const Duration cost = job->task_costs[task_index];
  RemoveEligible(team);
  team.start_tag -= Seconds(cost) / team.quota.weight();
  RemoveFromOrder(*job);
  job->waiting.push_back(task_index);
  job->remaining += cost;
  AddToOrder(*job);
  team.queued_work += cost;
  team.quota.AddQueued(1);
  ++size_;
  UpdateEligibility(team);
}

void JobQueue::OnTaskStarted(std::string_view team_name) {
  Team& team = FindOrAddTeam(team_name);
  team.quota.AddRunning();
  ++running_;
  UpdateEligibility(team);
}

void JobQueue::OnTaskEnded(std::string_view team_name) {
  const auto found = teams_.find(team_name);
  if (found == teams_.end() || found->second.quota.running() == 0) return;
  found->second.quota.RemoveRunning();
  --running_;
  UpdateEligibility(found->second);
}

void JobQueue::Remove(std::string_view submission_id) {
  const auto found = jobs_.find(submission_id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  Team& team = *job.team;
  const auto count = static_cast<std::uint32_t>(job.waiting.size());
  RemoveFromOrder(job);
  --team.known_jobs;
  team.queued_work -= job.remaining;
  team.quota.RemoveQueued(count);
  size_ -= count;
  jobs_.erase(found);
  UpdateEligibility(team);
}

void JobQueue::Hold(std::string_view submission_id) {
  Job* job = FindJob(submission_id);
  if (job == nullptr) return;
  RemoveFromOrder(*job);
  job->held = true;
  UpdateEligibility(*job->team);
}

void JobQueue::Release(std::string_view submission_id) {
  Job* job = FindJob(submission_id);
  if (job == nullptr) return;
  job->held = false;
  AddToOrder(*job);
  UpdateEligibility(*job->team);
}

void JobQueue::Defer(std::string_view submission_id) {
  Job* job = FindJob(submission_id);
  if (job == nullptr || job->deferred) return;
  RemoveFromOrder(*job);
  job->deferred = true;
  deferred_jobs_.emplace_back(submission_id);
  UpdateEligibility(*job->team);
}

void JobQueue::ResumeDeferred() {
  for (const std::string& submission_id : std::exchange(deferred_jobs_, {})) {
    Job* job = FindJob(submission_id);
    if (job == nullptr) continue;
    job->deferred = false;
    AddToOrder(*job);
    UpdateEligibility(*job->team);
  }
}

const TeamQuota* JobQueue::quota(std::string_view team) const {
  const Team* found = FindTeam(team);
  return found == nullptr ? nullptr : &found->quota;
}

Duration JobQueue::queued_work(std::string_view team) const {
  const Team* found = FindTeam(team);
  return found == nullptr ? Duration(0) : found->queued_work;
}

JobQueue::ServiceDemand JobQueue::DemandOf(std::string_view team_name, Duration extra_work) const {
  const Team* own = FindTeam(team_name);
  const Duration own_work = extra_work + (own == nullptr ? Duration(0) : own->queued_work);
  const double weight = own == nullptr ? 1.0 : own->quota.weight();
  // Work per unit of weight that every busy team is served until the team's own work is done.
  const double per_weight = static_cast<double>(own_work.count()) / weight;
  double work = static_cast<double>(own_work.count());
  ServiceDemand demand;
  for (const auto& [name, team] : teams_) {
    if (&team == own) continue;
    if (!team.quota.CanStartTask()) {
      demand.slots_of_limited_teams += team.quota.running();
      continue;
    }
    const auto backlog = static_cast<double>(team.queued_work.count());
    work += std::min(backlog, team.quota.weight() * per_weight);
  }
  demand.work = Duration(static_cast<Duration::rep>(work));
  return demand;
}

std::uint64_t JobQueue::ReservedByOthers(std::string_view team_name, std::uint64_t bound) const {
  // Half of the bound is reserved by weight. The other half is first come, first served, so that
  // one busy team can use most of the queue while the others are idle.
  constexpr double kReservedShare = 0.5;
  double total_weight = 0;
  for (const auto& [name, team] : teams_) total_weight += team.quota.weight();
  std::uint64_t reserved = 0;
  for (const auto& [name, team] : teams_) {
    if (name == team_name) continue;
    const double fraction = kReservedShare * team.quota.weight() / total_weight;
    const auto tasks = static_cast<std::uint64_t>(fraction * static_cast<double>(bound));
    if (tasks > team.quota.queued()) reserved += tasks - team.quota.queued();
  }
  return reserved;
}

JobQueue::Team& JobQueue::FindOrAddTeam(std::string_view name) {
  const auto found = teams_.find(name);
  if (found != teams_.end()) return found->second;
  Team& team = teams_[std::string(name)];
  team.name = name;
  team.ordinal = next_ordinal_++;
  return team;
}

const JobQueue::Team* JobQueue::FindTeam(std::string_view name) const {
  const auto found = teams_.find(name);
  return found == teams_.end() ? nullptr : &found->second;
}

JobQueue::Job* JobQueue::FindJob(std::string_view submission_id) {
  const auto found = jobs_.find(submission_id);
  return found == jobs_.end() ? nullptr : &found->second;
}

JobQueue::JobRank JobQueue::RankOf(const Job& job) const {
  if (job_order_ == JobOrder::kFifo) return {job.arrival, job.sequence};
  // Grows with the remaining work and stays below the age bound, whatever the work is.
  const double work = Seconds(job.remaining);
  const double fraction = work / (work + Seconds(kHalfDelayWork));
  const double delay = fraction * static_cast<double>(options_.age_bound.count());
  return {job.arrival + Duration(static_cast<Duration::rep>(delay)), job.sequence};
}

void JobQueue::AddToOrder(Job& job) {
  if (job.ordered || job.held || job.deferred || job.waiting.empty()) return;
  job.rank = RankOf(job);
  job.team->jobs.emplace(job.rank, &job);
  job.ordered = true;
}

void JobQueue::RemoveFromOrder(Job& job) {
  if (!job.ordered) return;
  job.team->jobs.erase(job.rank);
  job.ordered = false;
}

void JobQueue::UpdateEligibility(Team& team) {
  const bool eligible = !team.jobs.empty() && team.quota.CanStartTask();
  if (!eligible) {
    RemoveEligible(team);
    return;
  }
  if (team.eligible) return;
  team.start_tag = std::max(team.start_tag, virtual_time_);
  eligible_teams_.emplace(TeamRank{team.start_tag, team.ordinal}, &team);
  team.eligible = true;
}

void JobQueue::RemoveEligible(Team& team) {
  if (!team.eligible) return;
  eligible_teams_.erase(TeamRank{team.start_tag, team.ordinal});
  team.eligible = false;
}

}  // namespace zinniamux::core
