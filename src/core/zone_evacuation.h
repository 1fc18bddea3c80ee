// Which availability zones are evacuated, in the newest version that this process has seen.
#ifndef ZINNIAMUX_CORE_ZONE_EVACUATION_H_
#define ZINNIAMUX_CORE_ZONE_EVACUATION_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace zinniamux::core {

// The zones to whose executors nothing may be sent, as the store had them at one version.
struct EvacuationState {
  // The store's, which rises with every write, so that a removed row gives a newer state as well.
  // 0 if nothing is known.
  std::uint64_t version = 0;
  std::set<std::string> zones;

  bool operator==(const EvacuationState&) const = default;
};

// Load pattern: the operator evacuates and restores zones within seconds, while some processes read
// the store and others learn its state only from their peers, late and out of order. The newest
// version wins, whoever brings it: a peer that is cut off from the store cannot undo a change.
//
// Invariant: the version never decreases. Not thread-safe.
class ZoneEvacuation {
 public:
  // Returns false, and changes nothing, unless the version is newer.
  bool Take(EvacuationState state);

  bool IsEvacuated(std::string_view zone) const;
  // 0 until a state is known.
  std::uint64_t version() const { return state_.version; }
  const EvacuationState& state() const { return state_; }

 private:
  EvacuationState state_;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ZONE_EVACUATION_H_
