// ReportAudience and ViewTrust: who sees changes of room at once, and when views are not trusted.
#include "core/report_audience.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>

#include "core/view_trust.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using zinniamux::core::ReportAudience;
using zinniamux::core::TimePoint;
using zinniamux::core::ViewTrust;

constexpr int kEntries = 35;

std::string Entry(int index) { return "entry-" + std::to_string(index); }

ReportAudience AudienceOf(int agent, int entries = kEntries) {
  ReportAudience audience({.close_entries = 4, .pause_per_entry = milliseconds(4)},
                          "agent-" + std::to_string(agent));
  for (int i = 0; i < entries; ++i) audience.Add(Entry(i));
  return audience;
}

}  // namespace

// Guards against reports whose rate or age grows with the number of entries.
Test(report_audience, bounds_the_entries_that_see_every_change) {
  cr_assert_eq(AudienceOf(0).close().size(), 4);
  cr_assert_eq(AudienceOf(0).pause().count(), 16);
  cr_assert_eq(AudienceOf(0, 3).close().size(), 3);
  cr_assert_eq(AudienceOf(0, 0).pause().count(), 0);
}

// Guards against entries with few or no close executors, which would see no room while others have
// some: with 160 agents each entry has 18 on average.
Test(report_audience, gives_each_entry_its_share_of_agents) {
  constexpr int kAgents = 160;
  std::map<std::string, int> agents_of;
  for (int agent = 0; agent < kAgents; ++agent) {
    const ReportAudience audience = AudienceOf(agent);
    for (const std::string& entry : audience.close()) ++agents_of[entry];
  }
  cr_assert_eq(agents_of.size(), kEntries);
  for (const auto& [entry, agents] : agents_of) cr_assert_geq(agents, 6, "%s", entry.c_str());
}

// Guards against a shuffle of all pairs when one entry comes or goes.
Test(report_audience, keeps_the_other_entries_when_one_goes) {
  ReportAudience audience = AudienceOf(7);
  const std::set<std::string> before = audience.close();
  const std::string gone = *before.begin();
  cr_assert(audience.Remove(gone));
  cr_assert_not(audience.IsClose(gone));
  cr_assert_eq(audience.close().size(), 4);
  for (const std::string& entry : before) {
    if (entry != gone) cr_assert(audience.IsClose(entry), "%s", entry.c_str());
  }
  cr_assert(audience.Add(gone));
  cr_assert(audience.close() == before);
}

// Guards against reports to all entries when nothing has changed.
Test(report_audience, tells_whether_the_close_entries_changed) {
  ReportAudience audience = AudienceOf(7);
  cr_assert_not(audience.Add(*audience.close().begin()));
  cr_assert_not(audience.Remove("unknown"));
  for (int i = 0; i < kEntries; ++i) {
    if (!audience.IsClose(Entry(i))) cr_assert_not(audience.Remove(Entry(i)));
  }
  cr_assert_eq(audience.close().size(), 4);
}

// Load pattern of a small deployment with more entries than usual: eight entries and nine
// executors. Guards against entries that see half of the room and refuse jobs beside the rest.
Test(report_audience, includes_entries_that_ask_for_every_change) {
  ReportAudience audience = AudienceOf(7, 8);
  for (int i = 0; i < 8; ++i) audience.SetWanted(Entry(i), true);
  cr_assert_eq(audience.close().size(), 8);
  cr_assert_eq(audience.pause().count(), 32);
  cr_assert_not(audience.SetWanted(Entry(0), true));
  cr_assert(audience.Remove(Entry(0)));
  for (int i = 1; i < 8; ++i) audience.SetWanted(Entry(i), false);
  cr_assert_eq(audience.close().size(), 4);
}

// Guards against orders that are refused one after the other while everybody waits, and against
// views that stay distrusted after that.
Test(view_trust, is_lost_by_refusals_and_comes_back) {
  ViewTrust trust;
  TimePoint now{seconds(100)};
  trust.RecordOrders(3, now);
  for (int i = 0; i < 3; ++i) trust.RecordRefusal(now);
  cr_assert(trust.is_trusted(now), "a few orders say little");
  trust.RecordOrders(7, now);
  cr_assert(trust.is_trusted(now), "3 of 10 may miss");
  trust.RecordRefusal(now);
  cr_assert_not(trust.is_trusted(now));
  now += seconds(2);
  cr_assert(trust.is_trusted(now), "fewer than four orders are left");
}
