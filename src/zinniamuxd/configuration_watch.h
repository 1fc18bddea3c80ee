// Follows the operator's configuration in the store.
#ifndef ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_
#define ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "core/configuration_source.h"

namespace zinniamux::daemon {

// Reads the configuration, waits for a change, and reads again, until Stop. A call that is not
// answered is repeated after a pause. Callbacks are on the loop. Created with std::make_shared.
class ConfigurationWatch : public std::enable_shared_from_this<ConfigurationWatch> {
 public:
  struct Options {
    // How long the store holds a call back. Short enough that a silent connection is noticed within
    // the time in which a change must be in force.
    std::chrono::milliseconds wait{700};
    std::chrono::milliseconds retry_pause{200};
  };
  struct Handlers {
    std::function<void(std::string body)> on_read;
    // The store has answered, or has not.
    std::function<void(bool answered, const std::string& reason)> on_answer;
  };

  ConfigurationWatch(asio::io_context& loop, core::ConfigurationSource& source,
                     const Options& options, Handlers handlers);

  void Start() { Read(); }
  void Stop();

 private:
  void Read();
  void OnRead(core::Result<core::ConfigurationSource::Document> document);
  void Await(std::uint64_t position);
  void OnChange(std::uint64_t awaited, const core::Result<std::uint64_t>& position);
  void ReadLater();

  asio::io_context& loop_;
  core::ConfigurationSource& source_;
  const Options options_;
  const Handlers handlers_;
  asio::steady_timer pause_;
  bool stopped_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_
