// Carries out the actions of ConfigHistory: store calls, hooks and callbacks.
#include "zinniamuxd/config_service.h"

#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>

#include "zinniamuxd/action_runner.h"

namespace zinniamux::daemon {
namespace {

using core::ConfigHistory;

std::string RandomToken() {
  std::random_device device;
  std::string token;
  for (int i = 0; i < 4; ++i) token += std::to_string(device());
  return token;
}

core::WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace

// Shared with the store's callbacks, which may run after the service has been destroyed.
class ConfigService::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(core::TableStore& store, const core::Clock& clock, Hooks hooks)
      : hooks_(std::move(hooks)),
        store_(store),
        runner_(ConfigHistory(ConfigHistory::Options{}, clock),
                [this](core::ConfigAction action) { HandleAction(std::move(action)); }) {}

  template <typename Event>
  void Apply(Event&& event) {
    runner_.Apply(std::forward<Event>(event));
  }

  template <typename Reader>
  auto Read(Reader&& reader) const {
    return runner_.Read(std::forward<Reader>(reader));
  }

  void Publish(Change change, std::string body, PublishCallback callback) {
    if (const auto valid = hooks_.validate(body); !valid) {
      return callback(tl::unexpected(valid.error()));
    }
    core::PublishRequest request{.id = RegisterCallback(std::move(callback)),
                                 .base_version = change.base_version,
                                 .token = TokenOrRandom(std::move(change.token)),
                                 .author = std::move(change.author),
                                 .published_at = WallNow(),
                                 .body = std::move(body)};
    Apply([&](ConfigHistory& history) { history.Publish(std::move(request)); });
  }

  void Rollback(Change change, std::uint64_t target_version, PublishCallback callback) {
    core::RollbackRequest request{.id = RegisterCallback(std::move(callback)),
                                  .base_version = change.base_version,
                                  .target_version = target_version,
                                  .token = TokenOrRandom(std::move(change.token)),
                                  .author = std::move(change.author),
                                  .published_at = WallNow()};
    Apply([&](ConfigHistory& history) { history.Rollback(std::move(request)); });
  }

  void ReadHistory(HistoryCallback callback) {
    store_.ReadRows(std::string(core::kConfigVersionPrefix),
                    [callback = std::move(callback)](const auto& rows) {
                      if (!rows) return callback(tl::unexpected(rows.error()));
                      callback(core::ParseConfigHistory(*rows));
                    });
  }

  void Close() { runner_.Close(); }

 private:
  static std::string TokenOrRandom(std::string token) {
    return token.empty() ? RandomToken() : std::move(token);
  }

  core::PublishId RegisterCallback(PublishCallback callback) {
    const std::lock_guard lock(callbacks_mutex_);
    callbacks_.emplace(++last_id_, std::move(callback));
    return last_id_;
  }

  void HandleAction(core::ConfigAction action) {
    std::visit([this](auto& value) { CarryOut(std::move(value)); }, action);
  }

  void CarryOut(core::ReadStoreRow action) {
    store_.ReadRow(std::move(action.key),
                   [self = shared_from_this(), call = action.call](const auto& row) {
                     self->Apply([&](ConfigHistory& history) { history.OnRow(call, row); });
                   });
  }

  void CarryOut(core::CommitToStore action) {
    store_.Commit(std::move(action.transaction),
                  [self = shared_from_this(), call = action.call](core::CommitOutcome outcome) {
                    self->Apply([&](ConfigHistory& history) { history.OnCommit(call, outcome); });
                  });
  }

  void CarryOut(core::ReadStoreObject action) {
    store_.ReadObject(std::move(action.key), [self = shared_from_this(),
                                              call = action.call](core::Result<std::string> body) {
      self->Apply([&](ConfigHistory& history) { history.OnObject(call, std::move(body)); });
    });
  }

  void CarryOut(core::WriteStoreObject action) {
    store_.WriteObject(
        std::move(action.key), std::move(action.body),
        [self = shared_from_this(), call = action.call](const auto& done) {
          self->Apply([&](ConfigHistory& history) { history.OnObjectWritten(call, done); });
        });
  }

  void CarryOut(core::AnswerPublish action) {
    PublishCallback callback;
    {
      const std::lock_guard lock(callbacks_mutex_);
      const auto found = callbacks_.find(action.id);
      callback = std::move(found->second);
      callbacks_.erase(found);
    }
    callback(std::move(action.result));
  }

  void CarryOut(const core::PutInForce& action) {
    // A newer release may have published a body that this release cannot parse.
    if (const auto valid = hooks_.validate(action.config.body); !valid) {
      return hooks_.on_problem("configuration version " + std::to_string(action.config.version) +
                               " is not used: " + valid.error().message);
    }
    hooks_.on_in_force(action.config);
  }

  void CarryOut(const core::ReportConfigProblem& action) { hooks_.on_problem(action.message); }

  const Hooks hooks_;
  core::TableStore& store_;
  std::mutex callbacks_mutex_;
  // Guarded by callbacks_mutex_.
  std::unordered_map<core::PublishId, PublishCallback> callbacks_;
  core::PublishId last_id_ = 0;
  ActionRunner<ConfigHistory, core::ConfigAction> runner_;
};

ConfigService::ConfigService(core::TableStore& store, const core::Clock& clock, Hooks hooks)
    : implementation_(std::make_shared<Implementation>(store, clock, std::move(hooks))) {}

ConfigService::~ConfigService() { implementation_->Close(); }

void ConfigService::Publish(Change change, std::string body, PublishCallback callback) {
  implementation_->Publish(std::move(change), std::move(body), std::move(callback));
}

void ConfigService::Rollback(Change change, std::uint64_t target_version,
                             PublishCallback callback) {
  implementation_->Rollback(std::move(change), target_version, std::move(callback));
}

void ConfigService::ReadHistory(HistoryCallback callback) {
  implementation_->ReadHistory(std::move(callback));
}

void ConfigService::OnPeerVersion(std::uint64_t version) {
  implementation_->Apply([&](ConfigHistory& history) { history.OnPeerVersion(version); });
}

void ConfigService::OnPeerConfig(core::ConfigVersion config) {
  implementation_->Apply([&](ConfigHistory& history) { history.OnPeerConfig(std::move(config)); });
}

void ConfigService::OnTimer() {
  implementation_->Apply([](ConfigHistory& history) { history.OnTimer(); });
}

core::ConfigKnowledge ConfigService::knowledge() const {
  return implementation_->Read([](const ConfigHistory& history) { return history.knowledge(); });
}

core::ConfigVersion ConfigService::in_force() const {
  return implementation_->Read([](const ConfigHistory& history) { return history.in_force(); });
}

}  // namespace zinniamux::daemon
