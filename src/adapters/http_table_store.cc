// Encoding of store calls as HTTP requests, and of their answers as results.
#include "adapters/http_table_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/percent_encoding.h"

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

// libcurl reuses a connection that was idle for up to 118 s. After a failure every pooled
// connection may be silent, so none of them is used until they have all exceeded that age.
constexpr std::chrono::seconds kFreshAfterFailure{120};

core::Error Unavailable(const HttpResult& result) {
  std::string reason = result.status == 0 ? result.failure : std::to_string(result.status);
  return {core::ErrorKind::kStoreUnavailable, "the store did not answer: " + reason, {}};
}

core::Error Malformed(const char* reason) {
  return {core::ErrorKind::kStoreUnavailable, std::string("the store's answer: ") + reason, {}};
}

core::TableRow ParseRow(const json& item) {
  return {.key = item.at("key"), .value = item.at("value"), .version = item.at("version")};
}

core::Result<std::optional<core::TableRow>> ParseRowAnswer(const HttpResult& result) {
  if (result.status != kOk) return tl::unexpected(Unavailable(result));
  try {
    const json root = json::parse(result.body);
    const json& row = root.at("row");
    if (row.is_null()) return std::optional<core::TableRow>();
    return ParseRow(row);
  } catch (const json::exception& error) {
    return tl::unexpected(Malformed(error.what()));
  }
}

core::Result<std::vector<core::TableRow>> ParseRowsAnswer(const HttpResult& result) {
  if (result.status != kOk) return tl::unexpected(Unavailable(result));
  try {
    std::vector<core::TableRow> rows;
    const json root = json::parse(result.body);
    for (const json& item : root.at("rows")) rows.push_back(ParseRow(item));
    return rows;
  } catch (const json::exception& error) {
    return tl::unexpected(Malformed(error.what()));
  }
}

core::CommitOutcome CommitOutcomeOf(const HttpResult& result) {
  if (result.status == kOk) return core::CommitOutcome::kCommitted;
  if (result.status == kConflict) return core::CommitOutcome::kConflict;
  return core::CommitOutcome::kUnknown;
}

std::string FormatTransaction(const core::TableTransaction& transaction) {
  json root = {
      {"conditions", json::array()}, {"puts", json::array()}, {"deletes", transaction.deletes}};
  for (const auto& condition : transaction.conditions) {
    root["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
  }
  for (const auto& put : transaction.puts) {
    root["puts"].push_back({{"key", put.key}, {"value", put.value}});
  }
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

struct HttpTableStore::Health {
  // Time of the last request without a usable answer, in microseconds of the clock.
  std::atomic<core::Duration::rep> last_failure{std::numeric_limits<core::Duration::rep>::min() /
                                                2};
};

HttpTableStore::HttpTableStore(Options options, HttpClient& client, const core::Clock& clock)
    : options_(std::move(options)),
      client_(client),
      clock_(clock),
      health_(std::make_shared<Health>()) {}

void HttpTableStore::ReadRow(std::string key, RowCallback callback) {
  Send(CallOf("GET", "/table/row?key=" + PercentEncode(key)),
       [callback = std::move(callback)](const HttpResult& result) {
         callback(ParseRowAnswer(result));
       });
}

void HttpTableStore::ReadRows(std::string prefix, RowsCallback callback) {
  Send(CallOf("GET", "/table/rows?prefix=" + PercentEncode(prefix)),
       [callback = std::move(callback)](const HttpResult& result) {
         callback(ParseRowsAnswer(result));
       });
}

void HttpTableStore::Commit(core::TableTransaction transaction, CommitCallback callback) {
  HttpCall call = CallOf("POST", "/table/transaction");
  call.headers = {{"Content-Type", "application/json"}};
  call.body = FormatTransaction(transaction);
  // A transaction that libcurl sent a second time after it took effect would be answered with a
  // conflict, which says that nothing was written.
  call.fresh_connection = true;
  Send(std::move(call), [callback = std::move(callback)](const HttpResult& result) {
    callback(CommitOutcomeOf(result));
  });
}

void HttpTableStore::ReadObject(std::string key, ObjectCallback callback) {
  Send(CallOf("GET", "/objects/" + PercentEncode(key)),
       [callback = std::move(callback)](HttpResult result) {
         if (result.status == kOk) return callback(std::move(result.body));
         if (result.status == kNotFound) {
           return callback(
               tl::unexpected(core::Error{core::ErrorKind::kNotFound, "no such object", {}}));
         }
         callback(tl::unexpected(Unavailable(result)));
       });
}

void HttpTableStore::WriteObject(std::string key, std::string body, DoneCallback callback) {
  HttpCall call = CallOf("PUT", "/objects/" + PercentEncode(key));
  call.headers = {{"Content-Type", "application/octet-stream"}};
  call.body = std::move(body);
  Send(std::move(call), [callback = std::move(callback)](const HttpResult& result) {
    if (result.status == kOk) return callback({});
    callback(tl::unexpected(Unavailable(result)));
  });
}

HttpCall HttpTableStore::CallOf(std::string method, const std::string& path) const {
  return {.method = std::move(method), .url = options_.url + path, .timeout = options_.deadline};
}

void HttpTableStore::Send(HttpCall call, HttpClient::Callback callback) {
  const core::Duration since_failure =
      clock_.now().time_since_epoch() - core::Duration(health_->last_failure.load());
  if (since_failure < kFreshAfterFailure) call.fresh_connection = true;
  client_.Send(std::move(call), [health = health_, &clock = clock_,
                                 callback = std::move(callback)](HttpResult result) {
    if (result.status == 0) health->last_failure = clock.now().time_since_epoch().count();
    callback(std::move(result));
  });
}

}  // namespace zinniamux::adapters
