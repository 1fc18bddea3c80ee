// gRPC calls to another entry.
#include "zinniamuxd/peer_client.h"

#include <string_view>
#include <utility>
#include <vector>

#include "rpc/convert.h"

namespace zinniamux::daemon {
namespace {

// How long calls on a replaced channel may still be answered. They are then cancelled, so that
// their requests are sent again on the new channel.
constexpr std::chrono::milliseconds kOldChannelTimeout{1000};
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;

std::shared_ptr<v1::EntryService::Stub> NewStub(const std::string& address) {
  grpc::ChannelArguments arguments;
  // A private pool, so that a new channel does not reuse a connection that went silent.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // gRPC's defaults of 1 s and more would delay calls to a peer that has restarted.
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  return v1::EntryService::NewStub(
      grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

PeerReply::Outcome OutcomeOf(const grpc::Status& status) {
  if (status.ok()) return PeerReply::Outcome::kAnswered;
  if (status.error_code() == grpc::StatusCode::FAILED_PRECONDITION) {
    return PeerReply::Outcome::kNotOwner;
  }
  return IsConnectionRefused(status) ? PeerReply::Outcome::kRefused : PeerReply::Outcome::kLost;
}

}  // namespace

bool IsConnectionRefused(const grpc::Status& status) {
  // gRPC reports a refused connection only in the error text.
  return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         status.error_message().find("Connection refused") != std::string::npos;
}

PeerClient::PeerClient(std::string address, const core::Clock& clock)
    : address_(std::move(address)),
      clock_(clock),
      stub_(NewStub(address_)),
      replaced_at_(clock.now()) {}

PeerClient::CallHandle PeerClient::BeginCall(core::Duration deadline) {
  auto context = std::make_shared<grpc::ClientContext>();
  context->set_deadline(std::chrono::system_clock::now() + deadline);
  const std::lock_guard lock(mutex_);
  const std::uint64_t call_id = next_call_id_++;
  active_calls_[call_id] = {.channel_id = channel_id_, .context = context};
  if (closed_) context->TryCancel();
  return {
      .call_id = call_id, .channel_id = channel_id_, .stub = stub_, .context = std::move(context)};
}

void PeerClient::EndCall(std::uint64_t call_id) {
  const std::lock_guard lock(mutex_);
  active_calls_.erase(call_id);
  call_ended_.notify_all();
}

bool PeerClient::idle() const {
  const std::lock_guard lock(mutex_);
  return active_calls_.empty();
}

void PeerClient::Close() {
  std::unique_lock lock(mutex_);
  closed_ = true;
  std::vector<std::shared_ptr<grpc::ClientContext>> contexts;
  for (const auto& [id, call] : active_calls_) contexts.push_back(call.context);
  lock.unlock();
  for (const auto& context : contexts) context->TryCancel();
  lock.lock();
  call_ended_.wait(lock, [this] { return active_calls_.empty(); });
}

template <typename Request, typename Start>
PeerClient::CancelCall PeerClient::Call(Request request, core::Duration deadline,
                                        ReplyCallback callback, Start start) {
  struct State {
    Request request;
    v1::JobAnswer response;
    CallHandle call;
    std::shared_ptr<PeerClient> client;
  };
  auto state = std::make_shared<State>();
  state->request = std::move(request);
  state->call = BeginCall(deadline);
  state->client = shared_from_this();
  start(*state->call.stub->async(), state->call.context.get(), &state->request, &state->response,
        [state, callback = std::move(callback)](const grpc::Status& status) {
          PeerReply reply{.outcome = OutcomeOf(status), .channel_id = state->call.channel_id};
          if (status.ok()) reply.answer = rpc::FromProto(std::move(state->response));
          callback(std::move(reply));
          state->client->EndCall(state->call.call_id);
        });
  return [context = std::weak_ptr(state->call.context)] {
    if (const auto alive = context.lock()) alive->TryCancel();
  };
}

PeerClient::CancelCall PeerClient::Forward(v1::ForwardRequest request, core::Duration deadline,
                                           ReplyCallback callback) {
  return Call(std::move(request), deadline, std::move(callback),
              [](auto& async, auto* context, auto* message, auto* response, auto done) {
                async.Forward(context, message, response, std::move(done));
              });
}

PeerClient::CancelCall PeerClient::Fetch(v1::JobReference request, core::Duration deadline,
                                         ReplyCallback callback) {
  return Call(std::move(request), deadline, std::move(callback),
              [](auto& async, auto* context, auto* message, auto* response, auto done) {
                async.FetchJob(context, message, response, std::move(done));
              });
}

PeerClient::CancelCall PeerClient::Cancel(v1::JobReference request, core::Duration deadline,
                                          ReplyCallback callback) {
  return Call(std::move(request), deadline, std::move(callback),
              [](auto& async, auto* context, auto* message, auto* response, auto done) {
                async.CancelJob(context, message, response, std::move(done));
              });
}

void PeerClient::Heartbeat(v1::PeerStatus status, core::Duration deadline,
                           StatusCallback callback) {
  struct State {
    v1::PeerStatus request;
    v1::PeerStatus response;
    CallHandle call;
    std::shared_ptr<PeerClient> client;
  };
  auto state = std::make_shared<State>();
  state->request = std::move(status);
  state->call = BeginCall(deadline);
  state->client = shared_from_this();
  state->call.stub->async()->PeerHeartbeat(
      state->call.context.get(), &state->request, &state->response,
      [state, callback = std::move(callback)](const grpc::Status& result) {
        if (result.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
          state->client->ReplaceChannel(state->call.channel_id);
        }
        callback(result, std::move(state->response));
        state->client->EndCall(state->call.call_id);
      });
}

void PeerClient::ReplaceChannel(std::uint64_t channel_id) {
  const std::lock_guard lock(mutex_);
  if (channel_id != channel_id_) return;
  ++channel_id_;
  replaced_at_ = clock_.now();
  stub_ = NewStub(address_);
}

std::uint64_t PeerClient::channel_id() const {
  const std::lock_guard lock(mutex_);
  return channel_id_;
}

void PeerClient::OnTimer() {
  std::vector<std::shared_ptr<grpc::ClientContext>> outdated;
  {
    const std::lock_guard lock(mutex_);
    if (clock_.now() - replaced_at_ < kOldChannelTimeout) return;
    for (const auto& [id, call] : active_calls_) {
      if (call.channel_id < channel_id_) outdated.push_back(call.context);
    }
  }
  for (const auto& context : outdated) context->TryCancel();
}

}  // namespace zinniamux::daemon
