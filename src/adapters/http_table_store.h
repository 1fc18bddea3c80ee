// The platform's table service and object store over HTTP/JSON.
#ifndef ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_
#define ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_

#include <memory>
#include <string>

#include "adapters/http_client.h"
#include "adapters/service_link.h"
#include "core/clock.h"
#include "core/table_store.h"

namespace zinniamux::adapters {

// Callbacks run on the client's thread. Rows are read page by page, each page with a deadline of
// its own, so that a reader of many rows gets them from a slow store as well. Requests are not
// retried; the decision code does that. Keys and values are UTF-8.
class HttpTableStore : public core::TableStore {
 public:
  using Options = ServiceLink::Options;

  // `client` outlives this object, and `clock` outlives `client`.
  HttpTableStore(Options options, HttpClient& client, const core::Clock& clock);

  void ReadRow(std::string key, RowCallback callback) override;
  void ReadRows(std::string prefix, RowsCallback callback) override;
  void Commit(core::TableTransaction transaction, CommitCallback callback) override;
  void ReadObject(std::string key, ObjectCallback callback) override;
  void WriteObject(std::string key, std::string body, DoneCallback callback) override;

 private:
  struct RowsRead;

  static void ReadPage(const std::shared_ptr<ServiceLink>& link, std::shared_ptr<RowsRead> read);

  // Shared with callbacks, which may run after this object has ended.
  const std::shared_ptr<ServiceLink> link_;
};

}  // namespace zinniamux::adapters

#endif  // ZINNIAMUX_ADAPTERS_HTTP_TABLE_STORE_H_
