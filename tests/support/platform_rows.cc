// JSON of the store's row calls.
#include "support/platform_rows.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/base64.h"
#include "adapters/percent_encoding.h"
#include "platform/names.h"

namespace zinniamux::testing {
namespace {

using adapters::HttpRequest;
using adapters::HttpResponder;
using adapters::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr milliseconds kFeedPollPeriod{20};

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string Parameter(const HttpRequest& request, const std::string& name) {
  return adapters::PercentDecode(adapters::QueryValue(request.query, name));
}

std::string TablePrefix(const std::string& table) { return table + '/'; }

std::string RowKey(const json& item) {
  return TablePrefix(item.at("table").get<std::string>()) + item.at("key").get<std::string>();
}

}  // namespace

void PlatformRows::Put(const std::string& table, const std::string& key, const std::string& value) {
  core::TableTransaction transaction;
  transaction.puts.push_back({.key = TablePrefix(table) + key, .value = value});
  state_.Commit(transaction);
}

void PlatformRows::Remove(const std::string& table, const std::string& key) {
  core::TableTransaction transaction;
  transaction.deletes.push_back(TablePrefix(table) + key);
  state_.Commit(transaction);
}

void PlatformRows::Handle(const HttpRequest& request, const HttpResponder& respond, Reader reader) {
  try {
    if (request.path == platform::kRowsPath) return respond(Read(request, reader));
    if (request.path == platform::kTransactionPath) return respond(Commit(request));
    if (request.path == platform::kFeedPath) {
      return Feed(Parameter(request, "table"), std::stoull(Parameter(request, "after")),
                  milliseconds(std::stoll(Parameter(request, "wait_ms"))), respond);
    }
    respond({.status = kNotFound, .body = "{}"});
  } catch (const std::exception& error) {
    respond({.status = kBadRequest, .body = json{{"error", error.what()}}.dump()});
  }
}

HttpResponse PlatformRows::Read(const HttpRequest& request, Reader reader) const {
  const std::string table = Parameter(request, "table");
  const std::string prefix = TablePrefix(table);
  const std::string from = Parameter(request, "from");
  const std::string target = Parameter(request, "target");
  json rows = json::array();
  for (const core::TableRow& row : state_.Rows(prefix)) {
    const std::string key = row.key.substr(prefix.size());
    if (key < from || (!target.empty() && key >= target)) continue;
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", key},
                    {"value", adapters::EncodeBase64(ValueFor(row.value, reader))},
                    {"ver", row.version}});
  }
  return {.body = json{{"rows", std::move(rows)},
                       {"has_more", false},
                       {"ver", Newest("")},
                       {"now_ms", NowMs()}}
                      .dump()};
}

HttpResponse PlatformRows::Commit(const HttpRequest& request) {
  const json root = json::parse(request.body);
  core::TableTransaction transaction;
  for (const json& item : root.value("expected", json::array())) {
    transaction.conditions.push_back({.key = RowKey(item), .version = item.at("ver")});
  }
  for (const json& item : root.value("upserts", json::array())) {
    const auto value = adapters::DecodeBase64(item.at("value").get<std::string>());
    if (!value) return {.status = kBadRequest, .body = "{}"};
    transaction.puts.push_back({.key = RowKey(item), .value = *value});
  }
  for (const json& item : root.value("deletes", json::array())) {
    transaction.deletes.push_back(RowKey(item));
  }
  const bool committed = state_.Commit(transaction);
  json body{{"ver", Newest("")}, {"now_ms", NowMs()}};
  if (!committed) {
    body["rows"] = json::array();
    for (const json& item : root.at("expected")) {
      const auto row = state_.Row(RowKey(item));
      if (!row) continue;
      body["rows"].push_back({{"table", item.at("table")},
                              {"part", ""},
                              {"key", item.at("key")},
                              {"value", adapters::EncodeBase64(row->value)},
                              {"ver", row->version}});
    }
  }
  return {.status = committed ? HttpResponse().status : kPreconditionFailed, .body = body.dump()};
}

void PlatformRows::Feed(const std::string& table, std::uint64_t after, milliseconds wait,
                        const HttpResponder& respond) {
  const bool changed = Newest(TablePrefix(table)) > after;
  if (changed || wait <= milliseconds(0)) {
    // Callers use the version only, and read the rows that they need.
    const json body{{"rows", json::array()}, {"ver", Newest("")}, {"now_ms", NowMs()}};
    return respond({.body = body.dump()});
  }
  const auto timer = std::make_shared<asio::steady_timer>(loop_, std::min(wait, kFeedPollPeriod));
  timer->async_wait([this, timer, table, after, wait, respond](const asio::error_code& error) {
    if (!error) Feed(table, after, wait - kFeedPollPeriod, respond);
  });
}

std::string PlatformRows::ValueFor(const std::string& value, Reader reader) const {
  if (reader == Reader::kAsWritten) return value;
  std::string result = value;
  for (const auto& [address, proxy] : proxies_) {
    const std::size_t place = result.find('"' + address + '"');
    if (place != std::string::npos) result.replace(place + 1, address.size(), proxy);
  }
  return result;
}

}  // namespace zinniamux::testing
