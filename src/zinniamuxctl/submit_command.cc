// Building, sending and resending of a submission.
#include "zinniamuxctl/submit_command.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

#include "adapters/caller_codec.h"
#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kDescription =
    "Sends one job and prints its answer. The job comes from a JSON file (\"-\" for standard "
    "input)\n"
    "or from options. A submission without an answer, or refused for now, is sent again with the\n"
    "same id, which starts no task twice.";
constexpr const char* kExamples =
    "  zinniamuxctl submit job.json\n"
    "  zinniamuxctl submit --team order-desk --job stock-lookup --payload 80 --payload 120\n"
    "  zinniamuxctl submit --team order-desk --job reservation-hold --key hold-4711 --payload 200\n"
    "  zinniamuxctl submit --no-wait --id order-17 job.json\n";

constexpr std::uint32_t kDefaultDeadlineMs = 30'000;
// The entry answers at the deadline at the latest; its answer needs a moment to arrive.
constexpr milliseconds kAnswerMargin{2'000};
constexpr milliseconds kFirstRetryDelay{200};
constexpr milliseconds kLongestRetryDelay{5'000};

struct Options {
  explicit Options(TCLAP::CmdLine& line)
      : file("file", "submission as JSON", false, "", "FILE", line),
        id("", "id", "submission id; a random one if neither this nor the file names one", false,
           "", "ID", line),
        team("", "team", "team, if no file is given", false, "", "TEAM", line),
        job("", "job", "job kind, if no file is given", false, "", "JOB", line),
        payloads("", "payload", "payload of one task; give it once per task", false, "TEXT", line),
        run_ms("", "run-ms", "declared run time of each task", false, 0, "MS", line),
        memory_mb("", "memory-mb", "declared memory of each task", false, 0, "MB", line),
        key("", "key", "request key; makes the job non-idempotent", false, "", "KEY", line),
        deadline_ms("", "deadline-ms", "time for the whole job", false, kDefaultDeadlineMs, "MS",
                    line),
        retries("", "retries", "how often it is sent again", false, 3, "N", line),
        no_wait("", "no-wait", "return once the job is queued", line) {}

  TCLAP::UnlabeledValueArg<std::string> file;
  TCLAP::ValueArg<std::string> id;
  TCLAP::ValueArg<std::string> team;
  TCLAP::ValueArg<std::string> job;
  TCLAP::MultiArg<std::string> payloads;
  TCLAP::ValueArg<std::uint32_t> run_ms;
  TCLAP::ValueArg<std::uint32_t> memory_mb;
  TCLAP::ValueArg<std::string> key;
  TCLAP::ValueArg<std::uint32_t> deadline_ms;
  TCLAP::ValueArg<std::uint32_t> retries;
  TCLAP::SwitchArg no_wait;
};

json ReadBody(const std::string& file) {
  std::ifstream stream;
  if (file != "-") stream.open(file, std::ios::binary);
  std::istream& input = file == "-" ? std::cin : stream;
  const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
  if (!input) throw TCLAP::CmdLineParseException(file + ": cannot be read");
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) throw TCLAP::CmdLineParseException(file + ": not a JSON object");
  return body;
}

json BodyFromOptions(const Options& options) {
  json body{{"team", options.team.getValue()},
            {"job", options.job.getValue()},
            {"deadline_ms", options.deadline_ms.getValue()},
            {"tasks", json::array()}};
  if (options.key.isSet()) {
    body["idempotent"] = false;
    body["request_key"] = options.key.getValue();
  }
  for (const std::string& payload : options.payloads.getValue()) {
    json task{{"payload", payload}};
    if (options.run_ms.isSet()) task["run_ms"] = options.run_ms.getValue();
    if (options.memory_mb.isSet()) task["memory_mb"] = options.memory_mb.getValue();
    body["tasks"].push_back(std::move(task));
  }
  return body;
}

json MakeBody(const Options& options) {
  json body = options.file.isSet() ? ReadBody(options.file.getValue()) : BodyFromOptions(options);
  if (options.id.isSet()) body["submission_id"] = options.id.getValue();
  if (!body.contains("submission_id")) {
    body["submission_id"] = RandomId();
    // True of a random id: nobody sent it before.
    body["attempt"] = 1;
  }
  return body;
}

milliseconds TimeLimit(const json& body, bool no_wait) {
  if (no_wait) return kAnswerMargin * 2;
  return milliseconds(body.value("deadline_ms", kDefaultDeadlineMs)) + kAnswerMargin;
}

// Sends the body until it gets an answer that is not worth a retry.
ApiAnswer SendWithRetries(ApiClient& client, json body, const Options& options) {
  const std::string path = options.no_wait.getValue() ? "/v1/jobs?wait_ms=0" : "/v1/jobs";
  const milliseconds time_limit = TimeLimit(body, options.no_wait.getValue());
  milliseconds delay = kFirstRetryDelay;
  for (std::uint32_t sent = 0;; ++sent) {
    ApiAnswer answer = client.Post(path, body.dump(), time_limit);
    if (answer.ok() || !answer.retryable() || sent >= options.retries.getValue()) return answer;
    std::cerr << "zinniamuxctl: " << answer.message() << "; sending it again\n";
    std::this_thread::sleep_for(
        std::max(delay, std::min(answer.retry_after(), kLongestRetryDelay)));
    delay = std::min(delay * 2, kLongestRetryDelay);
    // It was sent before, so the statement no longer holds.
    body.erase("attempt");
  }
}

}  // namespace

int SubmitCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(), kDescription, kExamples);
  const Options options(line.native());
  line.Parse(words);
  const json body = MakeBody(options);
  const auto checked = adapters::ParseSubmission(
      body.dump(-1, ' ', false, json::error_handler_t::replace), core::TimePoint());
  if (!checked) {
    std::cerr << "zinniamuxctl: " << checked.error().message << '\n';
    return kExitUsage;
  }
  ApiClient client(line.Address(Server::kCaller));
  const ApiAnswer answer = SendWithRetries(client, body, options);
  if (answer.status == 0) {
    std::cerr << "zinniamuxctl: send it again with --id " << checked->id
              << " to learn the outcome\n";
  }
  return PrintJob(answer, line.json());
}

}  // namespace zinniamux::ctl
