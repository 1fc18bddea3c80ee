// The event loop of the simulated world, its messages and its faults.
#include "support/lease_world.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

namespace zinniamux::testing {

using core::Duration;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kHeartbeat{300};
constexpr milliseconds kSilenceLimit{900};
constexpr milliseconds kAnnouncePeriod{1500};
// As in DispatcherLink.
constexpr milliseconds kReconnectDelay{100};
// TCP sends lost data again some time after the path is back.
constexpr milliseconds kResendDelay{100};
// The time until it sends lost data again; it doubles with each attempt.
constexpr milliseconds kMinResendTime{200};
// `retransmit_ms` of the deployment.
constexpr milliseconds kCallerResendDelay{1300};
constexpr double kShareDoneAtOnce = 0.5;
// The feed's long poll takes 700 ms at most; a lost one is noticed 400 ms later.
constexpr int kMaxFeedDelayMs = 1100;
// From the start of a task that crashes its executor to the crash, and from there to its return.
constexpr milliseconds kCrashDelay{20};
constexpr milliseconds kCrashDownTime{3200};

std::string NameOf(std::size_t dispatcher) { return "dispatcher-" + std::to_string(dispatcher); }

std::size_t IndexOf(const std::string& name) {
  return std::stoul(name.substr(name.rfind('-') + 1));
}

}  // namespace

struct LeaseWorld::Link {
  bool connected = false;
  TimePoint cut_until;
  TimePoint refused_until;
  TimePoint dispatcher_heard;
  TimePoint supervisor_heard;
  // Orders taken by the supervisor.
  std::uint64_t orders_seen = 0;
  // Messages of an earlier connection are dropped.
  std::uint64_t generation = 0;
  // What is sent on this connection is lost.
  std::optional<std::uint64_t> silent_generation;
  // The last messages that are on their way arrive then.
  TimePoint last_to_dispatcher;
  TimePoint last_to_supervisor;
  // The dispatcher's process that the supervisor knows.
  std::string owner;
  // Ends of its runs that the supervisor could not send.
  std::vector<core::RunUpdate> pending;
};

// The clock that a dispatcher reads. It may jump during an event, if the process stands still then.
class LeaseWorld::DispatcherClock : public core::Clock {
 public:
  explicit DispatcherClock(const core::Clock& clock) : clock_(clock) {}

  TimePoint now() const override {
    if (reads_left_ > 0 && --reads_left_ == 0) stands_until_ = clock_.now() + length_;
    return std::max(clock_.now(), stands_until_);
  }
  void StandStill(std::size_t reads, Duration length) {
    reads_left_ = reads;
    length_ = length;
  }
  void Reset() {
    reads_left_ = 0;
    stands_until_ = {};
  }
  // The end of the last standstill.
  TimePoint stands_until() const { return stands_until_; }

 private:
  const core::Clock& clock_;
  mutable std::size_t reads_left_ = 0;
  mutable TimePoint stands_until_;
  Duration length_{0};
};

// The steady clock of a VM.
class LeaseWorld::VmClock : public core::Clock {
 public:
  explicit VmClock(const core::Clock& clock) : clock_(clock) {}

  TimePoint now() const override { return clock_.now() - suspended_; }
  // Called at the end of a suspension.
  void AddSuspension(Duration length) { suspended_ += length; }

 private:
  const core::Clock& clock_;
  Duration suspended_{0};
};

struct LeaseWorld::Dispatcher {
  explicit Dispatcher(const core::Clock& world_clock) : clock(world_clock) {}

  struct Arrived {
    Duration cost{0};
    std::function<void()> action;
  };
  struct Close {
    std::string id;
    std::size_t copy = 0;
  };
  DispatcherClock clock;
  std::unique_ptr<core::JobScheduler> scheduler;
  TimePoint frozen_until;
  // What has arrived and waits for the processor.
  std::deque<Arrived> inbox;
  bool busy = false;
  // Closed connections that have arrived.
  std::deque<Close> closes;
  core::ReportPace report_pace;
  core::BacklogMeter backlog;
  core::StallDetector stall_detector;
  std::uint64_t incarnation = 1;
  TimePoint down_until;
  // The copies that wait for the answer of each job.
  std::map<std::string, std::set<std::size_t>> waiting;
  // Jobs that were over when their last caller left. Their answers are still to be handled.
  std::set<std::string> left_before_answer;
  // Closed connections of callers are on their way until then.
  TimePoint closes_held_until;
  TimePoint callers_cut_until;
  TimePoint store_cut_until;
};

struct LeaseWorld::Supervisor {
  explicit Supervisor(const core::Clock& world_clock) : vm_clock(world_clock) {}

  VmClock vm_clock;
  std::unique_ptr<core::RunSupervisor> core;
  std::unique_ptr<core::ReportAudience> audience;
  std::uint64_t incarnation = 0;
  TimePoint frozen_until;
  core::ReportSchedule schedule;
  std::optional<TimePoint> report_timer_end;
  Duration delay{0};
};

