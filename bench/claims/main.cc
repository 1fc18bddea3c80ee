// Measures claims of request keys against a store: group commit, or one row for each request.
//
// Claims arrive at a fixed rate, whatever the store does. Prints one line with the rate, the share
// that was granted, and the latency of the granted ones. With --load-rows it measures the loading
// of existing claims at a takeover instead.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <future>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "adapters/http_client.h"
#include "adapters/http_table_store.h"
#include "adapters/steady_clock.h"
#include "core/claim_row.h"
#include "zinniamuxd/claim_service.h"

namespace {

using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpTableStore;
using zinniamux::adapters::SteadyClock;
using zinniamux::core::ClaimDecision;
using zinniamux::core::ClaimRow;
using zinniamux::core::ClaimRowKey;
using zinniamux::core::CommitOutcome;
using zinniamux::core::FormatClaimRow;
using zinniamux::core::TableStore;
using zinniamux::daemon::ClaimService;
using Time = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTick{2};
constexpr std::chrono::seconds kMaxWait{1};
constexpr std::chrono::seconds kLoadLimit{60};
constexpr std::chrono::seconds kLastAnswers{3};

// When each claim was added, and how long the granted ones took.
class Latencies {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    added_.emplace(id, Time::now());
  }

  void Answer(const std::string& id, bool granted) {
    const std::lock_guard lock(mutex_);
    const Time::duration waited = Time::now() - added_.at(id);
    if (granted && waited <= kMaxWait) granted_.push_back(waited);
  }

  void Print(std::chrono::seconds length) {
    const std::lock_guard lock(mutex_);
    std::ranges::sort(granted_);
    const auto seconds = static_cast<double>(length.count());
    std::cout << std::fixed << std::setprecision(1)
              << "added/s=" << static_cast<double>(added_.size()) / seconds
              << " granted/s=" << static_cast<double>(granted_.size()) / seconds << " granted%="
              << 100.0 * static_cast<double>(granted_.size()) / static_cast<double>(added_.size())
              << " p50_ms=" << Percentile(0.5) << " p99_ms=" << Percentile(0.99) << '\n';
  }

 private:
  double Percentile(double share) const {
    if (granted_.empty()) return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(granted_.size() - 1));
    return std::chrono::duration<double, std::milli>(granted_[index]).count();
  }

  std::mutex mutex_;
  // Guarded by mutex_.
  std::unordered_map<std::string, Time::time_point> added_;
  std::vector<Time::duration> granted_;
};

// Calls `add` with a new id at the rate, and `tick` every kTick.
void RunAtRate(double rate, std::chrono::seconds length,
               const std::function<void(const std::string&)>& add,
               const std::function<void()>& tick) {
  const Time::time_point start = Time::now();
  std::uint64_t added = 0;
  while (Time::now() < start + length + kLastAnswers) {
    const auto elapsed = std::min<Time::duration>(Time::now() - start, length);
    const auto due =
        static_cast<std::uint64_t>(rate * std::chrono::duration<double>(elapsed).count());
    for (; added < due; ++added) add(std::to_string(added));
    tick();
    std::this_thread::sleep_for(kTick);
  }
}

std::uint64_t WriteShardRow(TableStore& store) {
  std::promise<std::uint64_t> version;
  store.Commit({.puts = {{"shard/0", "1"}}}, [&](CommitOutcome) {
    store.ReadRow("shard/0", [&](const auto& row) { version.set_value((*row)->version); });
  });
  return version.get_future().get();
}

void MeasureGroups(TableStore& store, const SteadyClock& clock, double rate,
                   std::chrono::seconds length) {
  Latencies latencies;
  ClaimService claims({.token = "bench", .max_wait = kMaxWait}, store, clock,
                      {.on_decided =
                           [&](const std::string& id, ClaimDecision decision) {
                             latencies.Answer(id, decision == ClaimDecision::kGranted);
                           },
                       .on_superseded = [](std::uint64_t) { std::cerr << "superseded\n"; },
                       .on_problem = [](const std::string& text) { std::cerr << text << '\n'; }});
  claims.StartEpoch(1, WriteShardRow(store));
  while (!claims.loaded()) {
    claims.OnTimer();
    std::this_thread::sleep_for(kTick);
  }
  const auto add = [&](const std::string& id) {
    latencies.Add(id);
    claims.AddClaim(id, "key-" + id);
  };
  RunAtRate(rate, length, add, [&] { claims.OnTimer(); });
  latencies.Print(length);
}

