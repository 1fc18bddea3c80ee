// Breadth-first search of the lease model for two runs of the task at the same time.
#ifndef ZINNIAMUX_MODEL_SEARCH_H_
#define ZINNIAMUX_MODEL_SEARCH_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <vector>

#include "model/journal.h"
#include "model/state_table.h"
#include "model/world_model.h"

namespace zinniamux::model {

struct Bounds {
  std::chrono::milliseconds horizon{3000};
  std::size_t max_states = 100'000'000;
};

struct Findings {
  enum class Kind { kClean, kRunsTwice, kIncomplete };
  Kind kind = Kind::kClean;
  // The steps that were searched whole, in time.
  std::chrono::milliseconds depth{0};
  std::size_t states = 0;
  // States that were looked at a second time.
  std::size_t repeated = 0;
  // If a task runs twice: what happens on one of the shortest ways.
  std::vector<Journal::Entry> timeline;
};

// Searches all states that are reached within the horizon, those of each moment before later ones.
Findings Search(const Options& options, const Bounds& bounds);

}  // namespace zinniamux::model

#endif  // ZINNIAMUX_MODEL_SEARCH_H_
