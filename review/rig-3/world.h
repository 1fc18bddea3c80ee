// A small deployment: the project's processes, and stand-ins for the store, the executors and the
// clients. Everything but the project's processes runs on one event loop.
#ifndef REVIEW_RIG_3_WORLD_H_
#define REVIEW_RIG_3_WORLD_H_

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "net.h"

namespace rig {

using Json = nlohmann::json;

// Writes what was sent, answered and run, with the time in ms since the start.
class Record {
 public:
  explicit Record(const std::string& file) : file_(file), start_(Now()) {}
  void Line(const std::string& text);
  double Elapsed() const {
    return std::chrono::duration<double, std::milli>(Now() - start_).count();
  }

 private:
  std::ofstream file_;
  const SteadyTime start_;
};

// The rows of the platform's store: rows-get, rows-tx and rows-feed, without faults.
class Store {
 public:
  explicit Store(asio::io_context& loop) : loop_(loop) {}
  // Listens at `address`. Values of rows are shown with the texts in `replacements` replaced: so
  // that supervisors dial a link in place of the dispatcher behind it.
  void Serve(const Address& address, std::map<std::string, std::string> replacements = {});
  void PutConfiguration(const Json& configuration);

 private:
  // Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    // Base64; nothing for a removed row.
    std::optional<std::string> value;
    std::uint64_t version = 0;
  };
  using Replacements = std::map<std::string, std::string>;
  void Handle(const Request& request, const HttpServer::Responder& respond,
              const Replacements& replacements);
  Response Read(const Request& request, const Replacements& replacements) const;
  Response Commit(const Request& request);
  void Feed(const Request& request, SteadyTime until, const HttpServer::Responder& respond);
  Json ShowRow(const Key& key, const Row& row, const Replacements& replacements) const;

  asio::io_context& loop_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 0;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

// One run of a task, as its executor saw it.
struct RunRecord {
  std::string executor;
  std::string task;
  std::uint32_t run = 0;
  double started_ms = 0;
  // Negative while it runs.
  double ended_ms = -1;
  std::string how;
};

// An executor with leases, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). The
// spec of a task is {"ms":LENGTH,"cpu":MILLICORES}. Guards its capacity.
class Executor {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    Address app;
    Address control;
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 32000;
    Milliseconds heartbeat{1500};
    Milliseconds max_hold{1000};
    // How long a stop takes; `stop_ms` allows 50 ms.
    Milliseconds stop_time{20};
  };

  Executor(asio::io_context& loop, Record& record, std::vector<RunRecord>& runs, Options options);
  ~Executor() { Crash(); }

  // Begins a lifetime: listens, then announces itself.
  void Start();
  // Ends the lifetime at once, without notice.
  void Crash();
  // Of the next lifetime.
  void set_labels(std::vector<std::string> labels) { options_.labels = std::move(labels); }
  bool up() const { return server_ != nullptr; }
  // While set, this share of the calls gets no answer and is carried out 2 to 12 s later.
  void SetLateShare(double share) { late_share_ = share; }
  void Seed(unsigned seed) { random_.seed(seed); }
  const std::string& id() const { return options_.id; }
  std::size_t running() const { return running_.size(); }
  std::size_t calls() const { return calls_; }

 private:
  struct Running {
    std::size_t record = 0;
    std::int64_t cpu = 0;
    SteadyTime done_at;
    SteadyTime stopped_at = SteadyTime::max();
  };
  struct WaitingHold {
    SteadyTime until;
    std::uint64_t last_seen = 0;
    HttpServer::Responder respond;
  };
  using RunKey = std::pair<std::string, std::uint32_t>;

  void Handle(const Request& request, const HttpServer::Responder& respond);
  void CarryOut(const Request& request, const HttpServer::Responder& respond);
  Response Begin(const Json& body);
  Response Stop(const Json& body);
  void Hold(const Json& body, const HttpServer::Responder& respond);
  Response Lists() const;
  Response Refuse(const std::string& reason) const;
  void ExtendLease(const Json& body);
  void End(const RunKey& key, const std::string& how, bool listed = true);
  void Advance();
  void Announce();
  std::int64_t ClockMs() const;

