// Dispatchers, supervisors and executors of leased execution in simulated time, with faults.
#ifndef ZINNIAMUX_TESTS_SUPPORT_LEASE_WORLD_H_
#define ZINNIAMUX_TESTS_SUPPORT_LEASE_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/backlog_meter.h"
#include "core/clock.h"
#include "core/job_scheduler.h"
#include "core/report_audience.h"
#include "core/report_pace.h"
#include "core/report_schedule.h"
#include "core/run_supervisor.h"
#include "core/stall_detector.h"
#include "core/zone_evacuation.h"
#include "support/simulated_executor.h"

namespace zinniamux::testing {

// A job with the true run time of its tasks.
struct SimulatedJob {
  core::JobRequest request;
  std::vector<core::Duration> run_times;
  core::Duration arrives{0};
  std::size_t dispatcher = 0;
  // The index of a task that crashes each executor soon after it has started there.
  std::optional<std::uint32_t> crashing_task;
};

struct JobRecord {
  std::size_t dispatcher = 0;
  std::optional<core::JobReply> reply;
  core::Duration took{0};
  core::Duration objective{0};
  bool started = false;
  // How often the caller has sent the job, and how many of these copies were refused.
  std::size_t copies = 0;
  std::size_t refused_copies = 0;
  // The answer is of a job that was held as late.
  bool held_late = false;
  // The caller got no answer before its deadline and sends no other copy.
  bool given_up = false;
};

// Runs the core objects of all processes against each other. What the executors record is judged
// while it runs: no task runs twice at a time, nothing of a refused job ever starts, a complete job
// has run completely. Callers whose connection breaks and callers of abandoned jobs send their job
// again to another dispatcher: at once if the dispatcher had not read it, and after 1,300 ms
// otherwise. Every random choice comes from one seed.
class LeaseWorld {
 public:
  // When the end of a connection comes, after a request that a cut has held up.
  enum class CloseArrival {
    // Read together with it.
    kSameRead,
    // Read in the next turn of the event loop.
    kNextRead,
    kRoundTrip,
    // It is lost once, and TCP sends it again.
    kAfterLoss,
  };
  struct Options {
    std::uint64_t seed = 1;
    std::size_t dispatchers = 3;
    std::size_t zones = 3;
    std::vector<std::int64_t> executor_cpu_milli = std::vector<std::int64_t>(11, 32'000);
    // Executor i is in rack i % racks, whose label is RackLabel. 0: executors have no labels. Tasks
    // away from their preferred rack, or beside tasks of their step in another rack if the step
    // prefers one rack, take `spread_factor` times as long.
    std::size_t racks = 0;
    double spread_factor = 1;
    core::Duration link_delay = std::chrono::microseconds(600);
    core::Duration executor_delay = std::chrono::microseconds(200);
    // Which dispatchers get a report of every change, and how often.
    core::ReportAudience::Options audience;
    // Part of the calls to executors without an answer; they are carried out late or at once.
    double lost_answers = 0;
    core::JobScheduler::Options scheduler;
    // Time of a whole core that a dispatcher needs to handle a message or a job, and to look for
    // executors for one job.
    core::Duration message_cost{0};
    core::Duration placement_cost{0};
    // The dispatchers' shares of a core. Messages wait until those before them are handled. Empty:
    // nothing takes processor time.
    std::vector<double> processor_shares;
    // Whether dispatchers drop what they have not read when its connection is reset, and know how
    // old a connection is, as the daemon does. Without it, the first copy of a job may be placed
    // although its caller has sent it again.
    bool drop_unread_copies = true;
    // Time of a whole core that a closed connection of a caller takes. Dispatchers then handle at
    // most `closes_per_turn` of them at a time, and timers and messages in between, as asio does.
    core::Duration close_cost{0};
    std::size_t closes_per_turn = 128;
    // Callers close their connection after this time, without a reset, and send their job again
    // later. Requests that a cut holds up then come when TCP sends them again, and the ends of
    // their connections behind them. 0: callers wait until the job's deadline.
    core::Duration caller_patience{0};
    CloseArrival close_arrival = CloseArrival::kSameRead;
    // Nothing may start in an evacuated zone later than this after its row was written.
    core::Duration evacuate = std::chrono::milliseconds(5000);
    // So many dispatchers are of an earlier version, which knows of no evacuated zones.
    std::size_t earlier_dispatchers = 0;
    // Records what happens to this job; see trace().
    std::string traced_job;
    // Called for each refusal that a dispatcher sends, before anything else happens.
    std::function<void(std::size_t dispatcher, const core::JobReply&)> on_refusal;
  };

