// Interface to read the operator's configuration of queues and the evacuated zones, and to watch
// them for changes.
#ifndef ZINNIAMUX_CORE_CONFIGURATION_SOURCE_H_
#define ZINNIAMUX_CORE_CONFIGURATION_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "core/error_kind.h"
#include "core/zone_evacuation.h"

namespace zinniamux::core {

// Callbacks run on a thread of the implementation. Errors are of kind kStoreUnavailable, or
// kNotFound where there is no configuration yet or its history is lost.
class ConfigurationSource {
 public:
  struct Document {
    std::string body;
    // Position in the store's history at the time of the read; pass it to AwaitChange.
    std::uint64_t position = 0;
  };
  using ReadCallback = std::function<void(Result<Document>)>;
  // The version is the position in the store's history at the time of the read.
  using EvacuationCallback = std::function<void(Result<EvacuationState>)>;
  // Gets the new position; the configuration or the evacuated zones may have changed.
  using ChangeCallback = std::function<void(Result<std::uint64_t>)>;

  virtual ~ConfigurationSource() = default;
  virtual void ReadConfiguration(ReadCallback callback) = 0;
  virtual void ReadEvacuation(EvacuationCallback callback) = 0;
  // Calls back when a row of the operator changes, or after `wait` at the latest, with `position`
  // or a later one.
  virtual void AwaitChange(std::uint64_t position, std::chrono::milliseconds wait,
                           ChangeCallback callback) = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CONFIGURATION_SOURCE_H_
