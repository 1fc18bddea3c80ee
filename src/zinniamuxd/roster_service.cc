// Reads and writes the rows of entries.
#include "zinniamuxd/roster_service.h"

#include <utility>
#include <variant>

#include "adapters/row_codec.h"

namespace zinniamux::daemon {

using core::EntryRoster;

RosterService::RosterService(EntryRoster::Options options, core::TableStore& store,
                             const core::Clock& clock, std::function<void()> on_changed,
                             core::UnreadableRowHandler on_unreadable_row)
    : store_(store),
      on_changed_(std::move(on_changed)),
      on_unreadable_row_(std::move(on_unreadable_row)),
      runner_(EntryRoster(std::move(options), clock),
              [this](core::RosterAction action) { CarryOut(std::move(action)); }) {}

void RosterService::OnTimer() {
  runner_.Apply([](EntryRoster& roster) { roster.OnTimer(); });
}

void RosterService::OnEntryHeard(const core::EntryAddress& entry) {
  runner_.Apply([&](EntryRoster& roster) { roster.OnEntryHeard(entry); });
}

void RosterService::OnPeerRoster(std::span<const core::EntryAddress> entries) {
  runner_.Apply([&](EntryRoster& roster) { roster.OnPeerRoster(entries); });
}

std::vector<core::EntryAddress> RosterService::members() const {
  return runner_.Read([](const EntryRoster& roster) { return roster.members(); });
}

void RosterService::CarryOut(core::RosterAction action) {
  if (const auto* write = std::get_if<core::WriteEntryRow>(&action)) {
    WriteRow(write->row);
  } else if (std::holds_alternative<core::ReadEntryRows>(action)) {
    ReadRows();
  } else if (const auto* removal = std::get_if<core::DeleteEntryRow>(&action)) {
    const std::string key = adapters::EntryRowKey(removal->entry_id);
    store_.Commit({.conditions = {{.key = key, .version = removal->version}}, .deletes = {key}},
                  [](core::CommitOutcome) {});
  } else {
    on_changed_();
  }
}

void RosterService::WriteRow(const core::EntryRow& row) {
  store_.Commit({.puts = {{.key = adapters::EntryRowKey(row.entry.entry_id),
                           .value = adapters::ToJson(row)}}},
                [weak = weak_from_this()](core::CommitOutcome outcome) {
                  const auto self = weak.lock();
                  if (self == nullptr) return;
                  self->runner_.Apply([&](EntryRoster& roster) { roster.OnWriteDone(outcome); });
                });
}

void RosterService::ReadRows() {
  store_.ReadRows(std::string(adapters::kEntryRowPrefix),
                  [weak = weak_from_this()](const core::Result<std::vector<core::TableRow>>& rows) {
                    const auto self = weak.lock();
                    if (self == nullptr) return;
                    core::Result<std::vector<core::VersionedEntryRow>> parsed;
                    if (!rows) {
                      parsed = tl::unexpected(rows.error());
                    } else {
                      parsed = adapters::ParseEntryRows(*rows, self->on_unreadable_row_);
                    }
                    self->runner_.Apply([&](EntryRoster& roster) { roster.OnRowsRead(parsed); });
                  });
}

}  // namespace zinniamux::daemon