  explicit LeaseWorld(Options options);
  ~LeaseWorld();
  LeaseWorld(const LeaseWorld&) = delete;
  LeaseWorld& operator=(const LeaseWorld&) = delete;

  void Add(SimulatedJob job);
  static std::string RackLabel(std::size_t rack) { return "rack-" + std::to_string(rack); }
  // Faults; times are from the start of the world.
  void CutLink(std::size_t dispatcher, std::size_t supervisor, core::Duration at,
               core::Duration length);
  // What is sent on the present connection from then on is lost without notice. A new connection
  // replaces it once one end has heard nothing for the silence limit.
  void SilenceLink(std::size_t dispatcher, std::size_t supervisor, core::Duration at);
  void KillSupervisor(std::size_t supervisor, core::Duration at, core::Duration down);
  void FreezeSupervisor(std::size_t supervisor, core::Duration at, core::Duration length);
  // Suspends the VM of a supervisor and its executor: both stand still, and so do their steady
  // clocks.
  void SuspendVm(std::size_t supervisor, core::Duration at, core::Duration length);
  void FreezeDispatcher(std::size_t dispatcher, core::Duration at, core::Duration length);
  // The dispatcher stands still while it handles an event, when it looks at the clock for this time
  // after `at`: in the middle of a placement pass. What it has ordered before is sent afterwards.
  void FreezeDispatcherInPass(std::size_t dispatcher, core::Duration at, core::Duration length,
                              std::size_t clock_reads);
  // Resets the dispatcher's connections to supervisors, and refuses new ones. Its process lives.
  void RefuseConnections(std::size_t dispatcher, core::Duration at, core::Duration length);
  // Ends the dispatcher's process. A new one takes its place.
  void KillDispatcher(std::size_t dispatcher, core::Duration at, core::Duration down);
  // Breaks the connections of this share of the callers that wait for the dispatcher.
  void ResetCallers(std::size_t dispatcher, core::Duration at, double share);
  // Cuts the dispatcher off from its callers. It hears of connections that break meanwhile this
  // much after the end of the cut. These callers do not know whether it has read their request, so
  // they send it again later, and it is read as long as the closed connection is on its way.
  void CutCallers(std::size_t dispatcher, core::Duration at, core::Duration length,
                  core::Duration late);
  void SlowExecutor(std::size_t executor, double slowness, core::Duration at,
                    core::Duration length);
  void FailExecutor(std::size_t executor, core::Duration at, core::Duration length);
  void RestartExecutor(std::size_t executor, core::Duration at);
  // Nothing passes between the executor and its supervisor. What was sent may be carried out
  // afterwards, in the next lifetime if the executor restarts under its id meanwhile.
  void CutExecutor(std::size_t executor, core::Duration at, core::Duration length, bool restarts);
  // Another part of the calls to executors stays without an answer.
  void LoseAnswers(double share, core::Duration at, core::Duration length);
  // Parts of the calls to executors.
  struct LateCalls {
    double starts = 0;
    double holds = 0;
    double stops = 0;
  };
  // These calls stay without an answer. Executors carry them out seconds later, also while they are
  // cut off, and count the lease from then.
  void DelayCalls(const LateCalls& shares, core::Duration at, core::Duration length);
  // The supervisor handles what dispatchers send this much later.
  void DelaySupervisor(std::size_t supervisor, core::Duration delay, core::Duration at,
                       core::Duration length);
  // The operator's rows name these zones from then on, and no others. Dispatchers read them within
  // a second.
  void EvacuateZones(std::set<std::size_t> zones, core::Duration at);
  // The dispatcher cannot read the store.
  void CutStore(std::size_t dispatcher, core::Duration at, core::Duration length);
  void At(core::Duration time, std::function<void()> action);

  void Run(core::Duration until);

  const std::map<std::string, JobRecord>& jobs() const { return records_; }
  // What broke a rule, in the order in which it happened.
  const std::vector<std::string>& violations() const { return violations_; }
  const core::JobRequest& request(const std::string& job_id) const {
    return work_.at(job_id).request;
  }
  // What a dispatcher knows of the executors, and the room that an executor has now.
  const core::JobScheduler& scheduler(std::size_t dispatcher) const;
  core::Resources RoomOf(std::size_t executor) const;
  std::size_t running_tasks() const { return running_.size(); }
  // What happened to the traced job, with times.
  const std::vector<std::string>& trace() const { return trace_; }
  // Waits for racks of all dispatchers.
  core::LocalityWait::Counts locality_waits() const;
  std::uint64_t refused_starts() const { return refused_starts_; }
  // Start calls that executors refused because they had seen a higher fencing token.
  std::uint64_t fenced_starts() const { return fenced_starts_; }
  std::uint64_t start_calls() const { return start_calls_; }
  // Starts in evacuated zones, later than this after the row was written.
  std::uint64_t starts_in_evacuated_zones(core::Duration after) const {
    return static_cast<std::uint64_t>(
        std::count_if(evacuated_starts_.begin(), evacuated_starts_.end(),
                      [after](core::Duration late) { return late > after; }));
  }
  // The largest number of executors that crashed under one task.
  std::size_t most_crashes_of_a_task() const;

