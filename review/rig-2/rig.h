// Stand-ins for the platform, the executors and the callers, and the processes under test. All
// addresses are in 127.0.0.0/8, all clocks are real.
#ifndef ZINNIAMUX_REVIEW_RIG_2_RIG_H_
#define ZINNIAMUX_REVIEW_RIG_2_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Ms = std::int64_t;

// Milliseconds since this program started, on the steady clock.
Ms NowMs();
// Milliseconds since 1970.
Ms UnixMs();
void SleepMs(Ms ms);
// Waits until the condition holds; false if it does not within `limit`.
bool WaitFor(Ms limit, const std::function<bool()>& condition);
// TROUBLE=0 runs a case without its disruption.
bool HasTrouble();

// What was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// --- HTTP/1.1

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

// One thread for each connection. Handlers may block.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;
  // Throws if the address cannot be bound.
  HttpServer(const std::string& ip, int port, Handler handler);
  // Closes the listener and all connections, so that new ones are refused.
  ~HttpServer();

 private:
  void Accept();
  void Serve(int fd);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// One connection of a client.
class Channel {
 public:
  Channel(const std::string& ip, int port);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  bool Send(const std::string& method, const std::string& path, const std::string& host,
            const std::string& body, Ms deadline = 0, const std::string& header = "");
  // Status 0: no complete answer within the limit, or the connection ended.
  Response Receive(Ms limit);
  // Resets the connection.
  void Reset();

 private:
  int fd_ = -1;
};

Response Call(const std::string& ip, int port, const std::string& method, const std::string& path,
              const std::string& host, const std::string& body, Ms limit, Ms deadline = 0);

// A link that can be cut. A cut holds back everything, also ends of connections; what was held back
// is delivered when it heals, but for the resets of clients, which are lost.
class Proxy {
 public:
  Proxy(const std::string& ip, int port, std::string target_ip, int target_port);
  ~Proxy();
  void SetCut(bool cut) { cut_ = cut; }

 private:
  void Accept();
  void Serve(int client);

  const std::string target_ip_;
  const int target_port_;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> cut_ = false;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// --- The platform's store

class Store {
 public:
  Store(const std::string& ip, int port);
  void Put(const std::string& table, const std::string& key, const std::string& value);
  // Serves the rows at another address, with addresses in their values replaced by those of
  // proxies.
  void ServeThroughProxies(const std::string& ip, int port,
                           std::map<std::string, std::string> proxies);

 private:
  using Proxies = std::map<std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  // Table, part, key.
  using Key = std::tuple<std::string, std::string, std::string>;
  Response Handle(const Request& request, const Proxies& proxies);
  Response Read(const Request& request, const Proxies& proxies);
  Response Commit(const Request& request);
  Response Feed(const Request& request);
  static json RowJson(const Key& key, const Row& row, const Proxies& proxies = {});
  std::uint64_t NewestOf(const std::string& table) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  // The version of the last change in each table, removals included.
  std::map<std::string, std::uint64_t> table_versions_;
  std::uint64_t version_ = 0;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

// --- Executors

struct Kind {
  std::int64_t cpu = 16'000;
  std::int64_t mem_mb = 32'768;
  std::vector<std::string> labels;
};

// One run of a task on an executor.
struct RunEntry {
  std::string executor;
  Ms born = 0;
  std::string task;
  int run = 0;
  Ms started = 0;
  // -1 while it runs.
  Ms ended = -1;
  std::string how;
  std::vector<std::string> labels;
  bool draining = false;
};

class RunLog {
 public:
  explicit RunLog(Record& record) : record_(record) {}
  std::size_t Start(RunEntry entry);
  void End(std::size_t index, const std::string& how);
  std::vector<RunEntry> All() const;
  // Pairs of runs of one task that overlap by at least `min_ms`.
  std::vector<std::pair<RunEntry, RunEntry>> Overlaps(Ms min_ms) const;

 private:
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<RunEntry> entries_;
};

// Follows "Running tasks" of the protocol page. The spec "work N" takes N milliseconds.
class Executor {
 public:
  struct Options {
    std::string ip;
    int port = 0;
    std::string control_ip;
    int control_port = 0;
    std::string service;
    std::string zone;
    std::string id;
    Ms heartbeat = 1500;
  };
  Executor(Options options, RunLog& runs, Record& record);
  ~Executor();
  // A new lifetime. Its first ping is sent after `first_ping`; the time of day of its machine is
  // ahead by `clock_ahead`.
  void Start(const Kind& kind, Ms first_ping = 0, Ms clock_ahead = 0);
  // Nothing listens at its address any more, and all that ran is over.
  void Crash();
  // Pings that it drains. Returns when that is acknowledged, or -1 without an ack.
  Ms Drain();
  json PingBody();
  const Options& options() const { return options_; }
  Ms born() const { return born_; }
  std::size_t running() const;

 private:
  struct Running {
    std::size_t entry = 0;
    Ms started = 0;
    Ms done_at = 0;
    Ms stop_at = -1;
    std::int64_t cpu = 0;
  };
  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  Response Handle(const Request& request);
  Response StartRun(const json& body);
  Response StopRun(const json& body);
  Response Hold(const json& body);
  Response Answer(json body, int status = 200) const;
  Response Refuse(const std::string& reason) const { return Answer({{"reason", reason}}, 409); }
  void TakeLease(const json& body);
  void End(std::map<std::pair<std::string, int>, Running>::iterator run, const std::string& how);
  void Work();
  bool Ping();

