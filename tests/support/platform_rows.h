// The row calls of the platform's store, served from memory.
#ifndef ZINNIAMUX_TESTS_SUPPORT_PLATFORM_ROWS_H_
#define ZINNIAMUX_TESTS_SUPPORT_PLATFORM_ROWS_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "adapters/http_message.h"
#include "standins/platform_standin/platform_state.h"

namespace zinniamux::testing {

// Serves rows-get, rows-feed and rows-tx. All calls are on the loop, except those before it runs.
class PlatformRows {
 public:
  enum class Reader {
    kAsWritten,
    // Values name the proxies in place of the addresses behind them.
    kThroughProxies,
  };

  explicit PlatformRows(asio::io_context& loop) : loop_(loop) {}

  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Both are host:port.
  void AddProxy(const std::string& address, const std::string& proxy) { proxies_[address] = proxy; }
  void Handle(const adapters::HttpRequest& request, const adapters::HttpResponder& respond,
              Reader reader);

 private:
  adapters::HttpResponse Read(const adapters::HttpRequest& request, Reader reader) const;
  adapters::HttpResponse Commit(const adapters::HttpRequest& request);
  void Feed(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
            const adapters::HttpResponder& respond);
  // The version of the last change of a row of which the composite key has the prefix.
  std::uint64_t Newest(const std::string& prefix) const { return state_.Newest(prefix); }
  std::string ValueFor(const std::string& value, Reader reader) const;

  asio::io_context& loop_;
  // Keys are TABLE/KEY: all rows of the protocol's callers have an empty part.
  standins::PlatformState state_;
  std::map<std::string, std::string> proxies_;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_PLATFORM_ROWS_H_
