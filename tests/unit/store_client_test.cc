// StoreClient against an HTTP server that plays back answers of the platform's store.
#include "platform/store_client.h"

#include <criterion/criterion.h>

#include <future>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "adapters/base64.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/steady_clock.h"
#include "support/port_block.h"

namespace {

using nlohmann::json;
using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::HttpResponse;
using zinniamux::core::CommitOutcome;
using zinniamux::core::ConfigurationSource;
using zinniamux::core::ErrorKind;
using zinniamux::core::EvacuationState;
using zinniamux::core::Result;
using zinniamux::core::TableRow;

// Returns the given answers in order, then 503, and records the calls.
class ScriptedStore {
 public:
  explicit ScriptedStore(std::vector<HttpResponse> answers) : answers_(std::move(answers)) {
    const std::uint16_t port = ports_.Next();
    server_ = *zinniamux::adapters::HttpServer::Start(
        {.port = port}, [this](HttpRequest request, const HttpResponder& responder) {
          const std::lock_guard lock(mutex_);
          calls_.push_back(std::move(request));
          responder(calls_.size() <= answers_.size() ? answers_[calls_.size() - 1]
                                                     : HttpResponse{.status = 503});
        });
    client_ = std::make_unique<zinniamux::platform::StoreClient>(
        zinniamux::platform::StoreClient::Options{.url =
                                                      "http://127.0.0.1:" + std::to_string(port)},
        http_, clock_,
        [this](const zinniamux::core::UnreadableRow& row) { unreadable_.push_back(row); });
  }

  zinniamux::platform::StoreClient& client() { return *client_; }
  // Rows reported before the last answer that was waited for.
  const std::vector<zinniamux::core::UnreadableRow>& unreadable() const { return unreadable_; }
  std::vector<HttpRequest> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  zinniamux::testing::PortBlock ports_;
  std::mutex mutex_;
  std::vector<HttpResponse> answers_;
  std::vector<HttpRequest> calls_;
  std::vector<zinniamux::core::UnreadableRow> unreadable_;
  std::unique_ptr<zinniamux::adapters::HttpServer> server_;
  zinniamux::adapters::SteadyClock clock_;
  zinniamux::adapters::HttpClient http_;
  std::unique_ptr<zinniamux::platform::StoreClient> client_;
};

std::string RowsBody(const std::vector<std::pair<std::string, std::string>>& rows, bool more) {
  json body{{"rows", json::array()}, {"has_more", more}, {"ver", 530}, {"now_ms", 1}};
  for (const auto& [key, value] : rows) {
    body["rows"].push_back({{"table", "t"},
                            {"part", ""},
                            {"key", key},
                            {"value", zinniamux::adapters::EncodeBase64(value)},
                            {"ver", 5}});
  }
  return body.dump();
}

// More brackets than the stack of a thread has room for calls.
constexpr std::size_t kDeepNesting = 200'000;

std::string Row(const std::string& key) {
  return R"({"key":")" + key + R"(","value":"MQ==","ver":5})";
}

// A page whose rows are given as JSON.
std::string PageOf(const std::vector<std::string>& rows, bool more) {
  std::string list;
  for (const std::string& row : rows) list += (list.empty() ? "" : ",") + row;
  return R"({"rows":[)" + list + R"(],"ver":530,"has_more":)" + (more ? "true" : "false") + "}";
}

template <typename Value, typename Call>
Value CallAndWait(Call&& call) {
  auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> future = promise->get_future();
  call([promise](Value value) { promise->set_value(std::move(value)); });
  return future.get();
}

Result<std::vector<TableRow>> ReadRows(ScriptedStore& store, const std::string& prefix) {
  return CallAndWait<Result<std::vector<TableRow>>>(
      [&](auto done) { store.client().ReadRows(prefix, done); });
}

}  // namespace

