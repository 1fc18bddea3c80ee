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

void ConfigurationWatch::ReadConfiguration() {
  source_.ReadConfiguration([self = shared_from_this()](auto document) {
    asio::post(self->loop_, [self, document = std::move(document)]() mutable {
      if (!self->stopped_) self->OnConfigurationRead(std::move(document));
    });
  });
}

void ConfigurationWatch::OnConfigurationRead(
    core::Result<core::ConfigurationSource::Document> document) {
  if (!document) {
    handlers_.on_store_status(document.error().kind == core::ErrorKind::kNotFound,
                              document.error().message);
    return ScheduleRead();
  }
  handlers_.on_store_status(true, "");
  handlers_.on_configuration(std::move(document->body));
  WaitForChange(document->position);
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
    // The store answered, but dropped the changes since `awaited`: read the configuration again.
    if (position.error().kind == core::ErrorKind::kNotFound) return ReadConfiguration();
    handlers_.on_store_status(false, position.error().message);
    return ScheduleRead();
  }
  handlers_.on_store_status(true, "");
  if (*position == awaited) return WaitForChange(awaited);
  ReadConfiguration();
}

void ConfigurationWatch::ScheduleRead() {
  retry_timer_.expires_after(options_.retry_delay);
  retry_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->stopped_) self->ReadConfiguration();
  });
}

}  // namespace zinniamux::daemon