 private:
  struct Event {
    core::TimePoint time;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(time, number) > std::tie(other.time, other.number);
    }
  };
  class DispatcherClock;
  class VmClock;
  struct Dispatcher;
  struct Supervisor;
  struct Link;
  // The connection of a caller with its current copy of a job.
  struct Caller {
    std::size_t dispatcher = 0;
    std::size_t copy = 0;
    bool is_waiting = false;
    // The dispatcher has read the copy.
    bool is_read = false;
    // The copy was sent while the dispatcher was cut off.
    bool is_held = false;
    // Copies that were on their way when the caller closed their connections, without a reset.
    std::set<std::size_t> left_copies;
    // When the closed connections of copies reach their dispatcher.
    std::map<std::size_t, core::TimePoint> closes;
  };

  core::Duration Elapsed() const { return clock_.now() - start_; }
  void After(core::Duration delay, std::function<void()> action);
  // As After, but waits until the process is not frozen.
  void Deliver(const core::TimePoint& frozen_until, core::Duration delay,
               std::function<void()> action);
  // Handles a message or a timer once the dispatcher has handled everything before it.
  void HandleInTurn(std::size_t dispatcher, core::Duration cost, std::function<void()> action);
  void HandleNext(std::size_t dispatcher);
  void Handle(std::size_t dispatcher, const std::function<void()>& action);
  // A cut does not end an earlier one that lasts longer.
  void Extend(core::TimePoint& until, core::Duration length) const {
    until = std::max(until, clock_.now() + length);
  }
  void Tick();
  void Heartbeat();
  void Announce(std::size_t executor);
  void StartSupervisor(std::size_t index);
  Link& LinkOf(std::size_t dispatcher, std::size_t supervisor);
  void Connect(std::size_t dispatcher, std::size_t supervisor);
  core::ExecutorReport ReportOf(std::size_t supervisor, std::size_t dispatcher) const;
  // Sends a message on a connection to a process that may be frozen. Messages stay in order, and
  // those that are sent while the link is cut are sent again after it.
  void Transmit(const Link& link, core::TimePoint& last_arrival,
                const core::TimePoint& frozen_until, core::Duration delay,
                std::function<void()> action);
  // `is_held`: the message waits for the end of a cut, and of cuts that begin meanwhile.
  void Arrive(const Link& link, const core::TimePoint& frozen_until, core::Duration delay,
              bool is_held, std::function<void()> action);
  // The process of the dispatcher, as supervisors know it.
  std::string OwnerOf(std::size_t dispatcher) const;
  // Another process answers at the dispatcher's address.
  void LoseOwner(std::size_t dispatcher, std::size_t supervisor);
  // Ends the connection, and has the supervisor find that the next one is refused.
  void ResetLink(std::size_t dispatcher, std::size_t supervisor);
  void SendReport(std::size_t supervisor, std::size_t dispatcher);
  void SendReports(std::size_t supervisor);
  // Schedules a report of a change to the close dispatchers.
  void SendReportsToClose(std::size_t supervisor);
  void SendDueReports(std::size_t supervisor);
  std::string ZoneOf(std::size_t executor) const;
  // The dispatcher reads the rows once it can reach the store and is not frozen.
  void ReadEvacuation(std::size_t dispatcher, core::Duration delay);
  void TakeEvacuation(std::size_t dispatcher, const core::EvacuationState& state);
  void SendEvacuation(std::size_t dispatcher, std::size_t supervisor);
  void CarryOutSupervisor(std::size_t index);
  void StartDispatcher(std::size_t index);
  void CarryOutDispatcher(std::size_t index);
  // Sends an order, a stop or a superseded job of the dispatcher to a supervisor.
  void SendAction(std::size_t index, const std::string& agent_id,
                  const core::SchedulerAction& action);
  void SendCopy(const std::string& id);
  // `is_held`: the copy was sent in a cut, and waits for the end of cuts that begin meanwhile.
  // `sent`: on a connection that was opened then or before.
  void DeliverCopy(const std::string& id, std::size_t dispatcher, std::size_t copy, bool is_held,
                   core::TimePoint sent);
  void ReadCopy(const std::string& id, std::size_t dispatcher, std::size_t copy,
                core::TimePoint sent);
  // The end of the connection of a copy that was read comes after this time.
  core::Duration CloseDelay() const;
  // Whether a copy that the dispatcher reads now is known there to have no caller any more.
  bool IsKnownClosed(const Caller& caller, std::size_t copy) const;
  void SendClose(const std::string& id, std::size_t dispatcher, std::size_t copy);
  // Handles a batch of closed connections.
  void HandleCloses(std::size_t dispatcher);
  void OnCallerClosed(const std::string& id, std::size_t dispatcher, std::size_t copy);
  void BreakConnection(const std::string& id);
  // Its caller has waited in vain for the answer to this copy.
  void LeaveConnection(const std::string& id, std::size_t copy);
  // How long after its first sending a copy arrives, if nothing passes until then.
  core::Duration ResendTime(core::Duration earliest) const;
  void SendAgain(const std::string& id, core::Duration delay);
  core::TimePoint DeadlineOf(const SimulatedJob& job) const;
  void CallExecutor(std::size_t index, const core::CallStart& call);
  void CallExecutor(std::size_t index, const core::CallStop& call);
  void CallExecutor(std::size_t index, const core::CallHold& call);
  // Calls the executor after this time, or when its VM is not suspended any more.
  void AtExecutor(std::size_t executor, core::Duration delay, std::function<void()> action) {
    Deliver(executors_suspended_until_[executor], delay, std::move(action));
  }
  void WaitForEnd(std::size_t index, const core::CallHold& call, core::TimePoint until,
                  std::uint64_t incarnation);
  // Its process has ended and is not back: its port refuses connections.
  bool IsDown(std::size_t executor) const { return executors_down_until_[executor] > clock_.now(); }
  void Crash(std::size_t executor, const core::RunId& cause);
  void NoteRefusedConnection(std::size_t executor);
  bool IsCut(std::size_t executor) const { return executors_cut_until_[executor] > clock_.now(); }
  bool LosesAnswer(std::size_t executor);
  // Whether a call is one of this part, which is carried out late.
  bool IsLate(double share);
  core::Duration DelayOfLateCall();
  void CarryOutLate(std::size_t executor, core::CallStart call);
  void CarryOutLate(std::size_t executor, core::CallHold call);
  // When a call without an answer is carried out.
  core::Duration DelayOfLostCall(std::size_t executor);
  double SpreadFactorOf(const core::TaskId& task, std::size_t executor) const;
  void NoteStart(std::size_t executor, const core::RunId& id);
  void NoteEnd(const core::RunId& id, core::RunOutcome outcome);
  void NoteReply(const std::string& id, std::size_t copy, const core::JobReply& reply);
  void Violate(const std::string& what);
  void Trace(const std::string& job_id, const std::string& what);
  void TraceOrder(std::size_t dispatcher, const core::SchedulerAction& action, bool is_sent);
  void Trace(const core::RunId& id, const std::string& what);

