// Reading of a document's fields with a check of each: presence, type, range and spelling.
#ifndef ZINNIAMUX_ADAPTERS_CHECKED_OBJECT_H_
#define ZINNIAMUX_ADAPTERS_CHECKED_OBJECT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/problem_list.h"

namespace zinniamux::adapters {

// Where a document comes from and where its problems go. It outlives the objects that use it.
struct DocumentContext {
  ProblemList& problems;
  // Empty for a request's body.
  std::string file;
  // Lines of the fields by their path, for documents that are files.
  std::map<std::string, int> lines = {};

  // "FILE:LINE" of a field or of its nearest parent; empty without a file.
  std::string Place(std::string path) const;
};

// The value, cut to a length that fits an error message, in ASCII.
std::string Shortened(const nlohmann::json& value);

// True for 1 to 128 bytes of [A-Za-z0-9._:-].
bool IsId(std::string_view text);

// One object of a document. A reader asks for every field that it knows and then calls Finish,
// which reports the others. A missing field has its fallback; without a fallback it is reported, as
// is every value that breaks a rule, and the reader gets a default value and goes on.
class CheckedObject {
 public:
  using ItemReader = std::function<void(const nlohmann::json& value, const std::string& path)>;
  using MemberReader = std::function<void(const std::string& name, const nlohmann::json& value,
                                          const std::string& path)>;

  // `path` names the object in messages and is empty for the document itself. `value` and `context`
  // outlive this object.
  CheckedObject(const nlohmann::json& value, std::string path, const DocumentContext& context);

  bool Has(std::string_view key) const;
  // False if the field is missing or its value is empty (`key:` or `key: ""`). Counts as asking for
  // the field.
  bool HasValue(std::string_view key);
  // The bytes of a text, 0 if it is missing or not a text.
  std::size_t SizeOfText(std::string_view key) const;
  std::int64_t Integer(std::string_view key, std::int64_t lowest, std::int64_t highest,
                       std::optional<std::int64_t> fallback = std::nullopt);
  double Number(std::string_view key, double lowest, double highest,
                std::optional<double> fallback = std::nullopt);
  // Nothing if the member is missing or empty.
  std::optional<double> OptionalNumber(std::string_view key, double lowest, double highest);
  bool Bool(std::string_view key, std::optional<bool> fallback = std::nullopt);
  std::string Text(std::string_view key, std::size_t max_bytes,
                   std::optional<std::string> fallback = std::nullopt);
  std::string Id(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  // The index of the value among `names`.
  std::size_t Choice(std::string_view key, std::span<const std::string_view> names,
                     std::size_t fallback);
  // Calls `read` for every item of an array. A missing array counts as empty.
  void Items(std::string_view key, const ItemReader& read);
  // Calls `read` for every member of an object, in the order of their names.
  void Members(std::string_view key, const MemberReader& read);
  // The object under `key`; nothing if it is missing or of another type (which is reported).
  std::optional<CheckedObject> Object(std::string_view key);

  // Reports the value under `key` as not allowed.
  void Reject(std::string_view key, std::string_view allowed);
  // Reports the fields that nobody asked for.
  void Finish();

  std::string PathOf(std::string_view key) const;

 private:
  // The value, or null if it is missing. Reports a missing value unless it is optional.
  const nlohmann::json* Find(std::string_view key, bool optional, std::string_view allowed);

  const nlohmann::json& value_;
  const std::string path_;
  const DocumentContext& context_;
  std::vector<std::string_view> known_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CHECKED_OBJECT_H_
