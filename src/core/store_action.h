// Store calls that decision code asks its caller to make. Each has a call number, which is passed
// back with the answer.
#ifndef ZINNIAMUX_CORE_STORE_ACTION_H_
#define ZINNIAMUX_CORE_STORE_ACTION_H_

#include <cstdint>
#include <string>

#include "core/table_store.h"

namespace zinniamux::core {

// The number of a store call. Never reused by one object; 0 means no call.
using StoreCall = std::uint64_t;

// Answered by OnRow.
struct ReadStoreRow {
  StoreCall call = 0;
  std::string key;
};

// Answered by OnRows.
struct ReadStoreRows {
  StoreCall call = 0;
  std::string prefix;
};

// Answered by OnCommit.
struct CommitToStore {
  StoreCall call = 0;
  TableTransaction transaction;
};

// Answered by OnObject.
struct ReadStoreObject {
  StoreCall call = 0;
  std::string key;
};

// Answered by OnObjectWritten.
struct WriteStoreObject {
  StoreCall call = 0;
  std::string key;
  std::string body;
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_STORE_ACTION_H_
