// The search, one moment of time after the other.
#include "model/search.h"

#include <utility>

namespace zinniamux::model {

namespace {

struct Reached {
  State state;
  StateTable::Id id = 0;
};

class Searcher {
 public:
  Searcher(const Options& options, const Bounds& bounds) : bounds_(bounds), world_(options) {}

  Findings Run() {
    const State initial = world_.Initial();
    std::vector<Reached> moment;
    moment.push_back({.state = initial, .id = *table_.Add(initial, 0, std::nullopt)});
    while (true) {
      if (!AddEvents(moment)) return Finish();
      if (findings_.depth + kStep > bounds_.horizon || moment.empty()) return Finish();
      std::vector<Reached> next;
      for (const Reached& reached : moment) {
        State state = reached.state;
        if (!world_.Advance(state, nullptr)) continue;
        if (!Visit(state, reached.id, std::nullopt, next)) return Finish();
      }
      findings_.depth += kStep;
      moment = std::move(next);
    }
  }

 private:
  // Adds the states that events lead to without time passing. Returns false at the end.
  bool AddEvents(std::vector<Reached>& moment) {
    for (std::size_t i = 0; i < moment.size(); ++i) {
      for (const Event event : world_.EventsOf(moment[i].state)) {
        State state = moment[i].state;
        world_.Apply(event, state, nullptr);
        if (!Visit(state, moment[i].id, event, moment)) return false;
      }
    }
    return true;
  }

  bool Visit(const State& state, StateTable::Id parent, StateTable::Move move,
             std::vector<Reached>& reached) {
    const std::optional<StateTable::Id> id = table_.Add(state, parent, move);
    if (!id) {
      ++findings_.repeated;
      return true;
    }
    if (state.RunsTwice()) {
      findings_.kind = Findings::Kind::kRunsTwice;
      findings_.timeline = Replay(table_.WayTo(*id));
      return false;
    }
    if (table_.size() >= bounds_.max_states) {
      findings_.kind = Findings::Kind::kIncomplete;
      return false;
    }
    reached.push_back({.state = state, .id = *id});
    return true;
  }

  std::vector<Journal::Entry> Replay(std::span<const StateTable::Move> way) const {
    Journal journal;
    std::chrono::milliseconds time{0};
    State state = world_.Initial();
    for (const StateTable::Move& move : way) {
      if (move) {
        world_.Apply(*move, state, &journal);
      } else {
        time += kStep;
        journal.set_time(time);
        world_.Advance(state, &journal);
      }
    }
    journal.Add("the task runs twice");
    return journal.entries();
  }

  Findings Finish() {
    findings_.states = table_.size();
    return std::move(findings_);
  }

  const Bounds bounds_;
  const WorldModel world_;
  StateTable table_;
  Findings findings_;
};

}  // namespace

Findings Search(const Options& options, const Bounds& bounds) {
  return Searcher(options, bounds).Run();
}

}  // namespace zinniamux::model
