// Choice between pooled and fresh connections.
#include "adapters/service_link.h"

namespace zinniamux::adapters {
namespace {

// libcurl reuses a connection that was idle for up to 118 s. After a failure every pooled
// connection may be silent, so none of them is used until they have all exceeded that age.
constexpr std::chrono::seconds kFreshAfterFailure{120};

}  // namespace

void ServiceLink::Send(HttpCall call, HttpClient::Callback callback) {
  const core::Duration since_failure =
      clock_.now().time_since_epoch() - core::Duration(last_failure_.load());
  if (since_failure < kFreshAfterFailure) call.fresh_connection = true;
  client_.Send(std::move(call),
               [self = shared_from_this(), callback = std::move(callback)](HttpResult result) {
                 self->NoteResult(result);
                 callback(std::move(result));
               });
}

void ServiceLink::NoteResult(const HttpResult& result) {
  if (result.status == 0) last_failure_ = clock_.now().time_since_epoch().count();
}

}  // namespace zinniamux::adapters
