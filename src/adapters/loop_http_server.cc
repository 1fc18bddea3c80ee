// RESTinio on an external loop, with notice of closed connections.
#include "adapters/loop_http_server.h"

#include <exception>
#include <memory>
#include <restinio/all.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "adapters/guarded_socket.h"
#include "adapters/input_guard.h"
#include "adapters/parser_hooks.h"
#include "adapters/restinio_messages.h"

namespace zinniamux::adapters {
namespace {

// Longer than any caller waits; the caller's own deadline ends a request.
constexpr std::chrono::hours kHandleRequestTimeout{24};
constexpr std::size_t kMaxFieldBytes = 16'384;
// With a second request allowed, the server goes on reading while it works on the first, and so
// sees that the client has gone.
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::size_t kConcurrentAccepts = 4;

// Opens and closes the accounts of connections, and reports their end.
class StateListener {
 public:
  StateListener(InputGuard* guard, std::string name,
                std::function<void(LoopHttpServer::ConnectionId)> on_closed)
      : guard_(guard), name_(std::move(name)), on_closed_(std::move(on_closed)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    const restinio::connection_state::cause_t cause = notice.cause();
    if (std::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
      if (guard_ == nullptr) return;
      accepted_input = guard_->Open(name_);
      inputs_[notice.connection_id()] = accepted_input;
      return;
    }
    if (!std::holds_alternative<restinio::connection_state::closed_t>(cause)) return;
    if (const auto node = inputs_.extract(notice.connection_id())) node.mapped()->OnClosed();
    if (on_closed_) on_closed_(notice.connection_id());
  }

  // Null for a connection that has no account or is closed.
  std::shared_ptr<ConnectionInput> InputOf(LoopHttpServer::ConnectionId id) const {
    const auto found = inputs_.find(id);
    return found == inputs_.end() ? nullptr : found->second;
  }

 private:
  InputGuard* const guard_;
  const std::string name_;
  std::unordered_map<LoopHttpServer::ConnectionId, std::shared_ptr<ConnectionInput>> inputs_;
  const std::function<void(LoopHttpServer::ConnectionId)> on_closed_;
};

struct Traits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = StateListener;
  using stream_socket_t = GuardedSocket;
  using http_methods_mapper_t = LimitedMethods;
};

using Server = restinio::http_server_t<Traits>;

}  // namespace

class LoopHttpServer::Implementation {
 public:
  Implementation(asio::io_context& loop, Options options)
      : listener_(std::make_shared<StateListener>(options.input_guard, options.name,
                                                  std::move(options.on_closed))),
        server_(restinio::external_io_context(loop), [this, &options](auto& settings) {
          const ConnectionLimits limits =
              options.input_guard ? options.input_guard->limits() : ConnectionLimits();
          settings.address(options.address.host)
              .port(options.address.port)
              .handle_request_timeout(kHandleRequestTimeout)
              .read_next_http_message_timelimit(options.idle_timeout)
              .max_pipelined_requests(kPipelinedRequests)
              .concurrent_accepts_count(kConcurrentAccepts)
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(kMaxFieldBytes)
                                            .max_field_name_size(kMaxFieldBytes)
                                            .max_field_value_size(kMaxFieldBytes)
                                            .max_field_count(limits.max_fields)
                                            .max_body_size(options.max_body_bytes))
              .connection_state_listener(listener_)
              .request_handler([this, handler = std::move(options.handler)](auto request) {
                const auto input = listener_->InputOf(request->connection_id());
                HttpRequest message = FromRestinio(*request);
                if (input != nullptr) {
                  message.client_closed = input->client_closed();
                  message.connection_used_at = input->ExchangeUsedAt();
                }
                handler(request->connection_id(), std::move(message),
                        [answer = std::make_shared<PendingResponse>(*request),
                         input](HttpResponse response) {
                          if (input == nullptr) return answer->Send(std::move(response));
                          input->OnAnswered();
                          // The next request may have arrived already.
                          const InputScope scope(*input);
                          answer->Send(std::move(response));
                        });
                return restinio::request_accepted();
              });
        }) {
    server_.open_sync();
  }

  ~Implementation() { server_.close_sync(); }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

 private:
  const std::shared_ptr<StateListener> listener_;
  Server server_;
};

LoopHttpServer::LoopHttpServer(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

LoopHttpServer::~LoopHttpServer() = default;

core::Result<std::unique_ptr<LoopHttpServer>> LoopHttpServer::Start(asio::io_context& loop,
                                                                    Options options) {
  const std::string address = AddressText(options.address);
  try {
    return std::unique_ptr<LoopHttpServer>(
        new LoopHttpServer(std::make_unique<Implementation>(loop, std::move(options))));
  } catch (const std::exception& error) {
    return tl::unexpected(core::Error{
        core::ErrorKind::kInternal, "cannot listen on " + address + ": " + error.what(), {}});
  }
}

}  // namespace zinniamux::adapters
