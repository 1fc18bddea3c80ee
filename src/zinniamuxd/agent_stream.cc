// gRPC callback reactor for one attached agent.
#include "zinniamuxd/agent_stream.h"

#include <utility>

namespace zinniamux::daemon {

AgentStream::AgentStream(grpc::CallbackServerContext* context, Hooks hooks,
                         const core::Clock& clock)
    : context_(context),
      hooks_(std::move(hooks)),
      clock_(clock),
      last_received_(clock.now()),
      last_sent_(clock.now()) {}

void AgentStream::Start() {
  self_ = shared_from_this();
  StartRead(&incoming_);
}

void AgentStream::Send(v1::EntryMessage message) {
  const std::lock_guard lock(mutex_);
  if (finished_) return;
  last_sent_ = clock_.now();
  if (hooks_.on_send) hooks_.on_send(message);
  outgoing_.push_back(std::move(message));
  if (writing_) return;
  writing_ = true;
  StartWrite(&outgoing_.front());
}

void AgentStream::Cancel() {
  const std::lock_guard lock(mutex_);
  // The context is valid until OnDone, which cannot run before the stream is finished.
  if (!finished_) context_->TryCancel();
}

void AgentStream::OnReadDone(bool ok) {
  if (!ok) {
    FinishOnce();
    return;
  }
  last_received_ = clock_.now();
  hooks_.on_message(self_, std::move(incoming_));
  incoming_ = v1::AgentMessage();
  StartRead(&incoming_);
}

void AgentStream::OnWriteDone(bool ok) {
  const std::lock_guard lock(mutex_);
  outgoing_.pop_front();
  writing_ = false;
  if (!ok || finished_ || outgoing_.empty()) return;
  writing_ = true;
  StartWrite(&outgoing_.front());
}

void AgentStream::OnCancel() { FinishOnce(); }

void AgentStream::FinishOnce() {
  const std::lock_guard lock(mutex_);
  if (finished_) return;
  finished_ = true;
  Finish(grpc::Status::OK);
}

void AgentStream::OnDone() {
  const std::shared_ptr<AgentStream> self = std::move(self_);
  hooks_.on_closed(self);
}

}  // namespace zinniamux::daemon
