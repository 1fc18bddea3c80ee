// Printing of answers.
#include "zinniamuxctl/output.h"

#include <iostream>

#include "adapters/base64.h"
#include "zinniamuxctl/text_table.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

// The result as the executor returned it.
std::string ResultText(const json& result, bool base64) {
  if (!result.is_string()) return result.dump();
  const auto& text = result.get_ref<const std::string&>();
  return base64 ? adapters::DecodeBase64(text).value_or(text) : text;
}

void PrintResults(const json& body) {
  const auto results = body.find("results");
  if (results == body.end() || !results->is_array()) return;
  const bool base64 = CellOf(body, "encoding") == "base64";
  TextTable table({"TASK", "RESULT"});
  for (std::size_t i = 0; i < results->size(); ++i) {
    table.Add({std::to_string(i), ResultText((*results)[i], base64)});
  }
  table.Print(std::cout);
}

}  // namespace

void PrintJson(const json& body) {
  std::cout << body.dump(kIndent, ' ', false, json::error_handler_t::replace) << '\n';
}

int ReportFailure(const ApiAnswer& answer, bool as_json) {
  if (as_json && !answer.body.is_null()) PrintJson(answer.body);
  std::cerr << "zinniamuxctl: " << answer.message() << '\n';
  return answer.exit_code();
}

int PrintJob(const ApiAnswer& answer, bool as_json) {
  if (!answer.ok()) {
    const int exit_code = ReportFailure(answer, as_json);
    if (answer.not_run()) std::cerr << "zinniamuxctl: no task was or will be started\n";
    return exit_code;
  }
  if (as_json) {
    PrintJson(answer.body);
    return answer.exit_code();
  }
  std::cout << "submission " << CellOf(answer.body, "submission_id") << ": "
            << CellOf(answer.body, "state") << '\n';
  PrintResults(answer.body);
  return answer.exit_code();
}

}  // namespace zinniamux::ctl