// Guards against losing rows after the first page, and against reading a page twice.
Test(store_client, reads_all_pages) {
  ScriptedStore store({{.body = RowsBody({{"entry/a", "1"}, {"entry/b", "2"}}, true)},
                       {.body = RowsBody({{"entry/c", "3"}}, false)}});
  const auto rows = ReadRows(store, "entry/");
  cr_assert_eq(rows->size(), 3);
  cr_assert_eq(rows->at(2).value, "3");
  cr_assert_eq(store.calls().size(), 2);
  cr_assert(store.calls().at(1).query.find("from=entry%2Fb%01") != std::string::npos, "%s",
            store.calls().at(1).query.c_str());
}

// Guards against one row of another writer that keeps all others from being read: a value that is
// not base64, a field that is missing, of another type or out of range, and one nested very deeply.
Test(store_client, leaves_out_rows_that_cannot_be_decoded) {
  const std::string nested = std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
  for (const std::string& odd :
       {std::string(R"({"key":"entry/b","value":"*","ver":5})"),
        std::string(R"({"key":"entry/b","value":7,"ver":5})"),
        std::string(R"({"key":"entry/b","value":"MQ=="})"),
        std::string(R"({"key":"entry/b","value":"MQ==","ver":-5})"),
        std::string(R"({"key":"entry/b","value":"MQ==","ver":1e300})"),
        std::string(R"({"key":"entry/b","value":"MQ==","ver":9223372036854775808})"),
        std::string(R"({"key":7,"value":"MQ==","ver":5})"),
        std::string(R"({"value":"MQ==","ver":5})"), std::string(R"("entry/b")"),
        R"({"key":"entry/b","ver":5,"value":)" + nested + "}", nested}) {
    ScriptedStore store({{.body = PageOf({Row("entry/a"), odd, Row("entry/c")}, false)}});
    const auto rows = ReadRows(store, "entry/");
    cr_assert(rows.has_value(), "%s", odd.substr(0, 100).c_str());
    cr_assert_eq(rows->size(), 2);
    cr_assert_eq(rows->front().key, "entry/a");
    cr_assert_eq(rows->back().key, "entry/c");
    cr_assert_eq(store.unreadable().size(), 1);
    cr_assert_not(store.unreadable().front().reason.empty());
  }
}

// Guards against pages that are never read, or read again and again, because the last row of a page
// cannot be decoded.
Test(store_client, reads_on_after_a_page_that_ends_with_an_odd_row) {
  const std::string odd = R"({"key":"entry/b","value":"*","ver":5})";
  ScriptedStore store({{.body = PageOf({Row("entry/a"), odd}, true)},
                       {.body = PageOf({odd}, true)},
                       {.body = PageOf({Row("entry/c")}, false)}});
  const auto rows = ReadRows(store, "entry/");
  cr_assert_eq(store.calls().size(), 2);
  cr_assert(store.calls().at(1).query.find("from=entry%2Fb%01") != std::string::npos, "%s",
            store.calls().at(1).query.c_str());
  // The second page did not lead any further.
  cr_assert(rows.error().kind == ErrorKind::kStoreUnavailable);
  cr_assert_eq(ReadRows(store, "entry/")->front().key, "entry/c");
}

// Guards against a row that cannot be decoded being mistaken for a row that does not exist.
Test(store_client, odd_row_is_no_missing_row) {
  const std::string odd = R"({"key":"config","value":"*","ver":5})";
  ScriptedStore store({{.body = PageOf({odd}, false)}, {.body = PageOf({odd}, false)}});
  const auto document = CallAndWait<Result<ConfigurationSource::Document>>(
      [&](auto done) { store.client().ReadConfiguration(done); });
  cr_assert(document.error().kind == ErrorKind::kStoreUnavailable);
  const auto row = CallAndWait<Result<std::optional<TableRow>>>(
      [&](auto done) { store.client().ReadRow("config", done); });
  cr_assert(row.error().kind == ErrorKind::kStoreUnavailable);
}

