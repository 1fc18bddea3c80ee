// The closed list of error kinds, and the status codes of each kind by interface.
#ifndef ZINNIAMUX_CORE_ERROR_KIND_H_
#define ZINNIAMUX_CORE_ERROR_KIND_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "tl/expected.hpp"

namespace zinniamux::core {

enum class ErrorKind {
  kInvalidRequest,
  kTooLarge,
  kUnknownTeam,
  kUnknownJob,
  kNeverRunnable,
  kQuotaExceeded,
  kOverloaded,
  kNotReady,
  kShuttingDown,
  kStoreUnavailable,
  kOwnerUnavailable,
  kRecovering,
  kSubmissionConflict,
  kDuplicateRequest,
  kVersionConflict,
  kNotFound,
  kCancelled,
  kDeadlineExceeded,
  kQueueTimeout,
  kTaskFailed,
  kOutcomeUnknown,
  kInternal,
};

// One row of the table. `grpc_status` is the numeric gRPC status code.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  int grpc_status;
  int exit_code;
  // The kind alone implies that no task of the submission was started.
  bool not_run;
  // Sending the same submission again may succeed.
  bool retryable;
  // Zero: no Retry-After header unless the error carries its own estimate.
  std::chrono::milliseconds retry_after;
};

// All rows, in the order of the enumeration.
std::span<const ErrorRow> ErrorTable();

const ErrorRow& RowOf(ErrorKind kind);

// The kind with that name, if there is one.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

// An error with a message for the user. Invariant: if the receiver can correct the error, `message`
// says what to correct.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::chrono::milliseconds retry_after{0};
};

template <typename T>
using Result = tl::expected<T, Error>;

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_ERROR_KIND_H_
