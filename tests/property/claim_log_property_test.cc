// ClaimLog under arbitrary faults of the store and changes of owner.
#include <criterion/criterion.h>

#include <array>
#include <map>

#include "property/property.h"
#include "support/claim_owner.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::core::AnswerClaim;
using zinniamux::core::ClaimDecision;
using zinniamux::core::ManualClock;
using zinniamux::standins::PlatformState;
using zinniamux::testing::ClaimOwner;

constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kKeys = 3;
constexpr std::size_t kSubmissionsPerKey = 2;
constexpr std::size_t kSteps = 200;

// What happens next. The store calls that are hit are chosen by Step::choice.
enum class StepKind {
  kAddClaim,
  kTick,
  kServe,
  kLoseAnswer,
  kLoseCall,
  kDelay,
  kServeAndHold,
  kApplyDelayed,
  kPassTime,
  kTakeOver,
  kResign,
};

struct Step {
  StepKind kind = StepKind::kTick;
  std::size_t owner = 0;
  std::size_t choice = 0;
};

// Two entries that take the shard from each other.
class Competition {
 public:
  void Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Apply(step);
      Check();
    }
    Finish();
  }

 private:
  void Apply(const Step& step) {
    ClaimOwner& owner = owners_[step.owner];
    switch (step.kind) {
      case StepKind::kAddClaim:
        return Add(owner, step.choice);
      case StepKind::kTick:
        return owner.Tick();
      case StepKind::kApplyDelayed:
        return owner.store().ApplyDelayed();
      case StepKind::kPassTime:
        return clock_.Advance(std::chrono::milliseconds(step.choice * 60));
      case StepKind::kTakeOver:
        return owner.TakeOver(++epoch_);
      case StepKind::kResign:
        return owner.log().Resign();
      default:
        if (owner.store().pending() == 0) return;
        return EndCall(owner, step.kind, step.choice % owner.store().pending());
    }
  }

  static void EndCall(ClaimOwner& owner, StepKind kind, std::size_t index) {
    switch (kind) {
      case StepKind::kServe:
        return owner.store().Serve(index);
      case StepKind::kLoseAnswer:
        return owner.store().LoseAnswer(index);
      case StepKind::kLoseCall:
        return owner.store().LoseCall(index);
      case StepKind::kDelay:
        return owner.store().Delay(index);
      default:
        return owner.store().ServeAndHold(index);
    }
  }

  void Add(ClaimOwner& owner, std::size_t choice) {
    const std::size_t key = choice % kKeys;
    const std::size_t submission = choice / kKeys % kSubmissionsPerKey;
    ++added_;
    owner.Add("s" + std::to_string(key) + "-" + std::to_string(submission),
              "k" + std::to_string(key));
  }

  // Without further faults every claim has got one answer, and the promise holds to the end.
  void Finish() {
    for (int round = 0; round < 3; ++round) {
      for (ClaimOwner& owner : owners_) {
        owner.store().ApplyDelayed();
        owner.Settle();
      }
      clock_.Advance(2s);
    }
    Check();
    RC_ASSERT(owners_[0].answers().size() + owners_[1].answers().size() == added_);
  }

  void Check() const {
    std::map<std::string, std::string> granted;
    for (const ClaimOwner& owner : owners_) {
      for (const AnswerClaim& answer : owner.answers()) {
        if (answer.decision != ClaimDecision::kGranted) continue;
        // A submission id begins with its key: "s<key>-<number>".
        const std::string key = answer.submission_id.substr(0, answer.submission_id.find('-'));
        const auto [first, added] = granted.emplace(key, answer.submission_id);
        RC_ASSERT(first->second == answer.submission_id);
      }
    }
  }

  ManualClock clock_;
  PlatformState platform_;
  std::array<ClaimOwner, 2> owners_{ClaimOwner{"a", platform_, clock_},
                                    ClaimOwner{"b", platform_, clock_}};
  std::uint64_t epoch_ = 0;
  std::size_t added_ = 0;
};

rc::Gen<Step> AnyStep() {
  using enum StepKind;
  // Takeovers and resignations are rare enough for claims to be written between them.
  const auto kind = rc::gen::weightedElement<StepKind>({{12, kAddClaim},
                                                        {12, kTick},
                                                        {14, kServe},
                                                        {3, kLoseAnswer},
                                                        {2, kLoseCall},
                                                        {3, kDelay},
                                                        {3, kServeAndHold},
                                                        {2, kApplyDelayed},
                                                        {6, kPassTime},
                                                        {2, kTakeOver},
                                                        {1, kResign}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind, kind),
      rc::gen::set(&Step::owner, rc::gen::inRange<std::size_t>(0, 2)),
      rc::gen::set(&Step::choice, rc::gen::inRange<std::size_t>(0, kKeys * kSubmissionsPerKey)));
}

}  // namespace

// Guards against a request key that is granted to two submission ids, and a claim that is answered
// twice or never, under lost, late and reordered answers, outages and a competing owner.
Test(claim_log_property, grants_each_request_key_to_one_submission) {
  using zinniamux::tests::CheckProperty;
  CheckProperty(kSeed, "one submission per request key", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(kSteps, AnyStep());
    Competition competition;
    competition.Run(steps);
  });
}
