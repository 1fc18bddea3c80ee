// The platform's table service and object store over HTTP/JSON.
#ifndef ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_
#define ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include "adapters/http_client.h"
#include "core/clock.h"
#include "core/table_store.h"

namespace zinniamux::adapters {

// Callbacks run on the client's thread. Requests are not retried; the decision code does that. Keys
// and values are UTF-8.
class HttpTableStore : public core::TableStore {
 public:
  struct Options {
    // "http://HOST:PORT", without a final slash.
    std::string url;
    std::chrono::milliseconds deadline{2000};
  };

  // `client` and `clock` outlive this object.
  HttpTableStore(Options options, HttpClient& client, const core::Clock& clock);

  void ReadRow(std::string key, RowCallback callback) override;
  void ReadRows(std::string prefix, RowsCallback callback) override;
  void Commit(core::TableTransaction transaction, CommitCallback callback) override;
  void ReadObject(std::string key, ObjectCallback callback) override;
  void WriteObject(std::string key, std::string body, DoneCallback callback) override;

 private:
  // Shared with callbacks, which may run after this object has ended.
  struct Health;

  HttpCall CallOf(std::string method, const std::string& path) const;
  void Send(HttpCall call, HttpClient::Callback callback);

  const Options options_;
  HttpClient& client_;
  const core::Clock& clock_;
  const std::shared_ptr<Health> health_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_
