// The platform stand-in within this process, and a store that uses it over loopback.
#ifndef ZINNIAMUX_TESTS_SUPPORT_STORE_FIXTURE_H_
#define ZINNIAMUX_TESTS_SUPPORT_STORE_FIXTURE_H_

#include <criterion/criterion.h>

#include <future>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "adapters/http_table_store.h"
#include "adapters/steady_clock.h"
#include "standins/platform_standin/platform_service.h"

namespace zinniamux::testing {

// Blocking calls for tests.
class StoreFixture {
 public:
  explicit StoreFixture(std::chrono::milliseconds deadline = std::chrono::seconds(10)) {
    const auto handle = [this](adapters::HttpRequest request, adapters::HttpResponder respond) {
      service_.Handle(std::move(request), std::move(respond));
    };
    std::uint16_t port = kFirstPort;
    while (server_ == nullptr && port < kEndPort) {
      auto server = adapters::HttpServer::Start({.port = ++port}, handle);
      if (server) server_ = std::move(*server);
    }
    cr_assert(server_ != nullptr);
    store_.emplace(
        adapters::HttpTableStore::Options{.url = "http://127.0.0.1:" + std::to_string(port),
                                          .deadline = deadline},
        client_, clock_);
  }

  standins::PlatformService& service() { return service_; }

  core::TableStore& store() { return *store_; }
  const core::Clock& clock() const { return clock_; }

  core::CommitOutcome Commit(core::TableTransaction transaction) {
    std::promise<core::CommitOutcome> promise;
    store_->Commit(std::move(transaction),
                   [&](core::CommitOutcome outcome) { promise.set_value(outcome); });
    return promise.get_future().get();
  }

  core::Result<std::optional<core::TableRow>> ReadRow(const std::string& key) {
    std::promise<core::Result<std::optional<core::TableRow>>> promise;
    store_->ReadRow(key, [&](auto row) { promise.set_value(std::move(row)); });
    return promise.get_future().get();
  }

  core::Result<std::vector<core::TableRow>> ReadRows(const std::string& prefix) {
    std::promise<core::Result<std::vector<core::TableRow>>> promise;
    store_->ReadRows(prefix, [&](auto rows) { promise.set_value(std::move(rows)); });
    return promise.get_future().get();
  }

  core::Result<std::string> ReadObject(const std::string& key) {
    std::promise<core::Result<std::string>> promise;
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

  adapters::SteadyClock clock_;
  standins::PlatformService service_{standins::PlatformService::Options{}};
  std::unique_ptr<adapters::HttpServer> server_;
  adapters::HttpClient client_;
  std::optional<adapters::HttpTableStore> store_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_STORE_FIXTURE_H_
