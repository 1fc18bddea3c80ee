// Publishing of job files.
#include "zinniamuxctl/publish_command.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "adapters/config_codec.h"
#include "adapters/job_files.h"
#include "zinniamuxctl/api_client.h"
#include "zinniamuxctl/command_line.h"
#include "zinniamuxctl/config_client.h"
#include "zinniamuxctl/id_argument.h"
#include "zinniamuxctl/output.h"
#include "zinniamuxctl/progress.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kDescription =
    "Checks all *.zinniamux.yaml files below the folders and publishes them as the next version\n"
    "of the configuration. Fails with version_conflict (exit code 5) if somebody else published\n"
    "since the base version. A lost answer is asked for again with the same token, so a publish\n"
    "takes effect at most once.";
constexpr const char* kExamples =
    "  zinniamuxctl publish --server 127.0.0.1:27102 samples/arkivhylse\n"
    "  zinniamuxctl publish --base-version 17 services/\n"
    "  zinniamuxctl publish --author kari services/ teams/\n";

// An entry tries for 8 s to reach the store before it answers.
constexpr milliseconds kSendTimeLimit{10'000};
constexpr milliseconds kRetryDelay{500};
constexpr std::uint32_t kDefaultTimeLimitS = 60;

struct Options {
  explicit Options(TCLAP::CmdLine& line)
      : folders("folders", "folders or files", true, "FOLDER", line),
        base_version("", "base-version",
                     "version that the files are based on; else the one in force", false, 0, "N",
                     line),
        token("", "token", "token of an earlier publish whose answer was lost", false, "", "TOKEN",
              line),
        author("", "author", "recorded in the history; else the variable USER", false, "", "NAME",
               line),
        time_limit_s("", "time-limit-s", "how long a publish without an answer is sent again",
                     false, kDefaultTimeLimitS, "S", line) {}

  TCLAP::UnlabeledMultiArg<std::string> folders;
  TCLAP::ValueArg<std::uint64_t> base_version;
  TCLAP::ValueArg<std::string> token;
  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::uint32_t> time_limit_s;
};

std::string AuthorOf(const Options& options) {
  if (options.author.isSet()) return options.author.getValue();
  const char* user = std::getenv("USER");
  return user != nullptr ? user : "unknown";
}

void Sleep(milliseconds time, Progress& progress) {
  constexpr milliseconds kStep{100};
  for (; time > milliseconds(0); time -= kStep) {
    std::this_thread::sleep_for(std::min(kStep, time));
    progress.Update();
  }
}

// Sends the same request until it is decided or the time is over.
ApiAnswer SendUntilDecided(ApiClient& client, const std::string& request, milliseconds time_limit) {
  const steady_clock::time_point end = steady_clock::now() + time_limit;
  while (true) {
    ApiAnswer answer = client.Post("/v1/config", request, kSendTimeLimit);
    const milliseconds delay = std::max(kRetryDelay, answer.retry_after());
    if (!answer.retryable() || steady_clock::now() + delay > end) return answer;
    std::cerr << "zinniamuxctl: " << answer.message() << "; sending it again with its token\n";
    Progress progress("waiting before the next attempt");
    Sleep(delay, progress);
  }
}

int Report(const ApiAnswer& answer, const std::string& token, bool as_json) {
  if (answer.ok()) {
    if (as_json) {
      PrintJson(answer.body);
    } else {
      std::cout << "published version " << answer.body.value("version", json()) << '\n';
    }
    return kExitOk;
  }
  if (answer.retryable()) {
    std::cerr << "zinniamuxctl: the outcome is not known; repeat with --token " << token
              << " and the same base version\n";
  }
  return ReportFailure(answer, as_json);
}

}  // namespace

int PublishCommand::Run(const std::vector<std::string>& words) {
  CommandLine line(name(), kDescription, kExamples);
  const Options options(line.native());
  line.Parse(words);
  const auto collected = adapters::CollectConfig(options.folders.getValue());
  if (!collected) {
    std::cerr << collected.error().message << '\n';
    return kExitUsage;
  }
  ApiClient client(line.Address(Server::kAdmin));
  std::uint64_t base_version = options.base_version.getValue();
  if (!options.base_version.isSet()) {
    const CurrentConfig current = ReadCurrentConfig(client);
    if (!current.ok()) return ReportFailure(current.answer, line.json());
    base_version = current.version;
  }
  const std::string token = options.token.isSet() ? options.token.getValue() : RandomId();
  const json request{{"base_version", base_version},
                     {"token", CheckedId(token)},
                     {"author", AuthorOf(options)},
                     {"body", json::parse(adapters::ComposeConfig(collected->config))}};
  std::cerr << "zinniamuxctl: publishing " << collected->files.size() << " files on version "
            << base_version << '\n';
  const ApiAnswer answer =
      SendUntilDecided(client, request.dump(-1, ' ', false, json::error_handler_t::replace),
                       std::chrono::seconds(options.time_limit_s.getValue()));
  return Report(answer, token, line.json());
}

}  // namespace zinniamux::ctl