  const Options options_;
  RunLog& runs_;
  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable ended_changed_;
  Kind kind_;
  bool up_ = false;
  bool draining_ = false;
  Ms born_ = 0;
  std::uint64_t sequence_ = 0;
  Ms next_ping_ = 0;
  std::uint64_t fence_ = 0;
  Ms lease_until_ = 0;
  std::map<std::pair<std::string, int>, Running> running_;
  // The highest run of each task that was stopped or has ended.
  std::map<std::string, int> over_;
  std::vector<Ended> ended_;
  std::uint64_t next_end_ = 1;
  std::unique_ptr<HttpServer> server_;
  std::atomic<bool> finished_ = false;
  std::thread worker_;
};

// --- Processes under test

class Node {
 public:
  Node(std::string name, const std::string& command, const std::string& settings,
       std::map<std::string, std::string> environment, const std::string& directory,
       Record& record);
  ~Node();
  void Start();
  void Signal(int signal);
  // True once it has ended.
  bool HasEnded();
  // Kills it, if it runs, and waits for its end.
  void End();
  pid_t pid() const { return pid_; }
  // Resident memory in MB, 0 if unknown.
  double MemoryMb() const;

 private:
  const std::string name_;
  std::vector<std::string> command_;
  const std::map<std::string, std::string> environment_;
  const std::string log_;
  Record& record_;
  pid_t pid_ = -1;
};

// One dispatcher or supervisor and its machine.
struct Machine {
  std::string ip;
  std::unique_ptr<Node> node;
  // Of a side machine.
  std::unique_ptr<Executor> executor;
};

// A small deployment: the store, dispatchers on `front` machines, supervisors with their executors
// on `side` machines, and one queue.
class Deployment {
 public:
  struct Options {
    int fronts = 2;
    // How many of them are not started yet; the case adds them.
    int fronts_added_later = 0;
    int sides = 2;
    // Machines of each class are in these zones in turn.
    int zones = 1;
    // Of each side machine; the last one serves for the others.
    std::vector<Kind> kinds{Kind{}};
    Ms timeout_ms = 1500;
    bool enforces_capacity = true;
    // How far the time of day of the first side machine is ahead when its executor starts.
    Ms clock_ahead = 0;
    // Puts proxies between dispatchers and their callers, supervisors and the store.
    bool has_proxies = false;
  };
  static constexpr int kFrontPort = 8161;
  static constexpr int kReadyPort = 8167;
  static constexpr int kControlPort = 8166;
  static constexpr int kAppPort = 8165;
  static constexpr int kStorePort = 8169;
  static constexpr const char* kService = "huvo11a";
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";

  Deployment(Options options, Record& record);
  ~Deployment();
  // Waits until all dispatchers that were started are ready and know all executors.
  bool WaitUntilReady(Ms limit);
  bool IsReady(const Machine& front) const;

  std::vector<Machine>& fronts() { return fronts_; }
  std::vector<Machine>& sides() { return sides_; }
  RunLog& runs() { return runs_; }
  Store& store() { return *store_; }
  // With `has_proxies`. Callers connect to the address of a proxy at kFrontPort.
  std::string caller_ip(int front) const { return network_ + std::to_string(20 + front); }
  Proxy& rpc_link(int side, int front) { return *rpc_links_.at({side, front}); }
  // Cuts a dispatcher off from all, or heals the cut.
  void SetFrontCut(int front, bool cut);
  // Cuts a dispatcher off from the store and from the supervisors of other zones.
  void SetFrontCutFromOtherZones(int front, bool cut);

 private:
  std::string Render(const std::string& role, const Machine& machine, const std::string& id,
                     const std::string& zone, const std::string& store_ip) const;
  std::string ZoneOf(int number) const;
  void AddProxies();

  const Options options_;
  Record& record_;
  RunLog runs_;
  std::string directory_;
  std::string network_;
  std::unique_ptr<Store> store_;
  std::map<int, std::unique_ptr<Proxy>> caller_links_;
  std::map<int, std::unique_ptr<Proxy>> store_links_;
  // By side and front.
  std::map<std::pair<int, int>, std::unique_ptr<Proxy>> rpc_links_;
  std::vector<Machine> fronts_;
  std::vector<Machine> sides_;
};

// A job of one step. The spec is "work `work_ms`".
std::string JobBody(Ms work_ms, int count, std::int64_t cpu = 1000,
                    const std::string& required_label = "");
// A new id of 16 hexadecimal digits.
std::string NewJobId();

// Sets up the record in `folder`, a limit on the running time, and runs the case, which returns
// whether the rule held. Returns the exit code.
int RunCase(const std::string& folder, const std::function<bool(Record&)>& run);
// Thrown if the case cannot run.
struct CannotRun {
  std::string reason;
};

}  // namespace rig

#endif  // ZINNIAMUX_REVIEW_RIG_2_RIG_H_
