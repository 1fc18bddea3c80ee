// Checks of single fields.
#include "adapters/checked_object.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSeenBytes = 60;
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::string_view kIdRule = "text of 1 to 128 characters of A-Z a-z 0-9 . _ : -";

std::string Cut(std::string text) {
  if (text.size() <= kMaxSeenBytes) return text;
  text.resize(kMaxSeenBytes);
  return text + "...";
}

std::string Quoted(std::string_view text) {
  // One byte more than is shown, so that Cut still sees that something is missing.
  const json value = std::string(text.substr(0, kMaxSeenBytes + 1));
  return Cut(value.dump(-1, ' ', true, json::error_handler_t::replace));
}

// Keeps messages on one line and in ASCII whatever a key is named.
std::string PrintableKey(std::string_view key) {
  if (IsId(key)) return std::string(key);
  return Quoted(key);
}

}  // namespace

std::string DocumentContext::Place(std::string path) const {
  if (file.empty()) return {};
  while (true) {
    const auto found = lines.find(path);
    if (found != lines.end()) return fmt::format("{}:{}", file, found->second);
    const std::size_t end = path.find_last_of(".[");
    if (path.empty()) return file;
    path.resize(end == std::string::npos ? 0 : end);
  }
}

std::string Shortened(const json& value) {
  if (value.is_object()) return fmt::format("an object with {} members", value.size());
  if (value.is_array()) return fmt::format("a list of {} items", value.size());
  if (value.is_string()) return Quoted(value.get_ref<const std::string&>());
  return Cut(value.dump());
}

bool IsId(std::string_view text) {
  if (text.empty() || text.size() > kMaxIdBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == ':' || c == '-';
  });
}

CheckedObject::CheckedObject(const json& value, std::string path, const DocumentContext& context)
    : value_(value), path_(std::move(path)), context_(context) {
  if (value_.is_object()) return;
  const std::string name = path_.empty() ? "document" : path_;
  context_.problems.Add(context_.Place(path_), name, Shortened(value_), "an object");
}

bool CheckedObject::Has(std::string_view key) const {
  return value_.is_object() && value_.find(key) != value_.end();
}

bool CheckedObject::HasValue(std::string_view key) {
  const json* value = Find(key, true, "");
  if (value == nullptr || value->is_null()) return false;
  return !value->is_string() || !value->get_ref<const std::string&>().empty();
}

std::size_t CheckedObject::SizeOfText(std::string_view key) const {
  if (!Has(key)) return 0;
  const json& value = *value_.find(key);
  return value.is_string() ? value.get_ref<const std::string&>().size() : 0;
}

std::int64_t CheckedObject::Integer(std::string_view key, std::int64_t lowest, std::int64_t highest,
                                    std::optional<std::int64_t> fallback) {
  const auto rule = [&] { return fmt::format("a whole number from {} to {}", lowest, highest); };
  const json* value = Find(key, fallback.has_value(), "a whole number");
  if (value == nullptr) return fallback.value_or(lowest);
  if (value->is_number_unsigned()) {
    const auto number = value->get<std::uint64_t>();
    if (std::cmp_greater_equal(number, lowest) && std::cmp_less_equal(number, highest)) {
      return static_cast<std::int64_t>(number);
    }
  } else if (value->is_number_integer()) {
    const auto number = value->get<std::int64_t>();
    if (number >= lowest && number <= highest) return number;
  }
  Reject(key, rule());
  return lowest;
}

double CheckedObject::Number(std::string_view key, double lowest, double highest,
                             std::optional<double> fallback) {
  const json* value = Find(key, fallback.has_value(), "a number");
  if (value == nullptr) return fallback.value_or(lowest);
  const double number = value->is_number() ? value->get<double>() : lowest - 1;
  if (number >= lowest && number <= highest) return number;
  Reject(key, fmt::format("a number from {} to {}", lowest, highest));
  return lowest;
}

std::optional<double> CheckedObject::OptionalNumber(std::string_view key, double lowest,
                                                    double highest) {
  const json* value = Find(key, /*optional=*/true, "a number");
  if (value == nullptr || value->is_null()) return std::nullopt;
  return Number(key, lowest, highest, lowest);
}

