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

// Appends the page's rows; returns whether more follow.
core::Result<bool> ParsePage(const HttpResult& result, std::vector<core::TableRow>& rows) {
  if (result.status != kOk) return tl::unexpected(Unavailable(result));
  try {
    const json root = json::parse(result.body);
    const json& items = root.at("rows");
    for (const json& item : items) rows.push_back(ParseRow(item));
    return !items.empty() && root.value("more", false);
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

// A read of rows that is under way.
struct HttpTableStore::RowsRead {
  std::string prefix;
  std::vector<core::TableRow> rows;
  RowsCallback callback;
};

HttpTableStore::HttpTableStore(Options options, HttpClient& client, const core::Clock& clock)
    : link_(std::make_shared<ServiceLink>(std::move(options), client, clock)) {}

void HttpTableStore::ReadRow(std::string key, RowCallback callback) {
  link_->Send(link_->CallOf("GET", "/table/row?key=" + PercentEncode(key)),
              [callback = std::move(callback)](const HttpResult& result) {
                callback(ParseRowAnswer(result));
              });
}

void HttpTableStore::ReadRows(std::string prefix, RowsCallback callback) {
  ReadPage(link_, std::make_shared<RowsRead>(RowsRead{
                      .prefix = std::move(prefix), .rows = {}, .callback = std::move(callback)}));
}

void HttpTableStore::ReadPage(const std::shared_ptr<ServiceLink>& link,
                              std::shared_ptr<RowsRead> read) {
  std::string path = "/table/rows?prefix=" + PercentEncode(read->prefix);
  if (!read->rows.empty()) path += "&after=" + PercentEncode(read->rows.back().key);
  link->Send(link->CallOf("GET", path), [link, read = std::move(read)](const HttpResult& result) {
    const auto more = ParsePage(result, read->rows);
    if (!more) return read->callback(tl::unexpected(more.error()));
    if (*more) return ReadPage(link, read);
    read->callback(std::move(read->rows));
  });
}

void HttpTableStore::Commit(core::TableTransaction transaction, CommitCallback callback) {
  HttpCall call = link_->CallOf("POST", "/table/transaction");
  call.headers = {{"Content-Type", "application/json"}};
  call.body = FormatTransaction(transaction);
  // A transaction that libcurl sent a second time after it took effect would be answered with a
  // conflict, which says that nothing was written.
  call.fresh_connection = true;
  link_->Send(std::move(call), [callback = std::move(callback)](const HttpResult& result) {
    callback(CommitOutcomeOf(result));
  });
}

void HttpTableStore::ReadObject(std::string key, ObjectCallback callback) {
  link_->Send(link_->CallOf("GET", "/objects/" + PercentEncode(key)),
              [callback = std::move(callback)](HttpResult result) {
                if (result.status == kOk) return callback(std::move(result.body));
                if (result.status == kNotFound) {
                  return callback(tl::unexpected(
                      core::Error{core::ErrorKind::kNotFound, "no such object", {}}));
                }
                callback(tl::unexpected(Unavailable(result)));
              });
}

void HttpTableStore::WriteObject(std::string key, std::string body, DoneCallback callback) {
  HttpCall call = link_->CallOf("PUT", "/objects/" + PercentEncode(key));
  call.headers = {{"Content-Type", "application/octet-stream"}};
  call.body = std::move(body);
  link_->Send(std::move(call), [callback = std::move(callback)](const HttpResult& result) {
    if (result.status == kOk) return callback({});
    callback(tl::unexpected(Unavailable(result)));
  });
}

}  // namespace zinniamux::adapters
