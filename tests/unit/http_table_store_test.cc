// HttpTableStore against the platform stand-in, run within this process.
#include "adapters/http_table_store.h"

#include <criterion/criterion.h>

#include "support/store_fixture.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::core::CommitOutcome;
using zinniamux::core::ErrorKind;
using zinniamux::core::TableTransaction;
using zinniamux::standins::FaultMode;
using zinniamux::testing::StoreFixture;

TableTransaction PutIf(const std::string& key, std::uint64_t version, const std::string& value) {
  return {.conditions = {{key, version}}, .puts = {{key, value}}};
}

}  // namespace

// Guards against conditions that are not checked and versions that do not increase.
Test(http_table_store, commits_only_when_conditions_hold) {
  StoreFixture fixture;
  cr_assert(fixture.Commit(PutIf("a", 0, "first")) == CommitOutcome::kCommitted);
  const std::uint64_t version = (*fixture.ReadRow("a"))->version;
  cr_assert(fixture.Commit(PutIf("a", 0, "second")) == CommitOutcome::kConflict);
  cr_assert((*fixture.ReadRow("a"))->value == "first");
  cr_assert(fixture.Commit(PutIf("a", version, "third")) == CommitOutcome::kCommitted);
  cr_assert((*fixture.ReadRow("a"))->version > version);
  cr_assert(!fixture.ReadRow("b")->has_value());
}

// Guards against keys and values that are altered on their way, and against a prefix that matches
// foreign rows.
Test(http_table_store, keeps_keys_and_bodies_unchanged) {
  StoreFixture fixture;
  const std::string key = "claim/0/a b&c=%+?";
  const std::string value = "{\"text\": \"\\u00e5 \xc3\xa5\"}\n";
  cr_assert(fixture.Commit(PutIf(key, 0, value)) == CommitOutcome::kCommitted);
  cr_assert(fixture.Commit(PutIf("claim/1/a", 0, "")) == CommitOutcome::kCommitted);
  const auto rows = fixture.ReadRows("claim/0/");
  cr_assert(rows->size() == 1 && rows->front().key == key && rows->front().value == value);
  const std::string body("\0\xff binary", 9);
  cr_assert(fixture.WriteObject("config/x y", body));
  cr_assert(*fixture.ReadObject("config/x y") == body);
  cr_assert(fixture.ReadObject("config/z").error().kind == ErrorKind::kNotFound);
}

// Guards against rows that are missing or repeated where one page ends and the next begins.
Test(http_table_store, reads_rows_over_several_pages) {
  constexpr int kRows = 30;
  StoreFixture fixture;
  for (int number = 10; number < 10 + kRows; ++number) {
    const TableTransaction put = PutIf("a/" + std::to_string(number), 0, std::string(100'000, 'x'));
    cr_assert(fixture.service().Commit(put));
  }
  cr_assert(fixture.Commit(PutIf("b", 0, "")) == CommitOutcome::kCommitted);
  const auto rows = fixture.ReadRows("a/");
  cr_assert(rows->size() == kRows);
  for (int i = 0; i < kRows; ++i) {
    cr_assert((*rows)[static_cast<std::size_t>(i)].key == "a/" + std::to_string(10 + i));
  }
  cr_assert(fixture.service().Stats().reads > 1);
}

// Guards against a lost answer that is taken for a conflict or a success.
Test(http_table_store, reports_a_lost_answer_as_unknown) {
  StoreFixture fixture;
  fixture.service().SetFaults({.mode = FaultMode::kLoseAnswers});
  cr_assert(fixture.Commit(PutIf("a", 0, "written")) == CommitOutcome::kUnknown);
  cr_assert((*fixture.ReadRow("a"))->value == "written");
  fixture.service().SetFaults({.mode = FaultMode::kLoseWrites});
  cr_assert(fixture.Commit(PutIf("b", 0, "lost")) == CommitOutcome::kUnknown);
  cr_assert(!fixture.ReadRow("b")->has_value());
}

// Guards against an outage that reads as a missing row, and against calls without a deadline.
Test(http_table_store, reports_an_outage_as_unavailable) {
  StoreFixture fixture(200ms);
  for (const FaultMode mode : {FaultMode::kDown, FaultMode::kSilent}) {
    fixture.service().SetFaults({.mode = mode});
    cr_assert(fixture.ReadRow("a").error().kind == ErrorKind::kStoreUnavailable);
    cr_assert(fixture.ReadRows("a").error().kind == ErrorKind::kStoreUnavailable);
    cr_assert(fixture.ReadObject("a").error().kind == ErrorKind::kStoreUnavailable);
    cr_assert(fixture.Commit(PutIf("a", 0, "")) == CommitOutcome::kUnknown);
  }
}
