// Conversion of YAML nodes to JSON values with lines.
#include "adapters/checked_yaml.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

namespace zinniamux::adapters {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = 1U << 20U;
constexpr int kMaxDepth = 16;
// Aliases let a short file name one node many times; this bounds the work.
constexpr std::size_t kMaxNodes = 200'000;

template <typename Number>
bool ParseWhole(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

json ScalarValue(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  // The tag "!" marks a quoted scalar.
  if (node.Tag() == "!") return text;
  if (text == "true") return true;
  if (text == "false") return false;
  std::uint64_t unsigned_number = 0;
  if (ParseWhole(text, unsigned_number)) return unsigned_number;
  std::int64_t number = 0;
  if (ParseWhole(text, number)) return number;
  double real = 0;
  if (ParseWhole(text, real)) return real;
  return text;
}

// Converts one document.
class Converter {
 public:
  explicit Converter(DocumentContext& context) : context_(context) {}

  json Convert(const YAML::Node& node, const std::string& path, int depth) {
    if (++nodes_ > kMaxNodes || depth > kMaxDepth) {
      if (!std::exchange(reported_, true)) {
        context_.problems.Add(
            fmt::format("{}: saw too many or too deeply nested values; allowed: "
                        "{} levels and {} values",
                        context_.Place(path), kMaxDepth, kMaxNodes));
      }
      return nullptr;
    }
    context_.lines.try_emplace(path, node.Mark().line + 1);
    switch (node.Type()) {
      case YAML::NodeType::Scalar:
        return ScalarValue(node);
      case YAML::NodeType::Sequence:
        return ConvertSequence(node, path, depth);
      case YAML::NodeType::Map:
        return ConvertMap(node, path, depth);
      default:
        return nullptr;
    }
  }

 private:
  json ConvertSequence(const YAML::Node& node, const std::string& path, int depth) {
    json list = json::array();
    for (const YAML::Node& item : node) {
      list.push_back(Convert(item, fmt::format("{}[{}]", path, list.size()), depth + 1));
    }
    return list;
  }

  json ConvertMap(const YAML::Node& node, const std::string& path, int depth) {
    json object = json::object();
    for (const auto& member : node) {
      const int line = member.first.Mark().line + 1;
      if (!member.first.IsScalar()) {
        context_.problems.Add(fmt::format("{}:{}", context_.file, line), path,
                              "a name that is a list or an object", "text");
        continue;
      }
      const std::string& name = member.first.Scalar();
      const std::string member_path = path.empty() ? name : path + "." + name;
      if (object.contains(name)) {
        context_.problems.Add(
            fmt::format("{}:{}", context_.file, line), member_path,
            fmt::format("the name a second time (first in line {})", context_.lines[member_path]),
            "each name once");
        continue;
      }
      context_.lines[member_path] = line;
      object[name] = Convert(member.second, member_path, depth + 1);
    }
    return object;
  }

  DocumentContext& context_;
  std::size_t nodes_ = 0;
  bool reported_ = false;
};

}  // namespace

json LoadYamlText(const std::string& text, DocumentContext& context) {
  if (text.size() > kMaxFileBytes) {
    context.problems.Add(fmt::format("{}: saw {} bytes; allowed: at most {} bytes", context.file,
                                     text.size(), kMaxFileBytes));
    return nullptr;
  }
  try {
    return Converter(context).Convert(YAML::Load(text), "", 0);
  } catch (const YAML::Exception& error) {
    context.problems.Add(
        fmt::format("{}:{}: not valid YAML: {}", context.file, error.mark.line + 1, error.msg));
    return nullptr;
  }
}

json LoadYamlFile(const std::string& path, DocumentContext& context) {
  context.file = path;
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file) {
    context.problems.Add(path + ": cannot be read");
    return nullptr;
  }
  return LoadYamlText(text, context);
}

}  // namespace zinniamux::adapters
