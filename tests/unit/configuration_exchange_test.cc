// ConfigurationExchange: which peer is asked for a newer configuration, and when.
#include "core/configuration_exchange.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::ConfigurationExchange;
using zinniamux::core::TimePoint;

constexpr TimePoint kNow{seconds(100)};

ConfigurationExchange MakeExchange(const std::string& self) {
  return {{.delay = milliseconds(300), .pause = milliseconds(300)}, self};
}

}  // namespace

// Guards against a configuration that is replaced by an older one, and against an empty body.
Test(configuration_exchange, takes_newer_versions_only) {
  ConfigurationExchange exchange = MakeExchange("self");
  cr_assert(exchange.Take(5, "five"));
  cr_assert_not(exchange.Take(4, "four"));
  cr_assert_not(exchange.Take(5, "other"));
  cr_assert_not(exchange.Take(6, ""));
  cr_assert_eq(exchange.version(), 5);
  cr_assert_eq(exchange.body(), "five");
}

// Guards against requests that are needless because the store delivers the configuration, and
// against a process that never gets one because the first peer does not answer.
Test(configuration_exchange, asks_after_a_delay_and_repeats_the_request) {
  ConfigurationExchange exchange = MakeExchange("self");
  exchange.OnPeerVersion("a", 3, kNow);
  cr_assert_not(exchange.PeerToAsk(kNow + milliseconds(299)));
  cr_assert_eq(exchange.PeerToAsk(kNow + milliseconds(300)).value_or(""), "a");
  cr_assert_not(exchange.PeerToAsk(kNow + milliseconds(301)));
  cr_assert_eq(exchange.PeerToAsk(kNow + milliseconds(600)).value_or(""), "a");
  exchange.OnPeerGone("a");
  exchange.OnPeerVersion("b", 2, kNow + milliseconds(700));
  cr_assert_eq(exchange.PeerToAsk(kNow + milliseconds(1000)).value_or(""), "b");
  exchange.Take(2, "two");
  cr_assert_not(exchange.PeerToAsk(kNow + seconds(9)));
  exchange.OnPeerVersion("b", 2, kNow + seconds(9));
  cr_assert_not(exchange.PeerToAsk(kNow + seconds(10)));
}

// Guards against fetching an older version than the newest of the peers.
Test(configuration_exchange, asks_for_the_newest) {
  ConfigurationExchange exchange = MakeExchange("self");
  for (int i = 0; i < 10; ++i) exchange.OnPeerVersion("old-" + std::to_string(i), 3, kNow);
  exchange.OnPeerVersion("new", 4, kNow);
  cr_assert_eq(exchange.PeerToAsk(kNow + seconds(1)).value_or(""), "new");
}

// Load pattern of a change in a large deployment: 160 supervisors request it from 35 dispatchers.
// Guards against one dispatcher on a small VM that sends a copy to each supervisor.
Test(configuration_exchange, spreads_the_requests) {
  std::map<std::string, int> asked;
  for (int supervisor = 0; supervisor < 160; ++supervisor) {
    ConfigurationExchange exchange = MakeExchange("agent-" + std::to_string(supervisor));
    for (int dispatcher = 0; dispatcher < 35; ++dispatcher) {
      exchange.OnPeerVersion("entry-" + std::to_string(dispatcher), 7, kNow);
    }
    ++asked[exchange.PeerToAsk(kNow + seconds(1)).value_or("")];
  }
  for (const auto& [dispatcher, count] : asked) cr_assert_leq(count, 16, "%s", dispatcher.c_str());
}
