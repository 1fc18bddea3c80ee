// Rows of the directory of dispatchers: decoding, and refusal of rows of other writers.
#include "adapters/row_codec.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

using zinniamux::adapters::EntryRowKey;
using zinniamux::adapters::ParseEntryRow;
using zinniamux::core::TableRow;

TableRow Row(const std::string& id, const std::string& value) {
  return {.key = EntryRowKey(id), .value = value, .version = 1};
}

std::string Value(const std::string& address, const std::string& incarnation = "3",
                  const std::string& counter = "7") {
  return R"({"incarnation":)" + incarnation + R"(,"rpc_address":")" + address + R"(","counter":)" +
         counter + "}";
}

}  // namespace

// Guards against a dispatcher that its peers do not find.
Test(row_codec, reads_what_it_writes) {
  const zinniamux::core::EntryRow row{.entry = {.entry_id = "d-1",
                                                .incarnation = 1764900000000000000,
                                                .rpc_address = "10.0.0.7:4100"},
                                      .counter = 12};
  const auto read = ParseEntryRow(Row("d-1", zinniamux::adapters::ToJson(row)));
  cr_assert(read.has_value());
  cr_assert(read->row.entry == row.entry);
  cr_assert_eq(read->row.counter, 12U);
  cr_assert(ParseEntryRow(Row("d-1", Value("[fd00::7]:4100"))).has_value());
}

// Guards against entries that nothing can connect to: an address that is none, or a port out of
// range.
Test(row_codec, refuses_unusable_addresses) {
  for (const char* address : {"", "x", "10.0.0.7", "10.0.0.7:", "10.0.0.7:0", "10.0.0.7:-1",
                              "10.0.0.7:65536", "10.0.0.7:99999999999", "10.0.0.7:80x",
                              "host.example:4100", "[fd00::7:4100", "300.0.0.1:80"}) {
    cr_assert_not(ParseEntryRow(Row("d-1", Value(address))).has_value(), "%s", address);
  }
}

// Guards against numbers that are converted to others, and against an entry without an id.
Test(row_codec, refuses_malformed_rows) {
  for (const char* number :
       {"-1", "1.5", "1e300", "18446744073709551616", "true", "\"3\"", "null", "[]", "{}"}) {
    cr_assert_not(ParseEntryRow(Row("d-1", Value("10.0.0.7:80", number))).has_value(), "%s",
                  number);
    cr_assert_not(ParseEntryRow(Row("d-1", Value("10.0.0.7:80", "3", number))).has_value(), "%s",
                  number);
  }
  for (const char* value : {"", "7", "[]", "{}", "\xff\xfe", R"({"incarnation":3})"}) {
    cr_assert_not(ParseEntryRow(Row("d-1", value)).has_value(), "%s", value);
  }
  cr_assert_not(ParseEntryRow(Row("", Value("10.0.0.7:80"))).has_value());
  cr_assert_not(zinniamux::adapters::ParseShardRow(
                    R"({"epoch":-1,"owner_id":"e","incarnation":1,"rpc_address":"10.0.0.7:80"})")
                    .has_value());
}

// Guards against a key without the prefix, which would raise an exception that ends the process.
Test(row_codec, refuses_keys_of_other_rows) {
  for (const char* key : {"", "e", "shard/1", "entry"}) {
    cr_assert_not(ParseEntryRow({.key = key, .value = Value("10.0.0.7:80")}).has_value(), "%s",
                  key);
  }
}

// Guards against one odd row that hides the dispatchers of the other rows.
Test(row_codec, leaves_out_and_reports_odd_rows) {
  std::vector<std::string> reported;
  const auto entries = zinniamux::adapters::ParseEntryRows(
      {Row("a", Value("10.0.0.7:80")), Row("b", Value("10.0.0.7:65536")), Row("c", "["),
       Row("d", Value("10.0.0.8:80"))},
      [&](const zinniamux::core::UnreadableRow& row) {
        cr_assert_not(row.reason.empty());
        reported.push_back(row.key);
      });
  cr_assert_eq(entries.size(), 2);
  cr_assert_eq(entries.at(1).row.entry.entry_id, "d");
  cr_assert(reported == std::vector<std::string>({"entry/b", "entry/c"}));
}

// Guards against rows nested so deeply that reading them ends the process.
Test(row_codec, refuses_deeply_nested_rows) {
  constexpr std::size_t kDepth = 200'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  cr_assert_not(ParseEntryRow(Row("d-1", nested)).has_value());
  cr_assert_not(ParseEntryRow(Row("d-1", Value("10.0.0.7:80", nested))).has_value());
  std::string extra = Value("10.0.0.7:80");
  extra.insert(1, R"("other":)" + nested + ",");
  cr_assert_not(ParseEntryRow(Row("d-1", extra)).has_value());
  cr_assert_not(zinniamux::adapters::ParseShardRow(nested).has_value());
  cr_assert_not(zinniamux::adapters::ParseAgentsRow(R"({"agents":)" + nested + "}").has_value());
}
