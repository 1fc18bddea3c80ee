// Store calls of a decision object, held back so that a test decides when and how each one ends.
#ifndef ZINNIAMUX_TESTS_SUPPORT_SIMULATED_STORE_H_
#define ZINNIAMUX_TESTS_SUPPORT_SIMULATED_STORE_H_

#include <deque>
#include <functional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "core/store_action.h"
#include "standins/platform_standin/platform_state.h"

namespace zinniamux::testing {

// Takes a core object's actions. Actions that are not store calls go to `on_other`.
template <typename Core, typename Action>
class SimulatedStore {
 public:
  SimulatedStore(standins::PlatformState& state, Core& core,
                 std::function<void(const Action&)> on_other)
      : state_(state), core_(core), on_other_(std::move(on_other)) {}

  // Calls that wait to be served, and answers that wait to be delivered.
  std::size_t pending() const { return pending_.size(); }

  void Collect() {
    for (Action& action : core_.TakeActions()) {
      std::visit([&](auto& value) { Take(value, action); }, action);
    }
  }

  // The call takes effect and is answered.
  void Serve(std::size_t index = 0) { Deliver(TakePending(index).serve()); }

  // The call takes effect; its answer waits as a pending call of its own.
  void ServeAndHold(std::size_t index) {
    Answer answer = TakePending(index).serve();
    pending_.push_back({.serve = [answer] { return answer; }, .fail = answer});
  }

  // The call takes effect, but its answer is lost.
  void LoseAnswer(std::size_t index = 0) {
    Call call = TakePending(index);
    static_cast<void>(call.serve());
    Deliver(call.fail);
  }

  // The call has no effect and no answer.
  void LoseCall(std::size_t index = 0) { Deliver(TakePending(index).fail); }

  // The caller gives up now; the call takes effect at the next ApplyDelayed.
  void Delay(std::size_t index = 0) {
    Call call = TakePending(index);
    delayed_.push_back(std::move(call.serve));
    Deliver(call.fail);
  }

  void ApplyDelayed() {
    for (const auto& serve : std::exchange(delayed_, {})) static_cast<void>(serve());
  }

  // Serves calls until none is left.
  void ServeAll() {
    for (Collect(); pending() > 0; Collect()) Serve();
  }

 private:
  using Answer = std::function<void()>;
  struct Call {
    std::function<Answer()> serve;
    Answer fail;
  };

  static core::Error Silence() { return {core::ErrorKind::kStoreUnavailable, "no answer", {}}; }

  Call TakePending(std::size_t index) {
    Call call = std::move(pending_[index]);
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    return call;
  }

  void Deliver(const Answer& answer) {
    answer();
    Collect();
  }

  template <typename Value>
  void Take(const Value& value, const Action& action) {
    using core::CommitOutcome;
    [[maybe_unused]] const core::StoreCall call = [&] {
      if constexpr (requires { value.call; }) return value.call;
      return core::StoreCall{0};
    }();
    if constexpr (std::is_same_v<Value, core::ReadStoreRow>) {
      Add([this, value] { return state_.Row(value.key); },
          [this, call](auto row) { core_.OnRow(call, std::move(row)); });
    } else if constexpr (std::is_same_v<Value, core::ReadStoreRows>) {
      Add([this, value] { return state_.Rows(value.prefix); },
          [this, call](auto rows) { core_.OnRows(call, std::move(rows)); });
    } else if constexpr (std::is_same_v<Value, core::ReadStoreObject>) {
      Add([this, value] { return *state_.Object(value.key); },
          [this, call](auto body) { core_.OnObject(call, std::move(body)); });
    } else if constexpr (std::is_same_v<Value, core::WriteStoreObject>) {
      Add(
          [this, value] {
            state_.PutObject(value.key, value.body);
            return true;
          },
          [this, call](const auto& done) {
            core_.OnObjectWritten(call, done ? core::Result<void>() : tl::unexpected(done.error()));
          });
    } else if constexpr (std::is_same_v<Value, core::CommitToStore>) {
      Add([this, value] { return state_.Commit(value.transaction); },
          [this, call](const core::Result<bool>& committed) {
            const auto outcome =
                committed.value_or(false) ? CommitOutcome::kCommitted : CommitOutcome::kConflict;
            core_.OnCommit(call, committed ? outcome : CommitOutcome::kUnknown);
          });
    } else {
      on_other_(action);
    }
  }

  // `effect` computes the answer's value; `on_answer` takes a Result of it.
  template <typename Effect, typename OnAnswer>
  void Add(Effect effect, OnAnswer on_answer) {
    using Value = core::Result<std::invoke_result_t<Effect>>;
    pending_.push_back({.serve = [effect, on_answer]() -> Answer {
                          return [on_answer, value = Value(effect())] { on_answer(value); };
                        },
                        .fail = [on_answer] { on_answer(Value(tl::unexpected(Silence()))); }});
  }

  standins::PlatformState& state_;
  Core& core_;
  const std::function<void(const Action&)> on_other_;
  std::deque<Call> pending_;
  std::vector<std::function<Answer()>> delayed_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_SIMULATED_STORE_H_
