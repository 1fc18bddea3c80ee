// HTTP calls of the tool.
#include "zinniamuxctl/api_client.h"

#include <future>
#include <optional>
#include <utility>

#include "core/error_kind.h"
#include "zinniamuxctl/command.h"
#include "zinniamuxctl/progress.h"

namespace zinniamux::ctl {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeLimit{10'000};
constexpr std::chrono::milliseconds kProgressPeriod{100};
constexpr int kExitInternal = 1;

const json* ErrorOf(const json& body) {
  if (!body.is_object()) return nullptr;
  const auto found = body.find("error");
  return found != body.end() && found->is_object() ? &*found : nullptr;
}

template <typename Value>
Value ErrorField(const json& body, const char* key, Value fallback) {
  const json* error = ErrorOf(body);
  if (error == nullptr || !error->contains(key)) return fallback;
  try {
    return error->at(key).get<Value>();
  } catch (const json::exception& /*error*/) {
    return fallback;
  }
}

}  // namespace

std::string ApiAnswer::error_kind() const { return ErrorField(body, "kind", std::string()); }

bool ApiAnswer::retryable() const { return status == 0 || ErrorField(body, "retryable", false); }

bool ApiAnswer::not_run() const { return ErrorField(body, "not_run", false); }

std::chrono::milliseconds ApiAnswer::retry_after() const {
  return std::chrono::milliseconds(ErrorField<std::int64_t>(body, "retry_after_ms", 0));
}

int ApiAnswer::exit_code() const {
  if (status == 0) return kExitNoAnswer;
  const std::optional<core::ErrorKind> kind = core::ErrorKindFromName(error_kind());
  if (kind) return core::RowOf(*kind).exit_code;
  return ok() ? kExitOk : kExitInternal;
}

std::string ApiAnswer::message() const {
  if (status == 0) return "no answer: " + failure;
  const std::string kind = error_kind();
  if (kind.empty()) return "unexpected answer with status " + std::to_string(status);
  return kind + ": " + ErrorField(body, "message", std::string());
}

ApiClient::ApiClient(std::string address) : address_(std::move(address)) {}

ApiAnswer ApiClient::Get(const std::string& path) {
  return Send({.method = "GET", .url = path, .timeout = kTimeLimit});
}

ApiAnswer ApiClient::Delete(const std::string& path) {
  return Send({.method = "DELETE", .url = path, .timeout = kTimeLimit});
}

ApiAnswer ApiClient::Post(const std::string& path, const std::string& body,
                          std::chrono::milliseconds time_limit) {
  return Send({.method = "POST",
               .url = path,
               .headers = {{"Content-Type", "application/json"}},
               .body = body,
               .timeout = time_limit,
               .fresh_connection = true});
}

ApiAnswer ApiClient::Send(adapters::HttpCall call) {
  call.url = "http://" + address_ + call.url;
  Progress progress("waiting for " + address_);
  auto promise = std::make_shared<std::promise<adapters::HttpResult>>();
  std::future<adapters::HttpResult> future = promise->get_future();
  client_.Send(std::move(call),
               [promise](adapters::HttpResult result) { promise->set_value(std::move(result)); });
  while (future.wait_for(kProgressPeriod) == std::future_status::timeout) progress.Update();
  adapters::HttpResult result = future.get();
  json body = json::parse(result.body, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) body = nullptr;
  return {.status = result.status,
          .body = std::move(body),
          .failure = address_ + ": " + result.failure};
}

}  // namespace zinniamux::ctl
