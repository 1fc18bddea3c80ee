// The loop of reading and waiting.
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
      pause_(loop) {}

void ConfigurationWatch::Stop() {
  stopped_ = true;
  pause_.cancel();
}

void ConfigurationWatch::Read() {
  source_.ReadConfiguration([self = shared_from_this()](auto document) {
    asio::post(self->loop_, [self, document = std::move(document)]() mutable {
      if (!self->stopped_) self->OnRead(std::move(document));
    });
  });
}

void ConfigurationWatch::OnRead(core::Result<core::ConfigurationSource::Document> document) {
  if (!document) {
    handlers_.on_answer(document.error().kind == core::ErrorKind::kNotFound,
                        document.error().message);
    return ReadLater();
  }
  handlers_.on_answer(true, "");
  handlers_.on_read(std::move(document->body));
  Await(document->position);
}

void ConfigurationWatch::Await(std::uint64_t position) {
  source_.AwaitChange(position, options_.wait,
                      [self = shared_from_this(), position](core::Result<std::uint64_t> next) {
                        asio::post(self->loop_, [self, position, next = std::move(next)] {
                          if (!self->stopped_) self->OnChange(position, next);
                        });
                      });
}

void ConfigurationWatch::OnChange(std::uint64_t awaited,
                                  const core::Result<std::uint64_t>& position) {
  if (!position) {
    // Lost history is no fault of the connection: the whole configuration is read at once.
    if (position.error().kind == core::ErrorKind::kNotFound) return Read();
    handlers_.on_answer(false, position.error().message);
    return ReadLater();
  }
  handlers_.on_answer(true, "");
  if (*position == awaited) return Await(awaited);
  Read();
}

void ConfigurationWatch::ReadLater() {
  pause_.expires_after(options_.retry_pause);
  pause_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->stopped_) self->Read();
  });
}

}  // namespace zinniamux::daemon
