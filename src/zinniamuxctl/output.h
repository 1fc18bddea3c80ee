// Printing of answers, for people or as JSON.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_OUTPUT_H_
#define ZINNIAMUX_ZINNIAMUXCTL_OUTPUT_H_

#include "zinniamuxctl/api_client.h"

namespace zinniamux::ctl {

// Prints the body as indented JSON on standard output.
void PrintJson(const nlohmann::json& body);

// Reports an answer that is not ok on standard error (with --json also its body on standard output)
// and returns the exit code.
int ReportFailure(const ApiAnswer& answer, bool as_json);

// Prints the answer about a job and returns the exit code.
int PrintJob(const ApiAnswer& answer, bool as_json);

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_OUTPUT_H_