  const Options options_;
  std::mt19937_64 random_;
  // For choices about callers and cut executors, so that these do not change the other ones.
  std::mt19937_64 fault_random_;
  core::ManualClock clock_;
  const core::TimePoint start_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_event_ = 0;
  std::vector<std::unique_ptr<SimulatedExecutor>> executors_;
  std::vector<core::TimePoint> executors_cut_until_;
  std::vector<core::TimePoint> executors_down_until_;
  std::vector<core::TimePoint> executors_suspended_until_;
  std::map<core::TaskId, std::size_t> crashes_;
  double lost_answers_;
  LateCalls late_calls_;
  std::vector<std::unique_ptr<Supervisor>> supervisors_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::vector<Link> links_;
  std::map<std::string, SimulatedJob> work_;
  std::map<std::string, JobRecord> records_;
  std::map<std::string, Caller> callers_;
  // Where each running task runs.
  std::map<core::TaskId, std::size_t> running_;
  std::set<core::TaskId> done_;
  std::vector<std::string> violations_;
  // The operator's rows, and since when each zone has been evacuated.
  core::EvacuationState evacuation_{.version = 1, .zones = {}};
  std::map<std::string, core::TimePoint> evacuated_since_;
  std::vector<core::Duration> evacuated_starts_;
  std::uint64_t refused_starts_ = 0;
  std::uint64_t fenced_starts_ = 0;
  std::uint64_t start_calls_ = 0;
  std::vector<std::string> trace_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_LEASE_WORLD_H_
