// Accounts of connections, refusals and their log.
#include "adapters/input_guard.h"

#include <asio/buffer.hpp>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace zinniamux::adapters {
namespace {

// How often requests without progress are looked for.
constexpr std::chrono::seconds kSweepPeriod{1};
// Least time between two log lines about refusals.
constexpr std::chrono::seconds kLogPeriod{10};

thread_local ConnectionInput* current_input = nullptr;

std::string_view StatusLineOf(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kHead:
      return "431 Request Header Fields Too Large";
    case RefusalCause::kEmptyLines:
      return "400 Bad Request";
    case RefusalCause::kBody:
    case RefusalCause::kChunkOverhead:
      return "413 Payload Too Large";
    case RefusalCause::kStalled:
      return "408 Request Timeout";
    case RefusalCause::kBytes:
    case RefusalCause::kConnections:
      break;
  }
  return "503 Service Unavailable\r\nRetry-After: 1";
}

RefusalCause CauseOf(core::InputBudget::Cause cause) {
  switch (cause) {
    case core::InputBudget::Cause::kBytes:
      return RefusalCause::kBytes;
    case core::InputBudget::Cause::kConnections:
      return RefusalCause::kConnections;
    case core::InputBudget::Cause::kStalled:
      break;
  }
  return RefusalCause::kStalled;
}

}  // namespace

std::string_view NameOf(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kHead:
      return "head";
    case RefusalCause::kEmptyLines:
      return "empty_lines";
    case RefusalCause::kBody:
      return "body";
    case RefusalCause::kChunkOverhead:
      return "chunk_overhead";
    case RefusalCause::kStalled:
      return "stalled";
    case RefusalCause::kBytes:
      return "memory";
    case RefusalCause::kConnections:
      break;
  }
  return "connections";
}

// --- One connection

ConnectionInput::ConnectionInput(InputGuard& guard, std::uint64_t id, std::string listener)
    : guard_(guard), id_(id), listener_(std::move(listener)), used_at_(guard.clock_.now()) {}

ConnectionInput* ConnectionInput::Current() { return current_input; }

void ConnectionInput::OnRequestBegin() { phase_ = Phase::kHead; }

void ConnectionInput::OnField() {
  // Two strings and the field's identifier.
  constexpr std::size_t kFieldBytes = 80;
  held_bytes_ += kFieldBytes;
}

void ConnectionInput::OnBody(std::size_t bytes, std::size_t capacity) {
  body_bytes_ += bytes;
  body_capacity_ = capacity;
}

void ConnectionInput::OnRequestComplete() {
  phase_ = Phase::kIdle;
  wire_bytes_ = 0;
  body_bytes_ = 0;
  body_capacity_ = 0;
  held_bytes_ = 0;
  ++requests_;
  completed_ = true;
}

void ConnectionInput::OnParsed() {
  if (socket_ == nullptr || dropped_) return;
  const core::TimePoint now = guard_.clock_.now();
  if (std::exchange(completed_, false)) {
    guard_.budget_.OnInputComplete(id_, now);
    output_changed_ = true;
  }
  if (output_changed_) ReportOutput();
  if (phase_ == Phase::kIdle && wire_bytes_ == 0) return;
  const ConnectionLimits& limits = guard_.limits();
  if (phase_ != Phase::kBody && wire_bytes_ > limits.max_head_bytes) {
    return Drop(phase_ == Phase::kIdle ? RefusalCause::kEmptyLines : RefusalCause::kHead);
  }
  if (phase_ == Phase::kBody &&
      wire_bytes_ > body_bytes_ + limits.max_head_bytes + limits.max_chunk_overhead_bytes) {
    return Drop(RefusalCause::kChunkOverhead);
  }
  guard_.budget_.OnInput(id_, held_bytes_ + body_capacity_, now);
  guard_.Close(guard_.budget_.TakeExcess(now));
}

void ConnectionInput::OnMessagePart(std::size_t held_bytes) {
  if (dropped_) return;
  const core::TimePoint now = guard_.clock_.now();
  guard_.budget_.OnInput(id_, held_bytes, now);
  guard_.Close(guard_.budget_.TakeExcess(now));
}

void ConnectionInput::OnMessageComplete() {
  guard_.budget_.OnInputComplete(id_, guard_.clock_.now());
}

