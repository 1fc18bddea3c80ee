// Loading of YAML files for checked reading: values with the lines they stand on.
#ifndef ZINNIAMUX_ADAPTERS_CHECKED_YAML_H_
#define ZINNIAMUX_ADAPTERS_CHECKED_YAML_H_

#include <nlohmann/json.hpp>
#include <string>

#include "adapters/checked_object.h"

namespace zinniamux::adapters {

// The current value of the `version` field of settings, job and team files.
inline constexpr int kFileFormatVersion = 1;

// Loads a file of at most 1 MiB. Plain scalars that are true, false or numbers become such values,
// all others text. Syntax errors, two members with one name, and more than 16 levels are added to
// the context's problems; the value is null if the file cannot be read at all. Fills context.lines.
nlohmann::json LoadYamlFile(const std::string& path, DocumentContext& context);
// The same for a text; `context.file` names it.
nlohmann::json LoadYamlText(const std::string& text, DocumentContext& context);

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_CHECKED_YAML_H_
