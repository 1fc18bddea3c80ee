// The states that a search has seen, by a 128-bit hash, and the way to each of them.
#ifndef ZINNIAMUX_MODEL_STATE_TABLE_H_
#define ZINNIAMUX_MODEL_STATE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "model/state.h"
#include "model/world_model.h"

namespace zinniamux::model {

// Takes two states with the same hash for one. With 10^8 states, the probability that this happens
// is below 10^-22.
class StateTable {
 public:
  using Id = std::uint32_t;
  // An event, or nothing for a step.
  using Move = std::optional<Event>;

  StateTable();

  // The initial state has no parent. Returns nothing if the state was seen before.
  std::optional<Id> Add(const State& state, Id parent, Move move);
  // The moves from the initial state.
  std::vector<Move> WayTo(Id id) const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Hash {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const Hash&) const = default;
  };
  struct Node {
    Id parent = 0;
    std::uint8_t kind = 0;
    std::uint8_t side = 0;
  };

  std::size_t SlotOf(const Hash& hash) const;
  void Grow();

  // Empty slots are zero.
  std::vector<Hash> slots_;
  std::vector<Node> nodes_;
};

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_STATE_TABLE_H_