void MeasureRows(TableStore& store, double rate, std::chrono::seconds length) {
  // Shared with answers that come after the end of the run.
  const auto latencies = std::make_shared<Latencies>();
  const std::uint64_t shard_row_version = WriteShardRow(store);
  std::uint64_t sequence = 0;
  const auto add = [&](const std::string& id) {
    latencies->Add(id);
    const std::string key = ClaimRowKey(0, 1, ++sequence);
    const ClaimRow row{.token = "bench", .claims = {{"key-" + id, id}}};
    store.Commit({.conditions = {{"shard/0", shard_row_version}, {key, 0}},
                  .puts = {{key, FormatClaimRow(row)}}},
                 [latencies, id](CommitOutcome outcome) {
                   latencies->Answer(id, outcome == CommitOutcome::kCommitted);
                 });
  };
  RunAtRate(rate, length, add, [] {});
  latencies->Print(length);
}

// Rows of `claims_per_row` claims with ids of 36 characters, then the time until they are loaded.
void MeasureLoad(TableStore& store, const SteadyClock& clock, std::uint64_t rows,
                 std::uint64_t claims_per_row) {
  for (std::uint64_t number = 1; number <= rows; ++number) {
    ClaimRow row{.token = "bench",
                 .claimed_at = std::chrono::time_point_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now())};
    for (std::uint64_t i = 0; i < claims_per_row; ++i) {
      std::string id = std::to_string(number * claims_per_row + i);
      id.insert(0, 36 - id.size(), '0');
      row.claims.push_back({id, id});
    }
    std::promise<void> written;
    store.Commit({.puts = {{ClaimRowKey(0, 1, number), FormatClaimRow(row)}}},
                 [&](CommitOutcome) { written.set_value(); });
    written.get_future().get();
  }
  ClaimService claims({.token = "bench"}, store, clock,
                      {.on_decided = [](const std::string&, ClaimDecision) {},
                       .on_superseded = [](std::uint64_t) {},
                       .on_problem = [](const std::string& text) { std::cerr << text << '\n'; }});
  const Time::time_point start = Time::now();
  claims.StartEpoch(2, WriteShardRow(store));
  while (!claims.loaded() && Time::now() < start + kLoadLimit) {
    claims.OnTimer();
    std::this_thread::sleep_for(kTick);
  }
  const auto took = std::chrono::duration<double, std::milli>(Time::now() - start).count();
  std::cout << "rows=" << rows << " claims=" << rows * claims_per_row
            << (claims.loaded() ? " loaded_ms=" : " not_loaded_ms=") << took << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("claim benchmark", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> url("", "store", "URL of the store", true, "", "URL", command);
    TCLAP::ValueArg<double> rate("", "rate", "claims per second", false, 100, "N", command);
    TCLAP::ValueArg<int> length("", "seconds", "length of the run", false, 10, "N", command);
    TCLAP::SwitchArg row_each("", "row-per-claim", "one transaction for each claim", command);
    TCLAP::ValueArg<std::uint64_t> rows("", "load-rows", "rows to load", false, 0, "N", command);
    TCLAP::ValueArg<std::uint64_t> per_row("", "claims-per-row", "claims in each row to load",
                                           false, 1, "N", command);
    command.parse(argc, argv);

    const SteadyClock clock;
    HttpClient client;
    HttpTableStore store({.url = url.getValue()}, client, clock);
    const std::chrono::seconds seconds(length.getValue());
    if (rows.getValue() > 0) {
      MeasureLoad(store, clock, rows.getValue(), per_row.getValue());
    } else if (row_each.getValue()) {
      MeasureRows(store, rate.getValue(), seconds);
    } else {
      MeasureGroups(store, clock, rate.getValue(), seconds);
    }
    return EXIT_SUCCESS;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
    return EXIT_FAILURE;
  }
}
