// Interface to the table service and the object store, and the rows and transactions it uses.
#ifndef ZINNIAMUX_CORE_TABLE_STORE_H_
#define ZINNIAMUX_CORE_TABLE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error_kind.h"

namespace zinniamux::core {

// One row. `version` increases with every write of the row; 0 means that the row does not exist.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

// A row that cannot be decoded, for example one of another writer.
struct UnreadableRow {
  // Empty if the key itself cannot be decoded.
  std::string key;
  std::string reason;
};
using UnreadableRowHandler = std::function<void(const UnreadableRow& row)>;

// A set of writes that takes effect atomically if every condition holds.
struct TableTransaction {
  // The row has exactly this version; version 0 requires that it does not exist.
  struct Condition {
    std::string key;
    std::uint64_t version = 0;
  };
  struct Put {
    std::string key;
    std::string value;
  };

  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> deletes;
};

enum class CommitOutcome {
  kCommitted,
  // A condition did not hold; nothing was written.
  kConflict,
  // No answer came. The transaction may have taken effect, now or later; read the rows again.
  kUnknown,
};

// The table service and the object store. All calls are asynchronous; callbacks run on a thread of
// the implementation. Errors are of kind kStoreUnavailable, or kNotFound for objects.
class TableStore {
 public:
  using RowCallback = std::function<void(Result<std::optional<TableRow>>)>;
  using RowsCallback = std::function<void(Result<std::vector<TableRow>>)>;
  using CommitCallback = std::function<void(CommitOutcome)>;
  using ObjectCallback = std::function<void(Result<std::string>)>;
  using DoneCallback = std::function<void(Result<void>)>;

  virtual ~TableStore() = default;
  virtual void ReadRow(std::string key, RowCallback callback) = 0;
  // All rows whose key begins with `prefix`, in key order. A large result is read in several parts
  // and is then not a consistent snapshot.
  virtual void ReadRows(std::string prefix, RowsCallback callback) = 0;
  virtual void Commit(TableTransaction transaction, CommitCallback callback) = 0;
  virtual void ReadObject(std::string key, ObjectCallback callback) = 0;
  virtual void WriteObject(std::string key, std::string body, DoneCallback callback) = 0;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_TABLE_STORE_H_
