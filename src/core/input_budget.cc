// Accounts of connections and the order in which they are closed.
#include "core/input_budget.h"

#include <algorithm>
#include <tuple>

namespace zinniamux::core {

void InputBudget::OnOpened(ConnectionId id, TimePoint now) { connections_[id].idle_since = now; }

void InputBudget::OnClosed(ConnectionId id) { Remove(id); }

void InputBudget::OnInput(ConnectionId id, std::size_t held_bytes, TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  if (connection.started_at == TimePoint()) connection.started_at = now;
  connection.progressed_at = now;
  bytes_ = bytes_ - connection.input_bytes + held_bytes;
  connection.input_bytes = held_bytes;
}

void InputBudget::OnInputComplete(ConnectionId id, TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  bytes_ -= connection.input_bytes;
  connection.input_bytes = 0;
  connection.started_at = TimePoint();
  connection.idle_since = now;
}

void InputBudget::OnOutput(ConnectionId id, std::size_t requests, std::size_t unread_bytes,
                           TimePoint now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  bytes_ = bytes_ - connection.unread_bytes + unread_bytes;
  connection.unread_bytes = unread_bytes;
  connection.requests = requests;
  connection.idle_since = now;
}

std::vector<InputBudget::Drop> InputBudget::TakeExcess(TimePoint now) {
  std::vector<Drop> drops;
  if (bytes_ > options_.max_bytes) DropForBytes(now, drops);
  if (connections_.size() > options_.max_connections) DropForConnections(drops);
  return drops;
}

std::vector<InputBudget::Drop> InputBudget::TakeStalled(TimePoint now) {
  std::vector<Drop> drops;
  for (const auto& [id, connection] : connections_) {
    // With a request in process, the second one may wait for the answer to the first.
    if (connection.started_at == TimePoint() || connection.busy()) continue;
    if (now - connection.progressed_at < options_.stall_limit) continue;
    drops.push_back({.id = id, .cause = Cause::kStalled});
  }
  for (const Drop& drop : drops) Remove(drop.id);
  return drops;
}

double InputBudget::ByteSeconds(const Connection& connection, TimePoint now) {
  const bool unfinished = connection.started_at != TimePoint();
  const Duration age = (unfinished ? now - connection.started_at : Duration(0)) + kMinAge;
  return static_cast<double>(connection.bytes()) * std::chrono::duration<double>(age).count();
}

void InputBudget::Remove(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  bytes_ -= found->second.bytes();
  connections_.erase(found);
}

void InputBudget::DropForBytes(TimePoint now, std::vector<Drop>& drops) {
  // Idle connections before those with a request in process, then by falling cost.
  std::vector<std::tuple<bool, double, ConnectionId>> order;
  for (const auto& [id, connection] : connections_) {
    if (connection.bytes() == 0) continue;
    order.emplace_back(connection.busy(), -ByteSeconds(connection, now), id);
  }
  std::sort(order.begin(), order.end());
  const std::size_t target = options_.max_bytes - options_.max_bytes / kFreedPart;
  for (const auto& [busy, cost, id] : order) {
    // A request in process is not given up for room in advance.
    if (bytes_ <= (busy ? options_.max_bytes : target)) break;
    Remove(id);
    drops.push_back({.id = id, .cause = Cause::kBytes});
  }
}

void InputBudget::DropForConnections(std::vector<Drop>& drops) {
  std::vector<std::tuple<TimePoint, ConnectionId>> order;
  for (const auto& [id, connection] : connections_) {
    if (!connection.busy()) order.emplace_back(connection.idle_since, id);
  }
  std::sort(order.begin(), order.end());
  const std::size_t target = options_.max_connections - options_.max_connections / kFreedPart;
  for (const auto& [since, id] : order) {
    if (connections_.size() <= target) break;
    Remove(id);
    drops.push_back({.id = id, .cause = Cause::kConnections});
  }
}

}  // namespace zinniamux::core
