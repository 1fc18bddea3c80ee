// Follows the operator's configuration and the evacuated zones in the store.
#ifndef ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_
#define ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/configuration_source.h"

namespace zinniamux::daemon {

// Reads the configuration, waits for a change, and reads again, until Stop. With
// `reads_evacuation`, the evacuated zones are read first each time, so that they are known before
// the first configuration and take effect first. A failed call is retried after a delay. Handlers
// run on the event loop. Created with std::make_shared.
class ConfigurationWatch : public std::enable_shared_from_this<ConfigurationWatch> {
 public:
  struct Options {
    // How long the store may hold a long poll for changes. Short enough that a silent connection is
    // detected within the time in which a change must take effect.
    std::chrono::milliseconds change_wait{700};
    std::chrono::milliseconds retry_delay{200};
    bool reads_evacuation = false;
  };
  struct Handlers {
    std::function<void(std::string body)> on_configuration;
    // Needed with `reads_evacuation` only.
    std::function<void(core::EvacuationState state)> on_evacuation = nullptr;
    // Whether the store answered the last call; `reason` describes a failure.
    std::function<void(bool answered, const std::string& reason)> on_store_status;
  };

  ConfigurationWatch(asio::io_context& loop, core::ConfigurationSource& source,
                     const Options& options, Handlers handlers);

  void Start() { Read(); }
  void Stop();

 private:
  void Read();
  void ReadEvacuation();
  void OnEvacuationRead(core::Result<core::EvacuationState> state);
  // The store's position at the last read of the evacuated zones, if they are read: changes since
  // then are not known.
  void ReadConfiguration(std::optional<std::uint64_t> position);
  void OnConfigurationRead(std::optional<std::uint64_t> position,
                           core::Result<core::ConfigurationSource::Document> document);
  void WaitForChange(std::uint64_t position);
  void OnChangeResult(std::uint64_t awaited, const core::Result<std::uint64_t>& position);
  void ScheduleRead();

  asio::io_context& loop_;
  core::ConfigurationSource& source_;
  const Options options_;
  const Handlers handlers_;
  asio::steady_timer retry_timer_;
  bool stopped_ = false;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_CONFIGURATION_WATCH_H_
