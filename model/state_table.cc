// Open addressing over hashes of states.
#include "model/state_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace zinniamux::model {

namespace {

constexpr std::size_t kFirstSlots = 1U << 16U;
constexpr std::uint8_t kStepMove = 255;

}  // namespace

StateTable::StateTable() : slots_(kFirstSlots) {}

std::optional<StateTable::Id> StateTable::Add(const State& state, Id parent, Move move) {
  const XXH128_hash_t digest = XXH3_128bits(&state, sizeof state);
  // Zero marks an empty slot.
  const Hash hash{.low = digest.low64 | 1U, .high = digest.high64};
  const std::size_t slot = SlotOf(hash);
  if (slots_[slot] == hash) return std::nullopt;
  slots_[slot] = hash;
  const auto id = static_cast<Id>(nodes_.size());
  nodes_.push_back({.parent = parent,
                    .kind = move ? static_cast<std::uint8_t>(move->kind) : kStepMove,
                    .side = move ? move->side : std::uint8_t{0}});
  if (nodes_.size() * 4 > slots_.size() * 3) Grow();
  return id;
}

std::size_t StateTable::SlotOf(const Hash& hash) const {
  const std::size_t mask = slots_.size() - 1;
  std::size_t slot = hash.high & mask;
  while (slots_[slot].low != 0 && slots_[slot] != hash) slot = (slot + 1) & mask;
  return slot;
}

void StateTable::Grow() {
  const std::vector<Hash> old = std::exchange(slots_, std::vector<Hash>(slots_.size() * 2));
  for (const Hash& hash : old) {
    if (hash.low != 0) slots_[SlotOf(hash)] = hash;
  }
}

std::vector<StateTable::Move> StateTable::WayTo(Id id) const {
  std::vector<Move> way;
  while (id != 0) {
    const Node& node = nodes_[id];
    if (node.kind == kStepMove) {
      way.emplace_back();
    } else {
      way.emplace_back(Event{.kind = static_cast<Event::Kind>(node.kind), .side = node.side});
    }
    id = node.parent;
  }
  std::ranges::reverse(way);
  return way;
}

}  // namespace zinniamux::model
