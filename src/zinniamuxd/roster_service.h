// The roster of a running entry: runs EntryRoster on the table store.
#ifndef ZINNIAMUX_ZINNIAMUXD_ROSTER_SERVICE_H_
#define ZINNIAMUX_ZINNIAMUXD_ROSTER_SERVICE_H_

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "core/entry_roster.h"
#include "core/table_store.h"
#include "zinniamuxd/action_runner.h"

namespace zinniamux::daemon {

// Thread-safe. Create with std::make_shared, because store callbacks may run after its
// creator has released it.
class RosterService : public std::enable_shared_from_this<RosterService> {
 public:
  // `on_changed` is called without a lock when the set of members has changed, and
  // `on_unreadable_row` on a thread of the store, at each read for every row that is left out.
  RosterService(core::EntryRoster::Options options, core::TableStore& store,
                const core::Clock& clock, std::function<void()> on_changed,
                core::UnreadableRowHandler on_unreadable_row);

  void OnTimer();
  void OnEntryHeard(const core::EntryAddress& entry);
  void OnPeerRoster(std::span<const core::EntryAddress> entries);
  std::vector<core::EntryAddress> members() const;
  // No action runs after this call.
  void Close() { runner_.Close(); }

 private:
  void CarryOut(core::RosterAction action);
  void WriteRow(const core::EntryRow& row);
  void ReadRows();

  core::TableStore& store_;
  const std::function<void()> on_changed_;
  const core::UnreadableRowHandler on_unreadable_row_;
  ActionRunner<core::EntryRoster, core::RosterAction> runner_;
};

}  // namespace zinniamux::daemon

#endif  // ZINNIAMUX_ZINNIAMUXD_ROSTER_SERVICE_H_
