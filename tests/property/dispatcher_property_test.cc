// ShardDispatcher and AgentCore together, under faults: promises P1 to P5.
#include <cstdlib>
#include <vector>

#include "property/dispatch_world.h"
#include "property/property.h"

namespace {

using zinniamux::tests::CheckProperty;
using zinniamux::tests::DispatchWorld;
using zinniamux::tests::Event;
using zinniamux::tests::Step;

// Steps with the given weight per event.
rc::Gen<std::vector<Step>> Steps(const std::vector<std::pair<std::size_t, Event>>& weights) {
  std::vector<Event> events;
  for (const auto& [weight, event] : weights) events.insert(events.end(), weight, event);
  const auto step =
      rc::gen::build<Step>(rc::gen::set(&Step::event, rc::gen::elementOf(events)),
                           rc::gen::set(&Step::subject, rc::gen::inRange<std::uint32_t>(0, 12)),
                           rc::gen::set(&Step::variant, rc::gen::inRange<std::uint32_t>(0, 4800)));
  return rc::gen::container<std::vector<Step>>(step);
}

void CheckWorld(std::uint64_t seed, const std::string& description,
                const rc::Gen<std::vector<Step>>& steps) {
  // Faults meet only in long runs; RapidCheck's default is 100 cases of at most 100 steps.
  const std::string params = "seed=" + std::to_string(seed) + " max_success=3000 max_size=300";
  setenv("RC_PARAMS", params.c_str(), /*overwrite=*/0);
  std::size_t starts = 0;
  std::size_t completed = 0;
  CheckProperty(seed, description, [&] {
    DispatchWorld world;
    for (const Step& step : *steps) {
      world.Run(step);
      RC_ASSERT(world.violation() == "");
    }
    world.Heal();
    RC_ASSERT(world.violation() == "");
    starts += world.starts();
    completed += world.completed();
  });
  std::cerr << description << ": " << starts << " tasks started, " << completed
            << " jobs completed\n";
}

}  // namespace

// Guards against double starts, lost slots and partial answers when streams break and agents die.
Test(dispatcher, keeps_promises_under_one_owner) {
  CheckWorld(20261, "one owner",
             Steps({{30, Event::kDeliverToAgent},
                    {20, Event::kDeliverToEntry},
                    {12, Event::kEndTask},
                    {12, Event::kSubmit},
                    {3, Event::kCancel},
                    {2, Event::kFetch},
                    {4, Event::kAdvance},
                    {3, Event::kDisconnect},
                    {6, Event::kConnect},
                    {2, Event::kKillAgent},
                    {6, Event::kStore},
                    {4, Event::kStatus},
                    {1, Event::kSettle}}));
}

// Guards against double starts and false "not run" claims when owners die, pause or hand over.
Test(dispatcher, keeps_promises_over_takeovers) {
  CheckWorld(20262, "takeovers",
             Steps({{30, Event::kDeliverToAgent},
                    {25, Event::kDeliverToEntry},
                    {10, Event::kEndTask},
                    {14, Event::kSubmit},
                    {2, Event::kCancel},
                    {2, Event::kFetch},
                    {3, Event::kAdvance},
                    {1, Event::kDisconnect},
                    {10, Event::kConnect},
                    {1, Event::kKillAgent},
                    {2, Event::kTakeOver},
                    {1, Event::kHandOver},
                    {8, Event::kStore},
                    {2, Event::kStatus},
                    {4, Event::kSettle}}));
}
