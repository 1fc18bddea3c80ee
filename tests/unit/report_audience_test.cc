// ReportAudience and ViewTrust: which dispatchers get every change of room, and when views are
// trusted.
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

constexpr int kDispatchers = 35;

std::string Dispatcher(int index) { return "entry-" + std::to_string(index); }

ReportAudience AudienceOf(int supervisor, int dispatchers = kDispatchers) {
  ReportAudience audience({.close_entries = 4, .pause_per_entry = milliseconds(4)},
                          "agent-" + std::to_string(supervisor));
  for (int i = 0; i < dispatchers; ++i) audience.Add(Dispatcher(i));
  return audience;
}

}  // namespace

// Guards against reports whose rate or age grows with the number of dispatchers.
Test(report_audience, limits_the_dispatchers_that_get_every_change) {
  cr_assert_eq(AudienceOf(0).close().size(), 4);
  cr_assert_eq(AudienceOf(0).pause().count(), 16);
  cr_assert_eq(AudienceOf(0, 3).close().size(), 3);
  cr_assert_eq(AudienceOf(0, 0).pause().count(), 0);
}

// Guards against dispatchers with few or no close executors, which would see no room while others
// have some. With 160 supervisors each dispatcher has 18 on average.
Test(report_audience, gives_each_dispatcher_its_share_of_supervisors) {
  constexpr int kSupervisors = 160;
  std::map<std::string, int> supervisors_of;
  for (int supervisor = 0; supervisor < kSupervisors; ++supervisor) {
    const ReportAudience audience = AudienceOf(supervisor);
    for (const std::string& dispatcher : audience.close()) ++supervisors_of[dispatcher];
  }
  cr_assert_eq(supervisors_of.size(), kDispatchers);
  for (const auto& [dispatcher, supervisors] : supervisors_of) {
    cr_assert_geq(supervisors, 6, "%s", dispatcher.c_str());
  }
}

// Guards against changes to the other close dispatchers when one is added or removed.
Test(report_audience, keeps_the_other_close_dispatchers_when_one_is_removed) {
  ReportAudience audience = AudienceOf(7);
  const std::set<std::string> before = audience.close();
  const std::string gone = *before.begin();
  cr_assert(audience.Remove(gone));
  cr_assert_not(audience.IsClose(gone));
  cr_assert_eq(audience.close().size(), 4);
  for (const std::string& dispatcher : before) {
    if (dispatcher != gone) cr_assert(audience.IsClose(dispatcher), "%s", dispatcher.c_str());
  }
  cr_assert(audience.Add(gone));
  cr_assert(audience.close() == before);
}

// Guards against reports to all dispatchers when the close ones have not changed.
Test(report_audience, returns_whether_the_close_dispatchers_changed) {
  ReportAudience audience = AudienceOf(7);
  cr_assert_not(audience.Add(*audience.close().begin()));
  cr_assert_not(audience.Remove("unknown"));
  for (int i = 0; i < kDispatchers; ++i) {
    if (!audience.IsClose(Dispatcher(i))) cr_assert_not(audience.Remove(Dispatcher(i)));
  }
  cr_assert_eq(audience.close().size(), 4);
}

// Load pattern of a small deployment with more dispatchers than usual: eight dispatchers and nine
// executors. Guards against dispatchers that see half of the room and refuse jobs although the
// other half is free.
Test(report_audience, includes_dispatchers_that_request_every_change) {
  ReportAudience audience = AudienceOf(7, 8);
  for (int i = 0; i < 8; ++i) audience.SetWanted(Dispatcher(i), true);
  cr_assert_eq(audience.close().size(), 8);
  cr_assert_eq(audience.pause().count(), 32);
  cr_assert_not(audience.SetWanted(Dispatcher(0), true));
  cr_assert(audience.Remove(Dispatcher(0)));
  for (int i = 1; i < 8; ++i) audience.SetWanted(Dispatcher(i), false);
  cr_assert_eq(audience.close().size(), 4);
}

// Guards against most orders being refused while all dispatchers compete for room, and against
// views that stay untrusted after that.
Test(view_trust, is_lost_by_refusals_and_recovers) {
  ViewTrust trust;
  TimePoint now{seconds(100)};
  trust.RecordOrders(3, now);
  for (int i = 0; i < 3; ++i) trust.RecordRefusal(now);
  cr_assert(trust.is_trusted(now), "too few orders to judge");
  trust.RecordOrders(7, now);
  cr_assert(trust.is_trusted(now), "3 of 10 may be refused");
  trust.RecordRefusal(now);
  cr_assert_not(trust.is_trusted(now));
  now += seconds(2);
  cr_assert(trust.is_trusted(now), "fewer than four orders remain after the decay");
}
