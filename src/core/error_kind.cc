// The table of error kinds: names, status codes, and whether and when a retry is useful.
#include "core/error_kind.h"

#include <array>

namespace zinniamux::core {
namespace {

using std::chrono::milliseconds;

// Numeric gRPC status codes; the core does not depend on gRPC.
constexpr int kGrpcCancelled = 1;
constexpr int kGrpcUnknown = 2;
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcDeadlineExceeded = 4;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcAlreadyExists = 6;
constexpr int kGrpcPermissionDenied = 7;
constexpr int kGrpcResourceExhausted = 8;
constexpr int kGrpcFailedPrecondition = 9;
constexpr int kGrpcAborted = 10;
constexpr int kGrpcInternal = 13;
constexpr int kGrpcUnavailable = 14;

constexpr std::array kTable{
    ErrorRow{ErrorKind::kInvalidRequest, "invalid_request", 400, kGrpcInvalidArgument, 2, true,
             false, milliseconds(0)},
    ErrorRow{ErrorKind::kTooLarge, "too_large", 413, kGrpcInvalidArgument, 2, true, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kUnknownTeam, "unknown_team", 403, kGrpcPermissionDenied, 3, true, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kUnknownJob, "unknown_job", 404, kGrpcNotFound, 3, true, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kNeverRunnable, "never_runnable", 422, kGrpcFailedPrecondition, 3, true,
             false, milliseconds(0)},
    ErrorRow{ErrorKind::kQuotaExceeded, "quota_exceeded", 429, kGrpcResourceExhausted, 4, true,
             true, milliseconds(1000)},
    ErrorRow{ErrorKind::kOverloaded, "overloaded", 503, kGrpcResourceExhausted, 4, true, true,
             milliseconds(1000)},
    ErrorRow{ErrorKind::kNotReady, "not_ready", 503, kGrpcUnavailable, 4, true, true,
             milliseconds(1000)},
    ErrorRow{ErrorKind::kShuttingDown, "shutting_down", 503, kGrpcUnavailable, 4, true, true,
             milliseconds(1000)},
    ErrorRow{ErrorKind::kStoreUnavailable, "store_unavailable", 503, kGrpcUnavailable, 4, true,
             true, milliseconds(2000)},
    ErrorRow{ErrorKind::kOwnerUnavailable, "owner_unavailable", 503, kGrpcUnavailable, 4, false,
             true, milliseconds(2000)},
    ErrorRow{ErrorKind::kRecovering, "recovering", 503, kGrpcUnavailable, 4, false, true,
             milliseconds(2000)},
    ErrorRow{ErrorKind::kSubmissionConflict, "submission_conflict", 409, kGrpcAlreadyExists, 5,
             false, false, milliseconds(0)},
    ErrorRow{ErrorKind::kDuplicateRequest, "duplicate_request", 409, kGrpcAlreadyExists, 5, false,
             false, milliseconds(0)},
    ErrorRow{ErrorKind::kVersionConflict, "version_conflict", 409, kGrpcAborted, 5, true, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kNotFound, "not_found", 404, kGrpcNotFound, 6, false, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kCancelled, "cancelled", 409, kGrpcCancelled, 7, false, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, kGrpcDeadlineExceeded, 8,
             false, false, milliseconds(0)},
    ErrorRow{ErrorKind::kQueueTimeout, "queue_timeout", 503, kGrpcDeadlineExceeded, 4, true, true,
             milliseconds(1000)},
    ErrorRow{ErrorKind::kTaskFailed, "task_failed", 502, kGrpcInternal, 8, false, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, kGrpcUnknown, 8, false, false,
             milliseconds(0)},
    ErrorRow{ErrorKind::kInternal, "internal", 500, kGrpcInternal, 1, false, false,
             milliseconds(0)},
};

}  // namespace

std::span<const ErrorRow> ErrorTable() { return kTable; }

const ErrorRow& RowOf(ErrorKind kind) { return kTable.at(static_cast<std::size_t>(kind)); }

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (const ErrorRow& row : kTable) {
    if (row.name == name) return row.kind;
  }
  return std::nullopt;
}

}  // namespace zinniamux::core