void ConnectionInput::OnPeerKnown() {
  requests_ = 1;
  ReportOutput();
}

void ConnectionInput::OnWriting(std::size_t bytes) {
  unread_bytes_ = bytes;
  ReportOutput();
}

void ConnectionInput::OnWritten() {
  unread_bytes_ = 0;
  output_changed_ = true;
}

void ConnectionInput::OnAnswered() {
  if (requests_ > 0) --requests_;
  ReportOutput();
}

core::TimePoint ConnectionInput::ExchangeUsedAt() {
  return std::exchange(used_at_, guard_.clock_.now());
}

void ConnectionInput::OnClosed() {
  socket_ = nullptr;
  close_ = nullptr;
  guard_.budget_.OnClosed(id_);
  // Destroys this object at the earliest when its socket is destroyed.
  guard_.inputs_.erase(id_);
}

void ConnectionInput::ReportOutput() {
  output_changed_ = false;
  guard_.budget_.OnOutput(id_, requests_, unread_bytes_, guard_.clock_.now());
}

void ConnectionInput::Refuse(RefusalCause cause) {
  if (std::exchange(refused_, true)) return;
  guard_.OnRefused(*this, cause);
  // While a request is in process, the client would take this for its answer. Nor is there anyone
  // to answer on a connection without a request.
  const bool idle = phase_ == Phase::kIdle && wire_bytes_ == 0;
  if (socket_ == nullptr || requests_ > 0 || unread_bytes_ > 0 || idle) return;
  const std::string answer = "HTTP/1.1 " + std::string(StatusLineOf(cause)) +
                             "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  asio::error_code ignored;
  // The socket does not block; an answer that cannot be sent at once is given up.
  socket_->write_some(asio::buffer(answer), ignored);
}

void ConnectionInput::Drop(RefusalCause cause) {
  if (std::exchange(dropped_, true)) return;
  Refuse(cause);
  if (close_) close_();
  if (socket_ == nullptr) return;
  asio::error_code ignored;
  socket_->cancel(ignored);
}

InputScope::InputScope(ConnectionInput& input) : previous_(std::exchange(current_input, &input)) {}

InputScope::~InputScope() { current_input = previous_; }

// --- The process

std::shared_ptr<ConnectionInput> InputGuard::Open(const std::string& listener) {
  const std::uint64_t id = ++last_id_;
  auto input = std::make_shared<ConnectionInput>(*this, id, listener);
  inputs_[id] = input;
  const core::TimePoint now = clock_.now();
  budget_.OnOpened(id, now);
  Close(budget_.TakeExcess(now));
  return input;
}

void InputGuard::Close(const std::vector<core::InputBudget::Drop>& drops) {
  for (const core::InputBudget::Drop& drop : drops) {
    const auto found = inputs_.find(drop.id);
    if (found != inputs_.end()) found->second->Drop(CauseOf(drop.cause));
  }
}

void InputGuard::OnRefused(const ConnectionInput& input, RefusalCause cause) {
  metrics_.Add("input_refused_total", 1,
               {{"listener", input.listener()}, {"cause", NameOf(cause)}});
  ++refusals_[{input.listener(), NameOf(cause)}];
}

void InputGuard::OnTimer() {
  const core::TimePoint now = clock_.now();
  if (now < next_sweep_at_) return;
  // After a pause of the process, what has arrived meanwhile is read before the next sweep.
  const bool paused = now > next_sweep_at_ + kSweepPeriod;
  next_sweep_at_ = now + kSweepPeriod;
  if (!paused) Close(budget_.TakeStalled(now));
  if (!refusals_.empty() && now >= next_log_at_) LogRefusals(now);
}

void InputGuard::LogRefusals(core::TimePoint now) {
  next_log_at_ = now + kLogPeriod;
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& [key, count] : refusals_) counts[key.first][std::string(key.second)] = count;
  refusals_.clear();
  log_.Write(LogLevel::kWarning, "input_refused",
             {{"refusals", std::move(counts)},
              {"input_bytes", budget_.bytes()},
              {"connections", budget_.connections()}});
}

void InputGuard::UpdateGauges() {
  metrics_.Set("input_bytes", static_cast<double>(budget_.bytes()));
  metrics_.Set("input_connections", static_cast<double>(budget_.connections()));
}

}  // namespace zinniamux::adapters
