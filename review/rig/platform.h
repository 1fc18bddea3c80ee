// Stand-ins for the platform's store and for an executor, as the users' PROTOCOL page has them.
#ifndef ZINNIAMUX_REVIEW_RIG_PLATFORM_H_
#define ZINNIAMUX_REVIEW_RIG_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"

namespace zinniamux::review {

// Rows in memory; transactions, ranges and the feed of changes. Only part "" is used.
class Store {
 public:
  explicit Store(std::uint16_t port);

  void Put(const std::string& table, const std::string& key, const std::string& value);
  // Serves at another port too. Its readers get `addresses` replaced in the values of rows.
  void ServeAt(std::uint16_t port, std::map<std::string, std::string> addresses);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  using Key = std::pair<std::string, std::string>;

  using Addresses = std::map<std::string, std::string>;

  HttpResponse Handle(const HttpRequest& request, const Addresses& addresses);
  HttpResponse Read(const HttpRequest& request, const Addresses& addresses);
  HttpResponse Commit(const HttpRequest& request);
  HttpResponse Feed(const HttpRequest& request);
  nlohmann::json RowJson(const Key& key, const Row& row) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 0;
  // Last, so that they end before what their handlers use.
  HttpServer server_;
  std::vector<std::unique_ptr<HttpServer>> more_servers_;
};

// One executor that starts, leases, stops and lists runs. A task's spec is its work in
// milliseconds. It guards its capacity; every task takes the same.
class Executor {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::uint16_t port = 0;
    // Of its supervisor, for announcements.
    std::uint16_t control_port = 0;
    std::int64_t capacity_milli = 32'000;
    std::int64_t task_milli = 3100;
    std::int64_t memory_mb = 65'536;
    std::int64_t max_hold_ms = 1000;
    milliseconds stop_time{20};
    milliseconds heartbeat{1500};
  };

  // Begins its first lifetime.
  Executor(const Options& options, Record& record);
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  const Options& options() const { return options_; }
  // From now on it announces that it drains. Returns whether that was acknowledged.
  bool Drain();
  // The process ends; what runs on it ends too. Calls to it are refused.
  void End();
  // The call by which it leaves.
  Call LeaveCall() const;
  // Begins a lifetime under the same id, registers and then takes calls.
  void Begin();
  std::size_t running();
  // While it is unhealthy, it fails at once what it starts, and resets the channel of the start.
  void set_unhealthy(bool unhealthy) { unhealthy_ = unhealthy; }

 private:
  struct Run {
    std::size_t record = 0;
    Clock::time_point done_at;
    Clock::time_point stopped_at = Clock::time_point::max();
  };
  using RunKey = std::pair<std::string, std::uint32_t>;

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Start(const nlohmann::json& body);
  HttpResponse Stop(const nlohmann::json& body);
  HttpResponse Hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
  HttpResponse Refuse(const std::string& reason) const;
  void EndRun(const RunKey& key, const std::string& how);
  void Lease(std::int64_t until_ms);
  std::int64_t ClockMs() const;
  void Tick();
  bool Announce();

  const Options options_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> unhealthy_{false};
  bool up_ = false;
  bool draining_ = false;
  std::uint64_t lifetime_ = 0;
  std::int64_t born_ms_ = 0;
  Clock::time_point born_;
  Clock::time_point next_announcement_;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::map<RunKey, Run> runs_;
  // The highest run of each task that has ended or was stopped here.
  std::map<std::string, std::uint32_t> closed_;
  struct EndedRun {
    std::uint64_t number = 0;
    RunKey key;
    std::string how;
  };
  std::vector<EndedRun> ended_;
  std::uint64_t next_end_ = 1;
  bool stopping_ = false;
  std::thread ticker_;
  std::thread announcer_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace zinniamux::review

#endif  // ZINNIAMUX_REVIEW_RIG_PLATFORM_H_
