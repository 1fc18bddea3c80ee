// The row calls of "The platform's metadata store".
#include <algorithm>

#include "rig.h"

namespace rig {
namespace {

constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * j)) & 63U];
    }
  }
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char character : text) {
    const auto* digit = std::find(std::begin(kDigits), std::end(kDigits) - 1, character);
    if (digit == std::end(kDigits) - 1) break;
    group = (group << 6U) | static_cast<std::uint32_t>(digit - kDigits);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>((group >> bits) & 255U);
  }
  return bytes;
}

}  // namespace

Store::Store(const std::string& ip, int port) { ServeThroughProxies(ip, port, {}); }

void Store::ServeThroughProxies(const std::string& ip, int port, Proxies proxies) {
  servers_.push_back(std::make_unique<HttpServer>(
      ip, port, [this, proxies = std::move(proxies)](const Request& request) {
        return Handle(request, proxies);
      }));
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, "", key}] = {.value = value, .version = ++version_};
  table_versions_[table] = version_;
  changed_.notify_all();
}

Response Store::Handle(const Request& request, const Proxies& proxies) {
  try {
    if (request.path == "/zinniamux/rows-get") return Read(request, proxies);
    if (request.path == "/zinniamux/rows-tx") return Commit(request);
    if (request.path == "/zinniamux/rows-feed") return Feed(request);
  } catch (const std::exception& error) {
    return {.status = 400, .body = json{{"error", error.what()}}.dump()};
  }
  return {.status = 404};
}

json Store::RowJson(const Key& key, const Row& row, const Proxies& proxies) {
  std::string value = row.value;
  for (const auto& [address, proxy] : proxies) {
    const std::size_t at = value.find('"' + address + '"');
    if (at != std::string::npos) value.replace(at + 1, address.size(), proxy);
  }
  return {{"table", std::get<0>(key)},
          {"part", std::get<1>(key)},
          {"key", std::get<2>(key)},
          {"value", Encode(value)},
          {"ver", row.version}};
}

Response Store::Read(const Request& request, const Proxies& proxies) {
  const auto parameter = [&](const std::string& name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  const std::string limit_text = parameter("limit");
  const std::size_t limit = limit_text.empty() ? 500 : std::min(500UL, std::stoul(limit_text));
  const std::string target = parameter("target");
  const std::lock_guard lock(mutex_);
  json rows = json::array();
  bool has_more = false;
  for (const auto& [key, row] : rows_) {
    const auto& [table, part, name] = key;
    if (table != parameter("table") || part != parameter("part")) continue;
    if (name < parameter("from") || (!target.empty() && name >= target)) continue;
    has_more = rows.size() >= limit;
    if (has_more) break;
    rows.push_back(RowJson(key, row, proxies));
  }
  return {.body =
              json{{"rows", rows}, {"has_more", has_more}, {"ver", version_}, {"now_ms", NowMs()}}
                  .dump()};
}

Response Store::Commit(const Request& request) {
  const json root = json::parse(request.body);
  const auto items = [&root](const char* name) { return root.value(name, json::array()); };
  const auto key_of = [](const json& item) {
    return Key{item.at("table"), item.value("part", ""), item.at("key")};
  };
  const std::lock_guard lock(mutex_);
  for (const char* name : {"upserts", "deletes"}) {
    for (const json& item : items(name)) {
      if (item.at("table") == "op" || item.at("table") == "servers") return {.status = 403};
    }
  }
  json current = json::array();
  bool holds = true;
  for (const json& item : items("expected")) {
    const auto found = rows_.find(key_of(item));
    const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
    if (version != item.at("ver").get<std::uint64_t>()) holds = false;
    if (found != rows_.end()) current.push_back(RowJson(found->first, found->second));
  }
  if (!holds) {
    return {.status = 412,
            .body = json{{"rows", current}, {"ver", version_}, {"now_ms", NowMs()}}.dump()};
  }
  ++version_;
  for (const json& item : items("upserts")) {
    const Key key = key_of(item);
    rows_[key] = {.value = Decode(item.at("value")), .version = version_};
    table_versions_[std::get<0>(key)] = version_;
  }
  for (const json& item : items("deletes")) {
    const Key key = key_of(item);
    rows_.erase(key);
    table_versions_[std::get<0>(key)] = version_;
  }
  changed_.notify_all();
  return {.body = json{{"ver", version_}, {"now_ms", NowMs()}}.dump()};
}

std::uint64_t Store::NewestOf(const std::string& table) const {
  const auto found = table_versions_.find(table);
  return found == table_versions_.end() ? 0 : found->second;
}

Response Store::Feed(const Request& request) {
  const std::string table = request.query.at("table");
  const std::uint64_t after = std::stoull(request.query.at("after"));
  const Ms wait = std::min<Ms>(30'000, std::stoll(request.query.at("wait_ms")));
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return NewestOf(table) > after; });
  json rows = json::array();
  for (const auto& [key, row] : rows_) {
    if (std::get<0>(key) == table && row.version > after) rows.push_back(RowJson(key, row));
  }
  return {.body = json{{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}}.dump()};
}

}  // namespace rig
