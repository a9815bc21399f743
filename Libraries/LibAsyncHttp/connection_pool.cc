#include "LibAsyncHttp/connection_pool.h"

#include <utility>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

ConnectionPool::~ConnectionPool() {
  this->is_closing = true;
  for (const auto& connection : this->busy) {
    connection->Cancel();
  }
  for (const auto& [key, connections] : this->idle) {
    for (const auto& connection : connections) {
      connection->Cancel();
    }
  }
}

std::shared_ptr<ClientConnection> ConnectionPool::Start(
    const std::string& key,
    const boost::asio::ip::tcp::endpoint& server,
    std::string request_text,
    ExchangeEvents events,
    const ExchangeOptions& options) {
  std::shared_ptr<ClientConnection> connection;
  std::vector<std::shared_ptr<ClientConnection>> unusable;
  auto& idle_connections = this->idle[key];
  const TimePoint now = BootTimeNow();
  while (!options.needs_new_connection && !idle_connections.empty() &&
         !connection) {
    auto candidate = idle_connections.back();
    idle_connections.pop_back();
    if (candidate->is_idle() && candidate->usable_until() > now &&
        candidate->server() == server) {
      connection = std::move(candidate);
    } else {
      unusable.push_back(std::move(candidate));
    }
  }
  for (const auto& unusable_connection : unusable) {
    unusable_connection->Cancel();
  }
  if (!connection) {
    ++this->opened;
    connection = std::make_shared<ClientConnection>(
        this->loop, server,
        [this, key](const auto& changed) { this->OnState(key, changed); });
  }
  this->busy.insert(connection);
  connection->Start(std::move(request_text), std::move(events), options);
  return connection;
}

void ConnectionPool::OnState(
    const std::string& key,
    const std::shared_ptr<ClientConnection>& connection) {
  if (this->is_closing) {
    return;
  }
  this->busy.erase(connection);
  auto& idle_connections = this->idle[key];
  if (connection->is_idle()) {
    idle_connections.push_back(connection);
  } else {
    idle_connections.remove(connection);
  }
}

void ConnectionPool::CloseIdle(const std::string& key) {
  const auto found = this->idle.find(key);
  if (found == this->idle.end()) {
    return;
  }
  const auto connections = std::exchange(found->second, {});
  this->idle.erase(found);
  for (const auto& connection : connections) {
    connection->Cancel();
  }
}

}  // namespace crocus