LeaseWorld::LeaseWorld(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      fault_random_(options_.seed),
      start_(clock_.now()),
      executors_cut_until_(options_.executor_cpu_milli.size()),
      executors_down_until_(options_.executor_cpu_milli.size()),
      executors_suspended_until_(options_.executor_cpu_milli.size()),
      lost_answers_(options_.lost_answers) {
  for (std::size_t i = 0; i < options_.executor_cpu_milli.size(); ++i) {
    executors_.push_back(std::make_unique<SimulatedExecutor>(
        SimulatedExecutor::Options{
            .id = "executor-" + std::to_string(i),
            .capacity = {.cpu_milli = options_.executor_cpu_milli[i], .memory_mb = 65'536},
            .labels = options_.racks == 0
                          ? std::vector<std::string>()
                          : std::vector<std::string>{RackLabel(i % options_.racks)}},
        SimulatedExecutor::Hooks{
            .run_time =
                [this, i](const core::TaskId& task) {
                  return std::chrono::duration_cast<Duration>(
                      work_.at(task.job_id).run_times.at(task.index) * SpreadFactorOf(task, i));
                },
            .need =
                [this](const core::TaskId& task) {
                  return work_.at(task.job_id).request.steps.at(task.step).need;
                },
            .on_start = [this, i](const core::RunId& id) { NoteStart(i, id); },
            .on_end = [this](const core::RunId& id,
                             core::RunOutcome outcome) { NoteEnd(id, outcome); }},
        clock_.now()));
    supervisors_.push_back(std::make_unique<Supervisor>(clock_));
  }
  links_.resize(options_.dispatchers * supervisors_.size());
  for (std::size_t i = 0; i < options_.dispatchers; ++i) {
    dispatchers_.push_back(std::make_unique<Dispatcher>(clock_));
    StartDispatcher(i);
  }
  for (std::size_t i = 0; i < supervisors_.size(); ++i) StartSupervisor(i);
  for (std::size_t i = 0; i < executors_.size(); ++i) Announce(i);
  Tick();
  Heartbeat();
}

LeaseWorld::~LeaseWorld() = default;

// --- Time

void LeaseWorld::After(Duration delay, std::function<void()> action) {
  events_.push({clock_.now() + delay, next_event_++, std::move(action)});
}

void LeaseWorld::At(Duration time, std::function<void()> action) {
  events_.push({start_ + time, next_event_++, std::move(action)});
}

void LeaseWorld::Deliver(const TimePoint& frozen_until, Duration delay,
                         std::function<void()> action) {
  After(delay, [this, &frozen_until, action = std::move(action)]() mutable {
    if (frozen_until <= clock_.now()) return action();
    Deliver(frozen_until, frozen_until - clock_.now(), std::move(action));
  });
}

void LeaseWorld::Run(Duration until) {
  while (!events_.empty() && events_.top().time <= start_ + until) {
    Event event = events_.top();
    events_.pop();
    // Executors go on in between; what they record carries their own time.
    for (auto& executor : executors_) executor->Advance(event.time);
    clock_.Advance(event.time - clock_.now());
    event.action();
  }
}

void LeaseWorld::Tick() {
  After(kTick, [this] { Tick(); });
  for (std::size_t i = 0; i < supervisors_.size(); ++i) {
    Supervisor& supervisor = *supervisors_[i];
    if (!supervisor.core || supervisor.frozen_until > clock_.now()) continue;
    supervisor.core->OnTimer();
    CarryOutSupervisor(i);
  }
  for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
    if (dispatchers_[i]->frozen_until > clock_.now()) continue;
    HandleInTurn(i, Duration(0), [this, i, arrived = clock_.now()] {
      // What arrived before has been handled.
      dispatchers_[i]->scheduler->OnInputHandled(arrived);
      dispatchers_[i]->scheduler->OnTimer();
      CarryOutDispatcher(i);
    });
  }
}

void LeaseWorld::Handle(std::size_t dispatcher, const std::function<void()>& action) {
  Dispatcher& by = *dispatchers_[dispatcher];
  if (by.stall_detector.OnTurn(clock_.now())) by.scheduler->OnStall();
  action();
  // It has stood still in this event.
  by.frozen_until = std::max(by.frozen_until, by.clock.stands_until());
}

void LeaseWorld::HandleInTurn(std::size_t dispatcher, Duration cost, std::function<void()> action) {
  if (options_.processor_shares.empty()) return Handle(dispatcher, action);
  dispatchers_[dispatcher]->inbox.push_back({cost, std::move(action)});
  if (!std::exchange(dispatchers_[dispatcher]->busy, true)) HandleNext(dispatcher);
}

void LeaseWorld::HandleNext(std::size_t dispatcher) {
  Dispatcher& of = *dispatchers_[dispatcher];
  of.busy = !of.inbox.empty();
  if (!of.busy) return;
  const Dispatcher::Arrived next = std::move(of.inbox.front());
  of.inbox.pop_front();
  const std::uint64_t placements = of.scheduler->placements_tried();
  Handle(dispatcher, next.action);
  const auto tried = static_cast<std::int64_t>(of.scheduler->placements_tried() - placements);
  const Duration work = next.cost + options_.placement_cost * tried;
  Deliver(of.frozen_until,
          std::chrono::duration_cast<Duration>(work / options_.processor_shares[dispatcher]),
          [this, dispatcher] { HandleNext(dispatcher); });
}

void LeaseWorld::Heartbeat() {
  After(kHeartbeat, [this] { Heartbeat(); });
  for (std::size_t d = 0; d < dispatchers_.size(); ++d) {
    for (std::size_t s = 0; s < supervisors_.size(); ++s) {
      Link& link = LinkOf(d, s);
      if (!link.connected) {
        Connect(d, s);
        continue;
      }
      const TimePoint limit = clock_.now() - kSilenceLimit;
      const bool frozen = dispatchers_[d]->frozen_until > clock_.now();
      if (link.dispatcher_heard < limit && !frozen) {
        link.connected = false;
        ++link.generation;
        if (supervisors_[s]->core) supervisors_[s]->audience->Remove(NameOf(d));
        dispatchers_[d]->scheduler->OnAgentDetached("agent-" + std::to_string(s));
        continue;
      }
      if (link.silent_generation == link.generation && link.supervisor_heard < limit) {
        Connect(d, s);
        continue;
      }
      SendReport(s, d);
      const std::uint64_t generation = link.generation;
      if (frozen || link.cut_until > clock_.now()) continue;
      Transmit(link, link.last_to_supervisor, supervisors_[s]->frozen_until, supervisors_[s]->delay,
               [this, d, s, generation, handled = dispatchers_[d]->scheduler->InputHandled(),
                pause = dispatchers_[d]->report_pace.pause()] {
                 if (LinkOf(d, s).generation != generation || !supervisors_[s]->core) return;
                 LinkOf(d, s).supervisor_heard = clock_.now();
                 supervisors_[s]->core->OnOwnerHeard(OwnerOf(d), handled);
                 supervisors_[s]->schedule.SetPause(NameOf(d), pause);
               });
    }
  }
}

// --- Connections

LeaseWorld::Link& LeaseWorld::LinkOf(std::size_t dispatcher, std::size_t supervisor) {
  return links_[dispatcher * supervisors_.size() + supervisor];
}

void LeaseWorld::Connect(std::size_t dispatcher, std::size_t supervisor) {
  Link& link = LinkOf(dispatcher, supervisor);
  Supervisor& agent = *supervisors_[supervisor];
  const bool reachable = link.cut_until <= clock_.now() && agent.core &&
                         link.refused_until <= clock_.now() && agent.frozen_until <= clock_.now() &&
                         dispatchers_[dispatcher]->frozen_until <= clock_.now();
  if (!reachable) return;
  link.connected = true;
  ++link.generation;
  link.orders_seen = 0;
  link.dispatcher_heard = link.supervisor_heard = clock_.now();
  if (link.owner != OwnerOf(dispatcher)) link.pending.clear();
  std::vector<core::RunId> held = agent.core->RunsOf(link.owner);
  for (const core::RunUpdate& update : link.pending) held.push_back(update.id);
  core::JobScheduler& scheduler = *dispatchers_[dispatcher]->scheduler;
  // Both ends tell the evacuated zones before anything else.
  agent.core->OnEvacuation(scheduler.evacuation());
  TakeEvacuation(dispatcher, agent.core->evacuation());
  scheduler.OnAgentAttached("agent-" + std::to_string(supervisor), ZoneOf(supervisor),
                            agent.incarnation, held);
  for (const core::RunUpdate& update : std::exchange(link.pending, {})) {
    dispatchers_[dispatcher]->scheduler->OnRunUpdate("agent-" + std::to_string(supervisor),
                                                     update.id, update.outcome, update.elapsed);
  }
  CarryOutDispatcher(dispatcher);
  if (link.owner != OwnerOf(dispatcher)) LoseOwner(dispatcher, supervisor);
  link.owner = OwnerOf(dispatcher);
  agent.core->OnOwnerHeard(link.owner, dispatchers_[dispatcher]->scheduler->InputHandled());
  agent.audience->Add(NameOf(dispatcher));
  agent.audience->SetWanted(NameOf(dispatcher),
                            supervisors_.size() <= core::ReportAudience::kFewExecutors);
  SendReports(supervisor);
}

void LeaseWorld::Transmit(const Link& link, TimePoint& last_arrival, const TimePoint& frozen_until,
                          Duration delay, std::function<void()> action) {
  if (link.silent_generation == link.generation) return;
  const TimePoint now = clock_.now();
  const TimePoint sent = link.cut_until > now ? link.cut_until + kResendDelay : now;
  last_arrival = std::max(last_arrival, sent + options_.link_delay + delay);
  // It waits for the end of a cut, or behind messages that do.
  const bool is_held = last_arrival > now + options_.link_delay + delay;
  Arrive(link, frozen_until, last_arrival - now, is_held, std::move(action));
}

void LeaseWorld::Arrive(const Link& link, const TimePoint& frozen_until, Duration delay,
                        bool is_held, std::function<void()> action) {
  After(delay, [this, &link, &frozen_until, is_held, action = std::move(action)]() mutable {
    if (is_held && link.cut_until > clock_.now()) {
      // Before what was sent later.
      return Arrive(link, frozen_until, link.cut_until + kResendDelay - clock_.now(), is_held,
                    std::move(action));
    }
    if (frozen_until <= clock_.now()) return action();
    Deliver(frozen_until, frozen_until - clock_.now(), std::move(action));
  });
}

std::string LeaseWorld::OwnerOf(std::size_t dispatcher) const {
  return NameOf(dispatcher) + "." + std::to_string(dispatchers_[dispatcher]->incarnation);
}

void LeaseWorld::LoseOwner(std::size_t dispatcher, std::size_t supervisor) {
  const std::string owner = std::exchange(LinkOf(dispatcher, supervisor).owner, "");
  if (owner.empty() || !supervisors_[supervisor]->core) return;
  supervisors_[supervisor]->core->OnOwnerLost(owner);
  CarryOutSupervisor(supervisor);
}

core::ExecutorReport LeaseWorld::ReportOf(std::size_t supervisor, std::size_t dispatcher) const {
  const core::RunSupervisor& core = *supervisors_[supervisor]->core;
  core::ExecutorReport report;
  if (core.executor()) {
    report.executor_id = core.executor()->id;
    report.service = core.executor()->service;
    report.capacity = core.executor()->capacity;
    report.labels = core.executor()->labels;
  }
  report.accepting = core.accepting();
  report.free = core.free_room();
  report.pace = core.pace();
  report.steady_pace = core.steady_pace();
  report.waiting = core.waiting_room();
  report.kept_cpu_milli = core.kept_cpu_milli();
  report.release_rate = core.release_rate();
  report.lesser_release_rate = core.lesser_release_rate();
  report.jobs_of_others =
      core.JobsOfOthers(links_[dispatcher * supervisors_.size() + supervisor].owner);
  report.executor_answered = core.executor_answered();
  report.close_entries =
      static_cast<std::uint32_t>(supervisors_[supervisor]->audience->close().size());
  report.is_close = supervisors_[supervisor]->audience->IsClose(NameOf(dispatcher));
  report.orders_seen = links_[dispatcher * supervisors_.size() + supervisor].orders_seen;
  return report;
}

void LeaseWorld::SendReport(std::size_t supervisor, std::size_t dispatcher) {
  Link& link = LinkOf(dispatcher, supervisor);
  const Supervisor& agent = *supervisors_[supervisor];
  if (!link.connected || !agent.core || agent.frozen_until > clock_.now()) return;
  if (link.cut_until > clock_.now()) return;
  const std::uint64_t generation = link.generation;
  Transmit(
      link, link.last_to_dispatcher, dispatchers_[dispatcher]->frozen_until, Duration(0),
      [this, supervisor, dispatcher, generation, report = ReportOf(supervisor, dispatcher),
       evacuation = agent.core->evacuation()] {
        HandleInTurn(
            dispatcher, options_.message_cost,
            [this, supervisor, dispatcher, generation, arrived = clock_.now(), report, evacuation] {
              Link& to = LinkOf(dispatcher, supervisor);
              if (to.generation != generation) return;
              to.dispatcher_heard = clock_.now();
              const std::string agent_id = "agent-" + std::to_string(supervisor);
              const Duration delay = clock_.now() - arrived;
              dispatchers_[dispatcher]->report_pace.OnMessage(delay, clock_.now());
              dispatchers_[dispatcher]->backlog.OnMessage(agent_id, delay, clock_.now());
              core::JobScheduler& scheduler = *dispatchers_[dispatcher]->scheduler;
              TakeEvacuation(dispatcher, evacuation);
              scheduler.OnReport(agent_id, report);
              scheduler.Place();
              CarryOutDispatcher(dispatcher);
            });
      });
}

// --- Supervisors

void LeaseWorld::StartSupervisor(std::size_t index) {
  Supervisor& supervisor = *supervisors_[index];
  ++supervisor.incarnation;
  core::RunSupervisor::Options options;
  options.fencing_token = supervisor.incarnation;
  options.availability_zone = ZoneOf(index);
  supervisor.core = std::make_unique<core::RunSupervisor>(options, clock_, supervisor.vm_clock);
  supervisor.audience =
      std::make_unique<core::ReportAudience>(options_.audience, "agent-" + std::to_string(index));
}

void LeaseWorld::Announce(std::size_t executor) {
  After(kAnnouncePeriod, [this, executor] { Announce(executor); });
  Supervisor& supervisor = *supervisors_[executor];
  if (!supervisor.core || supervisor.frozen_until > clock_.now() || IsCut(executor) ||
      IsDown(executor)) {
    return;
  }
  supervisor.core->OnExecutorStatus(executors_[executor]->Status());
  CarryOutSupervisor(executor);
}

void LeaseWorld::CarryOutSupervisor(std::size_t index) {
  bool room_changed = false;
  bool report = false;
  std::set<std::size_t> informed;
  for (core::SupervisorAction& action : supervisors_[index]->core->TakeActions()) {
    if (const auto* stopping = std::get_if<core::RunStopping>(&action)) {
      const auto unheard = std::chrono::duration_cast<milliseconds>(stopping->unheard).count();
      Trace(stopping->id, "is stopped by agent-" + std::to_string(index) + ", " +
                              std::string(core::NameOf(stopping->reason)) + ", its dispatcher " +
                              "unheard for " + std::to_string(unheard) + " ms");
    }
    if (const auto* found = std::get_if<core::UnconfirmedRunFound>(&action)) {
      Trace(found->id, "is found by agent-" + std::to_string(index) +
                           (found->was_reported ? ", reported before" : ""));
    }
    if (const auto* start = std::get_if<core::CallStart>(&action)) {
      CallExecutor(index, *start);
    } else if (const auto* stop = std::get_if<core::CallStop>(&action)) {
      CallExecutor(index, *stop);
    } else if (const auto* hold = std::get_if<core::CallHold>(&action)) {
      CallExecutor(index, *hold);
    } else if (const auto* update = std::get_if<core::RunUpdate>(&action)) {
      room_changed = true;
      if (!HasStarted(update->outcome)) ++refused_starts_;
      Trace(update->id, "is over for agent-" + std::to_string(index) + ": " +
                            std::string(core::NameOf(update->outcome)));
      const std::size_t d = IndexOf(update->owner);
      Link& link = LinkOf(d, index);
      if (link.owner != update->owner) continue;
      if (!link.connected) {
        link.pending.push_back(*update);
        continue;
      }
      informed.insert(d);
      Transmit(link, link.last_to_dispatcher, dispatchers_[d]->frozen_until, Duration(0),
               [this, index, d, generation = link.generation, update = *update] {
                 // In one message with the report that follows.
                 HandleInTurn(d, Duration(0), [this, index, d, generation, update] {
                   if (LinkOf(d, index).generation != generation) return;
                   dispatchers_[d]->scheduler->OnRunUpdate(
                       "agent-" + std::to_string(index), update.id, update.outcome, update.elapsed);
                 });
               });
    } else if (std::holds_alternative<core::ReportChanged>(action)) {
      report = true;
    }
  }
  if (room_changed) SendReportsToClose(index);
  for (const std::size_t d : informed) SendReport(index, d);
  if (report) SendReports(index);
}

void LeaseWorld::SendReports(std::size_t supervisor) {
  for (std::size_t d = 0; d < dispatchers_.size(); ++d) SendReport(supervisor, d);
}

void LeaseWorld::SendReportsToClose(std::size_t supervisor) {
  Supervisor& agent = *supervisors_[supervisor];
  for (const std::string& id : agent.audience->close()) {
    agent.schedule.AddChange(id, agent.audience->pause(), clock_.now());
  }
  SendDueReports(supervisor);
}

void LeaseWorld::SendDueReports(std::size_t supervisor) {
  Supervisor& agent = *supervisors_[supervisor];
  if (!agent.core) return;
  for (const std::string& id : agent.schedule.DueAt(clock_.now())) {
    SendReport(supervisor, IndexOf(id));
    agent.schedule.OnReportSent(id, clock_.now());
  }
  const std::optional<TimePoint> due = agent.schedule.next_due();
  if (!due || (agent.report_timer_end && *agent.report_timer_end <= *due)) return;
  agent.report_timer_end = due;
  After(*due - clock_.now(), [this, supervisor, due] {
    Supervisor& of = *supervisors_[supervisor];
    if (of.report_timer_end != due) return;
    of.report_timer_end.reset();
    SendDueReports(supervisor);
  });
}

bool LeaseWorld::LosesAnswer(std::size_t executor) {
  return std::uniform_real_distribution<>(0, 1)(random_) < lost_answers_ || IsCut(executor);
}

Duration LeaseWorld::DelayOfLostCall(std::size_t executor) {
  if (IsCut(executor)) {
    return executors_cut_until_[executor] - clock_.now() +
           milliseconds(std::uniform_int_distribution<>(1, 4000)(fault_random_));
  }
  const bool at_once = std::uniform_real_distribution<>(0, 1)(random_) < kShareDoneAtOnce;
  return milliseconds(at_once ? 1 : std::uniform_int_distribution<>(2000, 12000)(random_));
}

bool LeaseWorld::IsLate(double share) {
  return share > 0 && std::uniform_real_distribution<>(0, 1)(fault_random_) < share;
}

Duration LeaseWorld::DelayOfLateCall() {
  return milliseconds(std::uniform_int_distribution<>(2000, 12000)(fault_random_));
}

void LeaseWorld::CarryOutLate(std::size_t executor, core::CallStart call) {
  const core::ExecutorTime lease = call.lease_until - executors_[executor]->clock();
  After(DelayOfLateCall(), [this, executor, call = std::move(call), lease]() mutable {
    if (IsDown(executor)) return;
    call.lease_until = executors_[executor]->clock() + lease;
    executors_[executor]->Start(call);
  });
}

void LeaseWorld::CarryOutLate(std::size_t executor, core::CallHold call) {
  const core::ExecutorTime clock = executors_[executor]->clock();
  const core::ExecutorTime lease = call.lease_until.value_or(clock) - clock;
  After(DelayOfLateCall(), [this, executor, call = std::move(call), lease, sent = clock]() mutable {
    SimulatedExecutor& on = *executors_[executor];
    if (IsDown(executor)) return;
    const core::ExecutorTime before = on.lease_until();
    if (call.lease_until) call.lease_until = on.clock() + lease;
    on.Hold(call);
    if (on.lease_until() == before) return;
    const std::string what = "the lease on executor " + std::to_string(executor) + " grows by " +
                             std::to_string((on.lease_until() - before).count()) +
                             " ms, by a call sent " + std::to_string((on.clock() - sent).count()) +
                             " ms ago";
    for (const auto& [task, at] : running_) {
      if (at == executor) Trace(task.job_id, what);
    }
  });
}

void LeaseWorld::CallExecutor(std::size_t index, const core::CallStart& call) {
  ++start_calls_;
  Supervisor& supervisor = *supervisors_[index];
  const std::uint64_t incarnation = supervisor.incarnation;
  const auto answer = [this, index, incarnation, id = call.id](
                          core::StartAnswer answered, std::optional<core::ExecutorTime> clock) {
    Supervisor& to = *supervisors_[index];
    if (!to.core || to.incarnation != incarnation) return;
    if (answered == core::StartAnswer::kFenced) ++fenced_starts_;
    to.core->OnStartAnswer(id, answered, clock);
    CarryOutSupervisor(index);
  };
  if (!IsCut(index) && IsLate(late_calls_.starts)) {
    CarryOutLate(index, call);
    return Deliver(supervisor.frozen_until, call.answer_limit,
                   [answer] { answer(core::StartAnswer::kNone, std::nullopt); });
  }
  if (LosesAnswer(index)) {
    Deliver(executors_cut_until_[index], DelayOfLostCall(index), [this, index, call] {
      AtExecutor(index, Duration(0), [this, index, call] { executors_[index]->Start(call); });
    });
    return Deliver(supervisor.frozen_until, call.answer_limit,
                   [answer] { answer(core::StartAnswer::kNone, std::nullopt); });
  }
  AtExecutor(index, options_.executor_delay, [this, index, call, answer] {
    if (IsDown(index)) {
      NoteRefusedConnection(index);
      return answer(core::StartAnswer::kNone, std::nullopt);
    }
    const core::StartAnswer answered = executors_[index]->Start(call);
    Deliver(supervisors_[index]->frozen_until, options_.executor_delay,
            [answer, answered, clock = executors_[index]->clock()] { answer(answered, clock); });
  });
}

void LeaseWorld::CallExecutor(std::size_t index, const core::CallStop& call) {
  Supervisor& supervisor = *supervisors_[index];
  const std::uint64_t incarnation = supervisor.incarnation;
  const bool is_refused = IsDown(index);
  const bool is_late = !is_refused && !IsCut(index) && IsLate(late_calls_.stops);
  const bool lost = is_late || LosesAnswer(index) || is_refused;
  const Duration carried_out = lost ? DelayOfLostCall(index) : options_.executor_delay;
  Deliver(executors_cut_until_[index], is_late ? DelayOfLateCall() : carried_out,
          [this, index, call, is_refused] {
            if (is_refused) return;
            AtExecutor(index, Duration(0), [this, index, call] { executors_[index]->Stop(call); });
          });
  const Duration delay = lost && !is_refused ? Duration(core::RunSupervisor::Options().answer_limit)
                                             : options_.executor_delay * 2;
  Deliver(supervisor.frozen_until, delay,
          [this, index, incarnation, id = call.id, lost, is_refused] {
            Supervisor& to = *supervisors_[index];
            if (!to.core || to.incarnation != incarnation) return;
            if (is_refused) NoteRefusedConnection(index);
            to.core->OnStopAnswer(id, !lost);
            CarryOutSupervisor(index);
          });
}

void LeaseWorld::CallExecutor(std::size_t index, const core::CallHold& call) {
  const std::uint64_t incarnation = supervisors_[index]->incarnation;
  if (!IsCut(index) && IsLate(late_calls_.holds)) {
    CarryOutLate(index, call);
    return Deliver(supervisors_[index]->frozen_until,
                   call.wait + core::RunSupervisor::Options().answer_limit,
                   [this, index, incarnation, number = call.number] {
                     Supervisor& to = *supervisors_[index];
                     if (!to.core || to.incarnation != incarnation) return;
                     to.core->OnHoldAnswer(number, std::nullopt);
                     CarryOutSupervisor(index);
                   });
  }
  AtExecutor(index, options_.executor_delay, [this, index, call, incarnation] {
    WaitForEnd(index, call, clock_.now() + call.wait, incarnation);
  });
}

void LeaseWorld::WaitForEnd(std::size_t index, const core::CallHold& call, TimePoint until,
                            std::uint64_t incarnation) {
  if (IsDown(index)) {
    return Deliver(supervisors_[index]->frozen_until, options_.executor_delay,
                   [this, index, incarnation, number = call.number] {
                     Supervisor& to = *supervisors_[index];
                     if (!to.core || to.incarnation != incarnation) return;
                     NoteRefusedConnection(index);
                     to.core->OnHoldAnswer(number, std::nullopt);
                     CarryOutSupervisor(index);
                   });
  }
  const bool is_cut = IsCut(index);
  core::HoldAnswer answer;
  if (is_cut) {
    Deliver(executors_cut_until_[index], DelayOfLostCall(index), [this, index, call] {
      AtExecutor(index, Duration(0), [this, index, call] { executors_[index]->Hold(call); });
    });
  } else {
    answer = executors_[index]->Hold(call);
  }
  if (!is_cut && answer.ended.empty() && clock_.now() < until) {
    return AtExecutor(index, milliseconds(1), [this, index, call, until, incarnation] {
      WaitForEnd(index, call, until, incarnation);
    });
  }
  const bool lost = LosesAnswer(index) || is_cut;
  const Duration delay =
      lost ? Duration(core::RunSupervisor::Options().answer_limit) : options_.executor_delay;
  Deliver(supervisors_[index]->frozen_until, delay,
          [this, index, incarnation, number = call.number, answer, lost] {
            Supervisor& to = *supervisors_[index];
            if (!to.core || to.incarnation != incarnation) return;
            to.core->OnHoldAnswer(number, lost ? std::nullopt : std::optional(answer));
            CarryOutSupervisor(index);
          });
}

// --- Dispatchers

void LeaseWorld::StartDispatcher(std::size_t index) {
  core::JobScheduler::Options options = options_.scheduler;
  options.availability_zone = "zone-" + std::to_string(index % options_.zones);
  options.placement_seed = static_cast<std::uint32_t>(index + 1);
  dispatchers_[index]->scheduler =
      std::make_unique<core::JobScheduler>(options, dispatchers_[index]->clock);
  dispatchers_[index]->scheduler->OnInputHandled(clock_.now());
  // A dispatcher serves nothing before it knows the zones.
  if (dispatchers_[index]->store_cut_until <= clock_.now()) {
    TakeEvacuation(index, evacuation_);
  } else {
    ReadEvacuation(index, Duration(0));
  }
}

// --- Evacuated zones

std::string LeaseWorld::ZoneOf(std::size_t executor) const {
  return "zone-" + std::to_string(executor % options_.zones);
}

void LeaseWorld::EvacuateZones(std::set<std::size_t> zones, Duration at) {
  At(at, [this, zones = std::move(zones)] {
    core::EvacuationState next{.version = evacuation_.version + 1, .zones = {}};
    for (const std::size_t zone : zones) next.zones.insert(ZoneOf(zone));
    std::erase_if(evacuated_since_,
                  [&next](const auto& entry) { return !next.zones.contains(entry.first); });
    for (const std::string& zone : next.zones) evacuated_since_.try_emplace(zone, clock_.now());
    evacuation_ = std::move(next);
    for (std::size_t d = 0; d < dispatchers_.size(); ++d) {
      ReadEvacuation(
          d, milliseconds(std::uniform_int_distribution<>(1, kMaxFeedDelayMs)(fault_random_)));
    }
  });
}

void LeaseWorld::ReadEvacuation(std::size_t dispatcher, Duration delay) {
  const TimePoint cut_until = dispatchers_[dispatcher]->store_cut_until;
  if (cut_until > clock_.now() + delay) delay = cut_until - clock_.now() + delay;
  Deliver(dispatchers_[dispatcher]->frozen_until, delay, [this, dispatcher] {
    if (dispatchers_[dispatcher]->store_cut_until > clock_.now()) {
      return ReadEvacuation(dispatcher, Duration(0));
    }
    TakeEvacuation(dispatcher, evacuation_);
  });
}

void LeaseWorld::TakeEvacuation(std::size_t dispatcher, const core::EvacuationState& state) {
  if (dispatcher < options_.earlier_dispatchers) return;
  if (!dispatchers_[dispatcher]->scheduler->OnEvacuation(state)) return;
  for (std::size_t s = 0; s < supervisors_.size(); ++s) SendEvacuation(dispatcher, s);
}

void LeaseWorld::SendEvacuation(std::size_t dispatcher, std::size_t supervisor) {
  Link& link = LinkOf(dispatcher, supervisor);
  if (!link.connected) return;
  Transmit(link, link.last_to_supervisor, supervisors_[supervisor]->frozen_until,
           supervisors_[supervisor]->delay,
           [this, dispatcher, supervisor, generation = link.generation,
            state = dispatchers_[dispatcher]->scheduler->evacuation()] {
             Supervisor& to = *supervisors_[supervisor];
             if (LinkOf(dispatcher, supervisor).generation != generation || !to.core) return;
             if (!to.core->OnEvacuation(state)) return;
             CarryOutSupervisor(supervisor);
             SendReports(supervisor);
           });
}

void LeaseWorld::CutStore(std::size_t dispatcher, Duration at, Duration length) {
  At(at, [this, dispatcher, length] { Extend(dispatchers_[dispatcher]->store_cut_until, length); });
}

// --- Callers

void LeaseWorld::Add(SimulatedJob job) {
  const std::string id = job.request.id;
  const Duration arrives = job.arrives;
  work_.emplace(id, std::move(job));
  At(arrives, [this, id] {
    callers_[id].dispatcher = records_[id].dispatcher = work_.at(id).dispatcher;
    SendCopy(id);
  });
}

TimePoint LeaseWorld::DeadlineOf(const SimulatedJob& job) const {
  // Callers give how long they wait; the record counts from the first sending.
  return start_ + job.arrives + (job.request.deadline - TimePoint());
}

void LeaseWorld::SendCopy(const std::string& id) {
  Caller& caller = callers_.at(id);
  const std::size_t to = caller.dispatcher;
  if (dispatchers_[to]->down_until > clock_.now()) return SendAgain(id, options_.link_delay);
  ++records_.at(id).copies;
  records_.at(id).reply.reset();
  caller.is_waiting = true;
  caller.is_read = false;
  const TimePoint cut_until = dispatchers_[to]->callers_cut_until;
  caller.is_held = cut_until > clock_.now();
  Trace(id, "copy " + std::to_string(caller.copy + 1) + " is sent to " + NameOf(to));
  const std::size_t copy = ++caller.copy;
  if (options_.caller_patience > Duration(0)) {
    After(options_.caller_patience, [this, id, copy] { LeaveConnection(id, copy); });
  }
  DeliverCopy(id, to, copy, caller.is_held, clock_.now());
}

Duration LeaseWorld::ResendTime(Duration earliest) const {
  if (options_.caller_patience == Duration(0)) return earliest + kResendDelay;
  Duration time = kMinResendTime;
  while (time < earliest) time = time * 2 + kMinResendTime;
  return time;
}

void LeaseWorld::DeliverCopy(const std::string& id, std::size_t dispatcher, std::size_t copy,
                             bool is_held, TimePoint sent) {
  const Dispatcher& to = *dispatchers_[dispatcher];
  const std::uint64_t process = to.incarnation;
  if (is_held && to.callers_cut_until > clock_.now()) {
    const Duration waited = clock_.now() - sent;
    const Duration arrives = ResendTime(to.callers_cut_until - sent);
    return After(arrives - waited, [this, id, dispatcher, copy, process, sent] {
      if (dispatchers_[dispatcher]->incarnation != process) return;
      DeliverCopy(id, dispatcher, copy, true, sent);
    });
  }
  Deliver(to.frozen_until, Duration(0), [this, id, dispatcher, copy, process, sent] {
    HandleInTurn(dispatcher, options_.message_cost, [this, id, dispatcher, copy, process, sent] {
      if (dispatchers_[dispatcher]->incarnation == process) ReadCopy(id, dispatcher, copy, sent);
    });
  });
}

Duration LeaseWorld::CloseDelay() const {
  if (options_.close_arrival == CloseArrival::kRoundTrip) return options_.link_delay * 2;
  if (options_.close_arrival == CloseArrival::kAfterLoss) {
    return kMinResendTime + options_.link_delay * 2;
  }
  return Duration(0);
}

void LeaseWorld::ReadCopy(const std::string& id, std::size_t dispatcher, std::size_t copy,
                          TimePoint sent) {
  Dispatcher& by = *dispatchers_[dispatcher];
  Caller& caller = callers_.at(id);
  const bool is_open = caller.copy == copy && caller.is_waiting;
  if (!is_open && options_.drop_unread_copies && IsKnownClosed(caller, copy)) {
    return Trace(id, "copy " + std::to_string(copy) + " is dropped by " + NameOf(dispatcher));
  }
  by.scheduler->OnCallerRequest();
  if (caller.left_copies.contains(copy)) {
    if (options_.close_arrival == CloseArrival::kSameRead) {
      return Trace(id, "copy " + std::to_string(copy) + " is refused by " + NameOf(dispatcher));
    }
    After(CloseDelay(), [this, id, dispatcher, copy] { SendClose(id, dispatcher, copy); });
  }
  Trace(id, "copy " + std::to_string(copy) + " is read by " + NameOf(dispatcher));
  if (is_open) caller.is_read = true;
  if (const auto reply = by.scheduler->Remembered(id)) return NoteReply(id, copy, *reply);
  const SimulatedJob& job = work_.at(id);
  core::JobRequest request = job.request;
  request.deadline = DeadlineOf(job);
  request.arrived = clock_.now() - by.backlog.delay(clock_.now());
  if (options_.drop_unread_copies) request.connection_used_at = sent;
  by.waiting[id].insert(copy);
  by.scheduler->OnJob(std::move(request));
  by.scheduler->Place();
  CarryOutDispatcher(dispatcher);
}

bool LeaseWorld::IsKnownClosed(const Caller& caller, std::size_t copy) const {
  const auto close = caller.closes.find(copy);
  // Connections that end otherwise were answered.
  return close == caller.closes.end() || close->second <= clock_.now();
}

void LeaseWorld::SendClose(const std::string& id, std::size_t dispatcher, std::size_t copy) {
  Dispatcher& to = *dispatchers_[dispatcher];
  if (to.callers_cut_until > clock_.now()) {
    return After(to.closes_held_until - clock_.now(),
                 [this, id, dispatcher, copy] { SendClose(id, dispatcher, copy); });
  }
  Deliver(to.frozen_until, Duration(0), [this, id, dispatcher, copy] {
    Dispatcher& by = *dispatchers_[dispatcher];
    if (options_.close_cost == Duration(0)) {
      return HandleInTurn(dispatcher, Duration(0),
                          [this, id, dispatcher, copy] { OnCallerClosed(id, dispatcher, copy); });
    }
    by.closes.push_back({.id = id, .copy = copy});
    if (by.closes.size() == 1) HandleCloses(dispatcher);
  });
}

void LeaseWorld::HandleCloses(std::size_t dispatcher) {
  const std::size_t count =
      std::min(dispatchers_[dispatcher]->closes.size(), options_.closes_per_turn);
  const auto cost = options_.close_cost * static_cast<std::int64_t>(count);
  HandleInTurn(dispatcher, cost, [this, dispatcher, count] {
    std::deque<Dispatcher::Close>& closes = dispatchers_[dispatcher]->closes;
    for (std::size_t i = 0; i < count && !closes.empty(); ++i) {
      const Dispatcher::Close close = std::move(closes.front());
      closes.pop_front();
      OnCallerClosed(close.id, dispatcher, close.copy);
    }
    if (!closes.empty()) HandleCloses(dispatcher);
  });
}

void LeaseWorld::OnCallerClosed(const std::string& id, std::size_t dispatcher, std::size_t copy) {
  Dispatcher& by = *dispatchers_[dispatcher];
  const auto waiting = by.waiting.find(id);
  if (waiting == by.waiting.end() || waiting->second.erase(copy) == 0) return;
  if (!waiting->second.empty()) return;
  by.waiting.erase(waiting);
  if (!by.scheduler->Knows(id)) by.left_before_answer.insert(id);
  by.scheduler->OnCancel(id);
  CarryOutDispatcher(dispatcher);
}

void LeaseWorld::BreakConnection(const std::string& id) {
  Caller& caller = callers_.at(id);
  caller.is_waiting = false;
  const Dispatcher& dispatcher = *dispatchers_[caller.dispatcher];
  const bool is_cut = dispatcher.callers_cut_until > clock_.now();
  Trace(id, "copy " + std::to_string(caller.copy) + " breaks, " +
                (caller.is_read ? "read" : "not read") + (is_cut ? ", in a cut" : ""));
  // A request that was sent in the cut comes together with the close.
  caller.closes[caller.copy] =
      is_cut && !caller.is_held ? dispatcher.closes_held_until : clock_.now();
  SendClose(id, caller.dispatcher, caller.copy);
  SendAgain(id, caller.is_read || is_cut ? Duration(kCallerResendDelay) : Duration(0));
}

void LeaseWorld::LeaveConnection(const std::string& id, std::size_t copy) {
  Caller& caller = callers_.at(id);
  if (caller.copy != copy || !caller.is_waiting) return;
  Trace(id,
        "copy " + std::to_string(copy) + " is given up, " + (caller.is_read ? "read" : "not read"));
  caller.is_waiting = false;
  if (caller.is_read) {
    caller.closes[copy] = clock_.now();
    SendClose(id, caller.dispatcher, copy);
  } else {
    caller.closes[copy] = TimePoint::max();
    caller.left_copies.insert(copy);
  }
  SendAgain(id, kCallerResendDelay);
}

void LeaseWorld::SendAgain(const std::string& id, Duration delay) {
  if (clock_.now() + delay >= DeadlineOf(work_.at(id))) {
    records_.at(id).given_up = true;
    return;
  }
  After(delay, [this, id] {
    const std::size_t others = dispatchers_.size() - 1;
    Caller& caller = callers_.at(id);
    if (others > 0) caller.dispatcher += 1 + fault_random_() % others;
    caller.dispatcher %= dispatchers_.size();
    SendCopy(id);
  });
}

void LeaseWorld::CarryOutDispatcher(std::size_t index) {
  const Dispatcher& by = *dispatchers_[index];
  if (by.clock.stands_until() > clock_.now()) {
    return After(by.clock.stands_until() - clock_.now(), [this, index, process = by.incarnation] {
      if (dispatchers_[index]->incarnation == process) CarryOutDispatcher(index);
    });
  }
  for (core::SchedulerAction& action : dispatchers_[index]->scheduler->TakeActions()) {
    if (const auto* answer = std::get_if<core::AnswerJob>(&action)) {
      records_.at(answer->answer.job_id).held_late = answer->held_late;
      const auto found = dispatchers_[index]->waiting.extract(answer->answer.job_id);
      const bool is_cancelled = answer->answer.reason == core::JobReason::kCancelled;
      Trace(answer->answer.job_id, NameOf(index) + " answers " +
                                       std::string(core::NameOf(answer->answer.result)) + ", " +
                                       std::string(core::NameOf(answer->answer.reason)));
      // Like the daemon, the world drops an answer whose callers left before it was handled.
      const bool has_left =
          dispatchers_[index]->left_before_answer.erase(answer->answer.job_id) > 0;
      if (found.empty() && !is_cancelled && !has_left) {
        Violate(answer->answer.job_id + " is answered twice");
      }
      if (found.empty()) continue;
      const bool is_refusal = answer->answer.result == core::JobResult::kRefused;
      if (is_refusal && options_.on_refusal) options_.on_refusal(index, answer->answer);
      for (const std::size_t copy : found.mapped()) {
        NoteReply(answer->answer.job_id, copy, answer->answer);
      }
      continue;
    }
    if (const auto* start = std::get_if<core::StartTasks>(&action)) {
      SendAction(index, start->agent_id, action);
    } else if (const auto* stop = std::get_if<core::StopTask>(&action)) {
      SendAction(index, stop->agent_id, action);
    } else if (const auto* job = std::get_if<core::SupersedeJob>(&action)) {
      for (const std::string& agent_id : job->agent_ids) SendAction(index, agent_id, action);
    }
  }
}

void LeaseWorld::SendAction(std::size_t index, const std::string& agent_id,
                            const core::SchedulerAction& action) {
  const std::size_t s = IndexOf(agent_id);
  Link& link = LinkOf(index, s);
  TraceOrder(index, action, link.connected);
  if (!link.connected) return;
  Transmit(
      link, link.last_to_supervisor, supervisors_[s]->frozen_until, supervisors_[s]->delay,
      [this, index, s, generation = link.generation,
       handled = dispatchers_[index]->scheduler->InputHandled(), action] {
        Supervisor& to = *supervisors_[s];
        if (LinkOf(index, s).generation != generation || !to.core) return;
        const std::string owner = OwnerOf(index);
        to.core->OnOwnerHeard(owner, handled);
        if (const auto* stop = std::get_if<core::StopTask>(&action)) {
          to.core->OnStopOrder(owner, stop->id);
        }
        if (const auto* job = std::get_if<core::SupersedeJob>(&action)) {
          Trace(job->job_id, "agent-" + std::to_string(s) + " stops it for " + owner);
          to.core->OnJobSuperseded(owner, job->job_id);
          SendReport(s, index);
        }
        if (const auto* start = std::get_if<core::StartTasks>(&action)) {
          for (const auto& each : start->starts) {
            Trace(start->job_id, "agent-" + std::to_string(s) + " takes the order of task " +
                                     std::to_string(each.index));
            to.core->OnOrder(
                owner,
                {.id = {.task = {.job_id = start->job_id, .step = start->step, .index = each.index},
                        .run = each.run},
                 .spec = start->spec,
                 .need = start->need,
                 .estimate = start->estimate,
                 .expires = start->expires,
                 .job_received = start->job_received,
                 .at_once = start->at_once,
                 .rank = start->rank,
                 .urgent = start->urgent});
          }
          LinkOf(index, s).orders_seen = start->order;
          SendReportsToClose(s);
          SendReport(s, index);
        }
        CarryOutSupervisor(s);
      });
}

// --- Faults

void LeaseWorld::CutLink(std::size_t dispatcher, std::size_t supervisor, Duration at,
                         Duration length) {
  At(at, [this, dispatcher, supervisor, length] {
    Extend(LinkOf(dispatcher, supervisor).cut_until, length);
  });
}

void LeaseWorld::SilenceLink(std::size_t dispatcher, std::size_t supervisor, Duration at) {
  At(at, [this, dispatcher, supervisor] {
    Link& link = LinkOf(dispatcher, supervisor);
    link.silent_generation = link.generation;
  });
}

void LeaseWorld::KillSupervisor(std::size_t supervisor, Duration at, Duration down) {
  At(at, [this, supervisor] {
    supervisors_[supervisor]->core.reset();
    for (std::size_t d = 0; d < dispatchers_.size(); ++d) {
      Link& link = LinkOf(d, supervisor);
      link.connected = false;
      link.pending.clear();
      ++link.generation;
      dispatchers_[d]->scheduler->OnAgentDetached("agent-" + std::to_string(supervisor));
    }
  });
  At(at + down, [this, supervisor] {
    if (!supervisors_[supervisor]->core) StartSupervisor(supervisor);
  });
}

void LeaseWorld::FreezeSupervisor(std::size_t supervisor, Duration at, Duration length) {
  At(at, [this, supervisor, length] {
    supervisors_[supervisor]->frozen_until = clock_.now() + length;
  });
}

void LeaseWorld::SuspendVm(std::size_t supervisor, Duration at, Duration length) {
  At(at, [this, supervisor, length] {
    // A suspension that begins in another one is a part of it.
    if (executors_suspended_until_[supervisor] > clock_.now()) return;
    Extend(supervisors_[supervisor]->frozen_until, length);
    executors_suspended_until_[supervisor] = clock_.now() + length;
    executors_[supervisor]->Suspend();
    After(length, [this, supervisor, length] {
      executors_[supervisor]->Resume();
      supervisors_[supervisor]->vm_clock.AddSuspension(length);
    });
  });
}

void LeaseWorld::FreezeDispatcher(std::size_t dispatcher, Duration at, Duration length) {
  At(at, [this, dispatcher, length] {
    Dispatcher& frozen = *dispatchers_[dispatcher];
    // A process that is down does not come back sooner.
    frozen.frozen_until = std::max(clock_.now() + length, frozen.down_until);
  });
}

void LeaseWorld::FreezeDispatcherInPass(std::size_t dispatcher, Duration at, Duration length,
                                        std::size_t clock_reads) {
  At(at, [this, dispatcher, length, clock_reads] {
    dispatchers_[dispatcher]->clock.StandStill(clock_reads, length);
  });
}

void LeaseWorld::KillDispatcher(std::size_t dispatcher, Duration at, Duration down) {
  At(at, [this, dispatcher, down] {
    Dispatcher& killed = *dispatchers_[dispatcher];
    ++killed.incarnation;
    killed.down_until = killed.frozen_until = clock_.now() + down;
    killed.clock.Reset();
    killed.inbox.clear();
    killed.closes.clear();
    killed.waiting.clear();
    StartDispatcher(dispatcher);
    for (std::size_t s = 0; s < supervisors_.size(); ++s) ResetLink(dispatcher, s);
    for (const auto& [id, caller] : callers_) {
      if (caller.is_waiting && caller.dispatcher == dispatcher) BreakConnection(id);
    }
  });
  // What the process knows and how long it has run counts from its start.
  At(at + down, [this, dispatcher] {
    if (dispatchers_[dispatcher]->down_until == clock_.now()) StartDispatcher(dispatcher);
  });
}

void LeaseWorld::RefuseConnections(std::size_t dispatcher, Duration at, Duration length) {
  At(at, [this, dispatcher, length] {
    for (std::size_t s = 0; s < supervisors_.size(); ++s) {
      Extend(LinkOf(dispatcher, s).refused_until, length);
      dispatchers_[dispatcher]->scheduler->OnAgentDetached("agent-" + std::to_string(s));
      ResetLink(dispatcher, s);
    }
  });
}

void LeaseWorld::ResetLink(std::size_t dispatcher, std::size_t supervisor) {
  Link& link = LinkOf(dispatcher, supervisor);
  link.connected = false;
  ++link.generation;
  Supervisor& agent = *supervisors_[supervisor];
  if (agent.core) agent.audience->Remove(NameOf(dispatcher));
  Deliver(supervisors_[supervisor]->frozen_until, kReconnectDelay,
          [this, dispatcher, supervisor, owner = link.owner] {
            const Link& to = LinkOf(dispatcher, supervisor);
            const bool is_cut = to.cut_until > clock_.now();
            if (is_cut || to.connected || to.owner != owner || owner.empty()) return;
            if (!supervisors_[supervisor]->core) return;
            supervisors_[supervisor]->core->OnOwnerRefuses(owner);
            CarryOutSupervisor(supervisor);
          });
}

void LeaseWorld::ResetCallers(std::size_t dispatcher, Duration at, double share) {
  At(at, [this, dispatcher, share] {
    for (const auto& [id, caller] : callers_) {
      if (!caller.is_waiting || caller.dispatcher != dispatcher) continue;
      if (std::uniform_real_distribution<>(0, 1)(fault_random_) < share) BreakConnection(id);
    }
  });
}

void LeaseWorld::CutCallers(std::size_t dispatcher, Duration at, Duration length, Duration late) {
  At(at, [this, dispatcher, length, late] {
    Extend(dispatchers_[dispatcher]->callers_cut_until, length);
    Extend(dispatchers_[dispatcher]->closes_held_until, length + late);
  });
}

void LeaseWorld::SlowExecutor(std::size_t executor, double slowness, Duration at, Duration length) {
  At(at, [this, executor, slowness] { executors_[executor]->set_slowness(slowness); });
  At(at + length, [this, executor] { executors_[executor]->set_slowness(1); });
}

void LeaseWorld::FailExecutor(std::size_t executor, Duration at, Duration length) {
  At(at, [this, executor] { executors_[executor]->set_failing(true); });
  At(at + length, [this, executor] { executors_[executor]->set_failing(false); });
}

void LeaseWorld::CutExecutor(std::size_t executor, Duration at, Duration length, bool restarts) {
  At(at, [this, executor, length] { Extend(executors_cut_until_[executor], length); });
  if (restarts) RestartExecutor(executor, at + length / 2);
}

void LeaseWorld::LoseAnswers(double share, Duration at, Duration length) {
  At(at, [this, share] { lost_answers_ = share; });
  At(at + length, [this] { lost_answers_ = options_.lost_answers; });
}

void LeaseWorld::DelayCalls(const LateCalls& shares, Duration at, Duration length) {
  At(at, [this, shares] { late_calls_ = shares; });
  At(at + length, [this] { late_calls_ = {}; });
}

void LeaseWorld::DelaySupervisor(std::size_t supervisor, Duration delay, Duration at,
                                 Duration length) {
  At(at, [this, supervisor, delay] { supervisors_[supervisor]->delay = delay; });
  At(at + length, [this, supervisor] { supervisors_[supervisor]->delay = {}; });
}

void LeaseWorld::Crash(std::size_t executor, const core::RunId& cause) {
  const auto running = running_.find(cause.task);
  if (running == running_.end() || running->second != executor) return;
  ++crashes_[cause.task];
  executors_[executor]->Restart();
  executors_down_until_[executor] = clock_.now() + kCrashDownTime;
}

void LeaseWorld::NoteRefusedConnection(std::size_t executor) {
  if (supervisors_[executor]->core) supervisors_[executor]->core->OnConnectionRefused();
}

const core::JobScheduler& LeaseWorld::scheduler(std::size_t dispatcher) const {
  return *dispatchers_[dispatcher]->scheduler;
}

core::Resources LeaseWorld::RoomOf(std::size_t executor) const {
  const Supervisor& of = *supervisors_[executor];
  return of.core && of.core->accepting() ? of.core->free_room() : core::Resources();
}

std::size_t LeaseWorld::most_crashes_of_a_task() const {
  std::size_t most = 0;
  for (const auto& [task, crashes] : crashes_) most = std::max(most, crashes);
  return most;
}

void LeaseWorld::RestartExecutor(std::size_t executor, Duration at) {
  At(at, [this, executor] { executors_[executor]->Restart(); });
}

// --- Judgement

void LeaseWorld::Trace(const std::string& job_id, const std::string& what) {
  if (job_id != options_.traced_job || job_id.empty()) return;
  const double seconds = std::chrono::duration<double>(Elapsed()).count();
  trace_.push_back(std::to_string(seconds) + " s: " + what);
}

void LeaseWorld::Trace(const core::RunId& id, const std::string& what) {
  if (id.task.job_id != options_.traced_job) return;
  Trace(id.task.job_id,
        "task " + std::to_string(id.task.index) + " run " + std::to_string(id.run) + " " + what);
}

void LeaseWorld::TraceOrder(std::size_t dispatcher, const core::SchedulerAction& action,
                            bool is_sent) {
  const std::string suffix = is_sent ? "" : ", not connected";
  const auto trace = [&](const core::RunId& id, const std::string& agent_id,
                         const std::string& what) {
    Trace(id, "is " + what + " by " + NameOf(dispatcher) + " at " + agent_id + suffix);
  };
  if (const auto* stop = std::get_if<core::StopTask>(&action)) {
    trace(stop->id, stop->agent_id, "ordered to stop");
  }
  const auto* start = std::get_if<core::StartTasks>(&action);
  if (start == nullptr) return;
  for (const core::StartTasks::Start& each : start->starts) {
    trace({.task = {.job_id = start->job_id, .step = start->step, .index = each.index},
           .run = each.run},
          start->agent_id, "ordered");
  }
}

void LeaseWorld::Violate(const std::string& what) {
  const double seconds = std::chrono::duration<double>(Elapsed()).count();
  violations_.push_back("at " + std::to_string(seconds) + " s: " + what);
}

void LeaseWorld::NoteStart(std::size_t executor, const core::RunId& id) {
  const std::string name = id.task.job_id + "." + std::to_string(id.task.index);
  Trace(id, "starts on executor " + std::to_string(executor));
  const auto [running, is_new] = running_.emplace(id.task, executor);
  if (!is_new) {
    Violate(name + " runs on executors " + std::to_string(running->second) + " and " +
            std::to_string(executor));
  }
  const auto evacuated = evacuated_since_.find(ZoneOf(executor));
  if (evacuated != evacuated_since_.end()) {
    const Duration late = clock_.now() - evacuated->second;
    evacuated_starts_.push_back(late);
    if (late > options_.evacuate) {
      Violate(name + " starts in " + evacuated->first + ", which has been evacuated for " +
              std::to_string(std::chrono::duration_cast<milliseconds>(late).count()) + " ms");
    }
  }
  if (work_.at(id.task.job_id).crashing_task == id.task.index) {
    After(kCrashDelay, [this, executor, id] { Crash(executor, id); });
  }
  JobRecord& record = records_[id.task.job_id];
  record.started = true;
  if (record.refused_copies == record.copies) {
    Violate(name + " starts though its job was refused");
  }
}

void LeaseWorld::NoteEnd(const core::RunId& id, core::RunOutcome outcome) {
  Trace(id, "ends: " + std::string(core::NameOf(outcome)));
  running_.erase(id.task);
  if (outcome == core::RunOutcome::kDone) done_.insert(id.task);
}

double LeaseWorld::SpreadFactorOf(const core::TaskId& task, std::size_t executor) const {
  if (options_.racks == 0) return 1;
  const std::size_t rack = executor % options_.racks;
  const core::JobStep& step = work_.at(task.job_id).request.steps.at(task.step);
  if (!step.preferred_rack.empty()) {
    return step.preferred_rack == RackLabel(rack) ? 1 : options_.spread_factor;
  }
  if (!step.prefers_one_rack) return 1;
  const bool is_spread = std::any_of(running_.begin(), running_.end(), [&](const auto& other) {
    return other.first.job_id == task.job_id && other.first.step == task.step &&
           other.second % options_.racks != rack;
  });
  return is_spread ? options_.spread_factor : 1;
}

core::LocalityWait::Counts LeaseWorld::locality_waits() const {
  core::LocalityWait::Counts sum;
  for (const auto& dispatcher : dispatchers_) {
    if (!dispatcher->scheduler) continue;
    const core::LocalityWait::Counts& counts = dispatcher->scheduler->locality_waits();
    sum.paid += counts.paid;
    sum.unpaid += counts.unpaid;
    sum.total_wait += counts.total_wait;
  }
  return sum;
}

void LeaseWorld::NoteReply(const std::string& id, std::size_t copy, const core::JobReply& reply) {
  Caller& caller = callers_.at(id);
  if (caller.copy != copy || !caller.is_waiting) return;
  Trace(id, "copy " + std::to_string(copy) + " is answered");
  caller.is_waiting = false;
  JobRecord& record = records_.at(id);
  const SimulatedJob& job = work_.at(id);
  record.reply = reply;
  record.took = Elapsed() - job.arrives;
  const Duration longest = *std::max_element(job.run_times.begin(), job.run_times.end());
  record.objective =
      std::chrono::duration_cast<Duration>(longest * job.request.stretch) + job.request.slack;
  if (reply.result == core::JobResult::kRefused) {
    // Another copy may have started before its connection broke.
    if (++record.refused_copies == record.copies && record.started) {
      Violate(id + " is refused though it has started");
    }
  }
  if (reply.result == core::JobResult::kAbandoned) SendAgain(id, kCallerResendDelay);
  if (reply.result != core::JobResult::kComplete) return;
  for (std::uint32_t index = 0; index < job.run_times.size(); ++index) {
    if (!done_.contains({.job_id = id, .step = 0, .index = index})) {
      Violate(id + " is complete without task " + std::to_string(index));
    }
  }
}

}  // namespace zinniamux::testing