// Guards against an outage, or a malformed answer, that is mistaken for an empty table.
Test(store_client, distinguishes_outage_from_empty_table) {
  ScriptedStore store({{.status = 503}, {.body = RowsBody({}, false)}, {.body = "not json"}});
  cr_assert(ReadRows(store, "entry/").error().kind == ErrorKind::kStoreUnavailable);
  cr_assert(ReadRows(store, "entry/")->empty());
  cr_assert(ReadRows(store, "entry/").error().kind == ErrorKind::kStoreUnavailable);
}

// Guards against a conflict that is mistaken for success, and against an unknown outcome that is
// mistaken for either.
Test(store_client, distinguishes_commit_outcomes) {
  ScriptedStore store(
      {{.body = R"({"ver":1,"now_ms":1})"}, {.status = 412, .body = "{}"}, {.status = 503}});
  const auto commit = [&store] {
    return CallAndWait<CommitOutcome>([&](auto done) {
      store.client().Commit(
          {.conditions = {{.key = "entry/a", .version = 4}}, .puts = {{"entry/a", "v"}}}, done);
    });
  };
  cr_assert(commit() == CommitOutcome::kCommitted);
  cr_assert(commit() == CommitOutcome::kConflict);
  cr_assert(commit() == CommitOutcome::kUnknown);
  const json body = json::parse(store.calls().at(0).body);
  cr_assert_eq(body["expected"][0]["ver"], 4);
  cr_assert_eq(body["upserts"][0]["value"], zinniamux::adapters::EncodeBase64("v"));
}

// Guards against changes that are missed when the store has dropped its history of changes.
Test(store_client, reports_dropped_history) {
  ScriptedStore store(
      {{.status = 410}, {.body = R"({"rows":[{"key":"x","removed":true}],"ver":533,"now_ms":1})"}});
  const auto await_change = [&store] {
    return CallAndWait<Result<std::uint64_t>>(
        [&](auto done) { store.client().AwaitChange(530, std::chrono::milliseconds(10), done); });
  };
  cr_assert(await_change().error().kind == ErrorKind::kNotFound);
  cr_assert_eq(*await_change(), 533);
}

// Guards against a missing configuration that is mistaken for an outage, or for an empty one.
Test(store_client, reads_the_configuration) {
  ScriptedStore store(
      {{.body = RowsBody({}, false)}, {.body = RowsBody({{"config", "{}"}}, false)}});
  const auto read_configuration = [&store] {
    return CallAndWait<Result<ConfigurationSource::Document>>(
        [&](auto done) { store.client().ReadConfiguration(done); });
  };
  cr_assert(read_configuration().error().kind == ErrorKind::kNotFound);
  const auto document = read_configuration();
  cr_assert_eq(document->body, "{}");
  cr_assert_eq(document->position, 530);
}

// Guards against a row without a readable value that names no zone, and against one that hides
// others: an unreadable key, and a page that is not the last one.
Test(store_client, reads_evacuated_zones_from_the_keys) {
  ScriptedStore store(
      {{.body = PageOf(
            {Row("evacuate/"), R"({"key":7})", R"({"key":"evacuate/zone-a","value":"*"})"}, true)},
       {.body = PageOf({R"({"key":"evacuate/zone-b"})"}, false)}});
  const auto read = [&store] {
    return CallAndWait<Result<EvacuationState>>(
        [&](auto done) { store.client().ReadEvacuation(done); });
  };
  const auto state = read();
  cr_assert_eq(state->version, 530);
  cr_assert_eq(state->zones, (std::set<std::string>{"zone-a", "zone-b"}));
  cr_assert_eq(store.unreadable().size(), 2);
  cr_assert(store.calls().at(0).query.find("table=op&part=&from=evacuate%2F&") != std::string::npos,
            "%s", store.calls().at(0).query.c_str());
  cr_assert(store.calls().at(1).query.find("from=evacuate%2Fzone-a%01") != std::string::npos, "%s",
            store.calls().at(1).query.c_str());
  // The store is down: not the same as no evacuated zone.
  cr_assert(read().error().kind == ErrorKind::kStoreUnavailable);
}
