// HttpTableStore against the platform stand-in, run within this process.
#include "adapters/http_table_store.h"

#include <criterion/criterion.h>

#include <future>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/steady_clock.h"
#include "standins/platform_standin/platform_service.h"

namespace {

using namespace std::chrono_literals;
using zinniamux::adapters::HttpClient;
using zinniamux::adapters::HttpRequest;
using zinniamux::adapters::HttpResponder;
using zinniamux::adapters::HttpServer;
using zinniamux::adapters::HttpTableStore;
using zinniamux::adapters::SteadyClock;
using zinniamux::core::CommitOutcome;
using zinniamux::core::ErrorKind;
using zinniamux::core::Result;
using zinniamux::core::TableRow;
using zinniamux::core::TableTransaction;
using zinniamux::standins::FaultMode;
using zinniamux::standins::PlatformService;

// A stand-in on a free port, and a store that uses it.
class StoreFixture {
 public:
  explicit StoreFixture(std::chrono::milliseconds deadline = 10s) {
    const auto handle = [this](HttpRequest request, HttpResponder respond) {
      service_.Handle(std::move(request), std::move(respond));
    };
    std::uint16_t port = kFirstPort;
    while (server_ == nullptr && port < kEndPort) {
      auto server = HttpServer::Start({.port = ++port}, handle);
      if (server) server_ = std::move(*server);
    }
    cr_assert(server_ != nullptr);
    store_.emplace(HttpTableStore::Options{.url = "http://127.0.0.1:" + std::to_string(port),
                                           .deadline = deadline},
                   client_, clock_);
  }

  PlatformService& service() { return service_; }

  CommitOutcome Commit(TableTransaction transaction) {
    std::promise<CommitOutcome> promise;
    store_->Commit(std::move(transaction),
                   [&](CommitOutcome outcome) { promise.set_value(outcome); });
    return promise.get_future().get();
  }

  Result<std::optional<TableRow>> ReadRow(const std::string& key) {
    std::promise<Result<std::optional<TableRow>>> promise;
    store_->ReadRow(key, [&](auto row) { promise.set_value(std::move(row)); });
    return promise.get_future().get();
  }

  Result<std::vector<TableRow>> ReadRows(const std::string& prefix) {
    std::promise<Result<std::vector<TableRow>>> promise;
    store_->ReadRows(prefix, [&](auto rows) { promise.set_value(std::move(rows)); });
    return promise.get_future().get();
  }

  Result<std::string> ReadObject(const std::string& key) {
    std::promise<Result<std::string>> promise;
    store_->ReadObject(key, [&](auto body) { promise.set_value(std::move(body)); });
    return promise.get_future().get();
  }

  bool WriteObject(const std::string& key, const std::string& body) {
    std::promise<bool> promise;
    store_->WriteObject(key, body, [&](auto done) { promise.set_value(done.has_value()); });
    return promise.get_future().get();
  }

 private:
  static constexpr std::uint16_t kFirstPort = 32100;
  static constexpr std::uint16_t kEndPort = 32400;

  SteadyClock clock_;
  PlatformService service_{0ms};
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
  std::optional<HttpTableStore> store_;
};

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
