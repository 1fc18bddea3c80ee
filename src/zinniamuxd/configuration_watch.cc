// The cycle of reads and long polls.
#include "zinniamuxd/configuration_watch.h"

#include <asio/post.hpp>
#include <utility>

namespace zinniamux::daemon {

ConfigurationWatch::ConfigurationWatch(asio::io_context& loop, core::ConfigurationSource& source,
                                       const Options& options, Handlers handlers)
    : loop_(loop),
      source_(source),
      options_(options),
      handlers_(std::move(handlers)),
      retry_timer_(loop) {}

void ConfigurationWatch::Stop() {
  stopped_ = true;
  retry_timer_.cancel();
}

void ConfigurationWatch::Read() {
  if (options_.reads_evacuation) return ReadEvacuation();
  ReadConfiguration(std::nullopt);
}

void ConfigurationWatch::ReadEvacuation() {
  source_.ReadEvacuation([self = shared_from_this()](auto state) {
    asio::post(self->loop_, [self, state = std::move(state)]() mutable {
      if (!self->stopped_) self->OnEvacuationRead(std::move(state));
    });
  });
}

void ConfigurationWatch::OnEvacuationRead(core::Result<core::EvacuationState> state) {
  if (!state) {
    handlers_.on_store_status(false, state.error().message);
    return ScheduleRead();
  }
  const std::uint64_t position = state->version;
  handlers_.on_store_status(true, "");
  handlers_.on_evacuation(*std::move(state));
  ReadConfiguration(position);
}

void ConfigurationWatch::ReadConfiguration(std::optional<std::uint64_t> position) {
  source_.ReadConfiguration([self = shared_from_this(), position](auto document) {
    asio::post(self->loop_, [self, position, document = std::move(document)]() mutable {
      if (!self->stopped_) self->OnConfigurationRead(position, std::move(document));
    });
  });
}

void ConfigurationWatch::OnConfigurationRead(
    std::optional<std::uint64_t> position,
    core::Result<core::ConfigurationSource::Document> document) {
  if (!document) {
    handlers_.on_store_status(document.error().kind == core::ErrorKind::kNotFound,
                              document.error().message);
    return ScheduleRead();
  }
  handlers_.on_store_status(true, "");
  handlers_.on_configuration(std::move(document->body));
  WaitForChange(position.value_or(document->position));
}

void ConfigurationWatch::WaitForChange(std::uint64_t position) {
  source_.AwaitChange(position, options_.change_wait,
                      [self = shared_from_this(), position](core::Result<std::uint64_t> next) {
                        asio::post(self->loop_, [self, position, next = std::move(next)] {
                          if (!self->stopped_) self->OnChangeResult(position, next);
                        });
                      });
}

void ConfigurationWatch::OnChangeResult(std::uint64_t awaited,
                                        const core::Result<std::uint64_t>& position) {
  if (!position) {
    // The store answered, but dropped the changes since `awaited`: read everything again.
    if (position.error().kind == core::ErrorKind::kNotFound) return Read();
    handlers_.on_store_status(false, position.error().message);
    return ScheduleRead();
  }
  handlers_.on_store_status(true, "");
  if (*position == awaited) return WaitForChange(awaited);
  Read();
}

void ConfigurationWatch::ScheduleRead() {
  retry_timer_.expires_after(options_.retry_delay);
  retry_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->stopped_) self->Read();
  });
}

}  // namespace zinniamux::daemon
