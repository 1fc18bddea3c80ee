// Counts the refusals for which the executors had room, by what excluded that room.
#ifndef ZINNIAMUX_BENCH_OVERLOAD_REFUSAL_CAUSES_H_
#define ZINNIAMUX_BENCH_OVERLOAD_REFUSAL_CAUSES_H_

#include <cstddef>
#include <map>
#include <string>

#include "support/lease_world.h"

namespace zinniamux::bench {

// Compares the room that executors have at the moment of a refusal with the view of the dispatcher
// that refuses. A refusal counts as one beside free room if all tasks of the job fit; its cause is
// the filter that excludes most of these places.
class RefusalCauses {
 public:
  explicit RefusalCauses(std::size_t executors) : executors_(executors) {}

  void Note(const testing::LeaseWorld& world, std::size_t dispatcher,
            const core::JobReply& refusal);

  // Refusals beside free room, by kind and cause.
  const std::map<std::string, std::map<std::string, std::size_t>>& counts() const {
    return counts_;
  }

 private:
  const std::size_t executors_;
  std::map<std::string, std::map<std::string, std::size_t>> counts_;
};

}  // namespace zinniamux::bench

#endif  // ZINNIAMUX_BENCH_OVERLOAD_REFUSAL_CAUSES_H_