  asio::io_context& loop_;
  Record& record_;
  std::vector<RunRecord>& runs_;
  Options options_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer timer_;
  asio::steady_timer heartbeat_;
  // Distinguishes lifetimes for callbacks.
  std::uint64_t lifetime_ = 0;
  SteadyTime born_;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  SteadyTime lease_end_;
  std::map<RunKey, Running> running_;
  // The highest run of a task that was stopped or ended here.
  std::map<std::string, std::uint32_t> highest_over_;
  std::map<std::uint64_t, Json> ended_;
  std::uint64_t next_end_ = 1;
  std::vector<WaitingHold> holds_;
  double late_share_ = 0;
  std::mt19937 random_{1};
  std::size_t calls_ = 0;
};

// One process of the project, started with the command and the template of its role in the deploy
// file. Killed on destruction.
class Daemon {
 public:
  Daemon(std::string role, std::map<std::string, std::string> fields, std::string directory);
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  void Start();
  void Kill();
  void Signal(int signal) const;
  // False if the process has ended by itself.
  bool Runs();

 private:
  const std::string role_;
  const std::map<std::string, std::string> fields_;
  const std::string directory_;
  pid_t pid_ = -1;
};

struct Front {
  std::string name;
  // Its own addresses, and that of the ingress, which forwards channels to it.
  Address address;
  Address ready;
  Address ingress;
  Address rpc;
  // On the way from supervisors to it; unset without links.
  std::unique_ptr<Link> rpc_link;
  std::unique_ptr<Link> client_link;
  // On its way to the store; unset without links.
  std::unique_ptr<Link> store_link;
  // Cuts the machine off from clients, supervisors and the store.
  void SetCut(bool cut);
  std::unique_ptr<Daemon> daemon;
};

struct Side {
  std::string name;
  std::unique_ptr<Daemon> daemon;
  std::unique_ptr<Executor> executor;
};

class World {
 public:
  struct Options {
    std::size_t fronts = 1;
    std::size_t sides = 1;
    // Of executor n; empty for none.
    std::vector<std::vector<std::string>> labels;
    // Puts a link between each dispatcher and the supervisors, and one before the store.
    bool links = false;
    std::int64_t cpu = 16000;
  };

  World(const std::string& record_file, const Options& options);
  ~World();

  asio::io_context loop;
  Record record;
  std::vector<RunRecord> runs;
  std::vector<Front> fronts;
  std::vector<Side> sides;
  Store store;
  bool trouble = true;

  static constexpr const char* kHost = "desk.example";
  static constexpr const char* kPrefix = "/jobs/";

  // Starts everything, and waits `settle` after it is ready; throws if it is not within 20 s.
  void Start(Milliseconds settle = Milliseconds(3000));
  void WriteConfiguration(std::uint64_t version, bool with_route = true);
  // Runs the loop for this long, or until `done`.
  void Run(Milliseconds time, const std::function<bool()>& done = nullptr);
  void After(Milliseconds delay, std::function<void()> action);
  // A job of `count` equal tasks that needs not be kept.
  static std::string Job(int count, int task_ms, int cpu, const std::string& label = "");
  // A new id of 16 hexadecimal digits.
  std::string NewId();
  std::shared_ptr<Channel> OpenChannel(const Address& address);
  static std::vector<std::pair<std::string, std::string>> Headers(Milliseconds deadline);
  // True if every process of the project still runs.
  bool AllRun();

 private:
  std::string directory_;
  std::string net_;
  std::uint64_t next_id_ = 1;
  std::vector<std::shared_ptr<asio::steady_timer>> timers_;
};

}  // namespace rig

#endif  // REVIEW_RIG_3_WORLD_H_