bool CheckedObject::Bool(std::string_view key, std::optional<bool> fallback) {
  const json* value = Find(key, fallback.has_value(), "true or false");
  if (value == nullptr) return fallback.value_or(false);
  if (value->is_boolean()) return value->get<bool>();
  Reject(key, "true or false");
  return false;
}

std::string CheckedObject::Text(std::string_view key, std::size_t max_bytes,
                                std::optional<std::string> fallback) {
  const json* value = Find(key, fallback.has_value(), "text");
  if (value == nullptr) return std::move(fallback).value_or("");
  if (value->is_string()) {
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() <= max_bytes) return text;
    context_.problems.Add(context_.Place(PathOf(key)), PathOf(key),
                          fmt::format("text of {} bytes", text.size()),
                          fmt::format("text of at most {} bytes", max_bytes));
    return {};
  }
  Reject(key, fmt::format("text (in quotes) of at most {} bytes", max_bytes));
  return {};
}

std::string CheckedObject::Id(std::string_view key, std::optional<std::string> fallback) {
  const json* value = Find(key, fallback.has_value(), kIdRule);
  if (value == nullptr) return std::move(fallback).value_or("");
  if (value->is_string() && IsId(value->get_ref<const std::string&>())) {
    return value->get<std::string>();
  }
  Reject(key, kIdRule);
  return {};
}

std::size_t CheckedObject::Choice(std::string_view key, std::span<const std::string_view> names,
                                  std::size_t fallback) {
  const json* value = Find(key, true, "");
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    const auto found = std::find(names.begin(), names.end(), value->get_ref<const std::string&>());
    if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
  }
  Reject(key, fmt::format("{}", fmt::join(names, ", ")));
  return fallback;
}

void CheckedObject::Items(std::string_view key, const ItemReader& read) {
  const json* value = Find(key, true, "");
  if (value == nullptr) return;
  if (!value->is_array()) {
    Reject(key, "a list");
    return;
  }
  const std::string path = PathOf(key);
  for (std::size_t i = 0; i < value->size(); ++i) {
    read((*value)[i], fmt::format("{}[{}]", path, i));
  }
}

void CheckedObject::Members(std::string_view key, const MemberReader& read) {
  const json* value = Find(key, false, "an object");
  if (value == nullptr) return;
  if (!value->is_object()) {
    Reject(key, "an object");
    return;
  }
  const std::string path = PathOf(key);
  for (const auto& [name, member] : value->items()) {
    const std::string member_path = path + "." + PrintableKey(name);
    if (!IsId(name)) {
      context_.problems.Add(context_.Place(member_path), path, "the name " + Quoted(name), kIdRule);
      continue;
    }
    read(name, member, member_path);
  }
}

std::optional<CheckedObject> CheckedObject::Object(std::string_view key) {
  const json* value = Find(key, true, "");
  if (value == nullptr) return std::nullopt;
  if (!value->is_object()) {
    Reject(key, "an object");
    return std::nullopt;
  }
  return std::optional<CheckedObject>(std::in_place, *value, PathOf(key), context_);
}

void CheckedObject::Reject(std::string_view key, std::string_view allowed) {
  const std::string path = PathOf(key);
  const std::string seen = Has(key) ? Shortened(*value_.find(key)) : "nothing";
  context_.problems.Add(context_.Place(path), path, seen, allowed);
}

void CheckedObject::Finish() {
  if (!value_.is_object()) return;
  for (const auto& [key, member] : value_.items()) {
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) continue;
    const std::string path = PathOf(key);
    context_.problems.Add(context_.Place(path), path, "an unknown field",
                          fmt::format("{}", fmt::join(known_, ", ")));
  }
}

std::string CheckedObject::PathOf(std::string_view key) const {
  if (path_.empty()) return PrintableKey(key);
  return path_ + "." + PrintableKey(key);
}

const json* CheckedObject::Find(std::string_view key, bool optional, std::string_view allowed) {
  known_.push_back(key);
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(key);
  if (found != value_.end()) return &*found;
  if (!optional) Reject(key, allowed);
  return nullptr;
}

}  // namespace zinniamux::adapters
