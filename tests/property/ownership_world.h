// Several ShardOwnership objects over one simulated table row, with faults.
#ifndef ZINNIAMUX_TESTS_PROPERTY_OWNERSHIP_WORLD_H_
#define ZINNIAMUX_TESTS_PROPERTY_OWNERSHIP_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/shard_ownership.h"

namespace zinniamux::tests {

// One kind of trouble at one step. `entry` names the entry concerned, modulo their number.
struct Fault {
  enum class Kind {
    kStoreDown,
    kStoreUp,
    // The next write takes effect, or does not, or does later; its answer is lost in all cases.
    kLoseNextAnswer,
    kLoseNextWrite,
    kDelayNextWrite,
    kPause,
    kResume,
    kKill,
    kRestart,
    kCutPeers,
    kJoinPeers,
    kHandOver,
  };

  int step = 0;
  Kind kind = Kind::kStoreDown;
  std::size_t entry = 0;
};

// Advances all entries in small steps. Records who owned which epoch.
class OwnershipWorld {
 public:
  // `longest_answer` bounds the time that the store takes for an answer.
  OwnershipWorld(std::size_t entries, std::uint32_t seed,
                 std::chrono::milliseconds longest_answer = std::chrono::milliseconds(200));

  // One step of 50 ms.
  void Step();
  void Apply(const Fault& fault);
  // Ends every fault.
  void Heal();

  // What went against the rules so far; empty if nothing.
  const std::string& violation() const { return violation_; }
  // The live entries that own an epoch, as "id/epoch".
  std::vector<std::string> Owners() const;
  // "id/epoch" of the row.
  std::string RowOwner() const;
  std::size_t writes() const { return writes_; }
  std::uint64_t row_epoch() const { return row_.row ? row_.row->epoch : 0; }
  bool IsOwner(std::size_t entry) const;

 private:
  struct Answer {
    core::TimePoint due;
    std::function<void(core::ShardOwnership&)> deliver;
  };
  struct Entry {
    core::EntryAddress address;
    std::unique_ptr<core::ShardOwnership> ownership;
    std::deque<Answer> answers;
    bool paused = false;
    bool cut_off = false;
    core::TimePoint next_heartbeat;
  };

  void Start(Entry& entry);
  void Run(Entry& entry);
  void CarryOut(Entry& entry);
  void Read(Entry& entry);
  void Write(Entry& entry, const core::WriteShardRow& write);
  bool Commit(const core::WriteShardRow& write);
  void ExchangeHeartbeats(Entry& from);
  core::Duration Delay(std::chrono::milliseconds longest);

  const std::chrono::milliseconds longest_answer_;
  core::ManualClock clock_;
  std::mt19937 random_;
  std::vector<Entry> entries_;
  core::VersionedShardRow row_;
  // Writes whose answer was "unknown" and that take effect later.
  std::vector<std::pair<core::TimePoint, core::WriteShardRow>> late_writes_;
  bool store_up_ = true;
  bool lose_next_answer_ = false;
  bool lose_next_write_ = false;
  bool delay_next_write_ = false;
  std::uint64_t next_incarnation_ = 1;
  std::size_t writes_ = 0;
  std::map<std::uint64_t, core::EntryAddress> owner_of_epoch_;
  std::string violation_;
};

}  // namespace zinniamux::tests

#endif  // ZINNIAMUX_TESTS_PROPERTY_OWNERSHIP_WORLD_H_
