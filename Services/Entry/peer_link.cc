#include "Entry/peer_link.h"

#include <future>
#include <utility>

#include <boost/asio/post.hpp>

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Threads that handle queries; a handler may read from the log.
constexpr std::size_t kQueryThreads = 2;

/// Maximum number of attempts to find a port that is free for TCP and UDP.
constexpr int kPortAttempts = 20;

/// Heartbeats in one timeout; several, so that the loss of single datagrams has
/// no effect.
constexpr int kHeartbeatsPerTimeout = 5;

}  // namespace

PeerLink::PeerLink(IoThread& io,
                   const EntrySettings& settings,
                   std::uint64_t incarnation)
    : io(io),
      settings(settings),
      incarnation(incarnation),
      timer(io.context()) {}

Result<void> PeerLink::Start(InternalServer& internal_server,
                             std::function<messages::Heartbeat()> heartbeat,
                             QueryHandler on_query) {
  this->make_heartbeat = std::move(heartbeat);
  this->on_query = std::move(on_query);
  this->workers = std::make_unique<WorkerPool>(kQueryThreads);
  this->AddQueryHandler(internal_server);
  TRY(this->Listen(internal_server));
  boost::asio::post(this->io.context(), [this] { this->SendHeartbeats(); });
  return {};
}

Result<void> PeerLink::Listen(InternalServer& internal_server) {
  const auto& host = this->settings.host;
  for (int attempt = 1;; ++attempt) {
    TRY(internal_server.Start(host.address, host.internal_port));
    this->port = internal_server.port();
    auto opened = HeartbeatSocket::Open(
        this->io.context(), host.address, this->port,
        [this](const messages::Heartbeat& received, const std::string& from) {
          this->OnHeartbeat(received, from);
        });
    if (opened) {
      this->socket = std::move(*opened);
      return {};
    }
    internal_server.Stop();
    if (host.internal_port != 0 || attempt == kPortAttempts) {
      return tl::unexpected(std::move(opened).error());
    }
  }
}

void PeerLink::AddQueryHandler(InternalServer& internal_server) {
  internal_server.AddHandler<messages::PartitionQuery>(
      [this](const auto& connection, const auto& query, auto correlation) {
        this->workers->Submit([this, connection, query, correlation] {
          connection->Send(MakeFrame(this->on_query(query), correlation));
        });
      });
}

void PeerLink::Stop() {
  std::map<std::string, std::shared_ptr<FrameClient>> stopped;
  {
    std::lock_guard lock(this->mutex);
    if (this->is_stopped) {
      return;
    }
    this->is_stopped = true;
    stopped = std::exchange(this->clients, {});
  }
  if (this->socket != nullptr) {
    // Announces the shutdown of this entry to the others at once.
    this->SendHeartbeats();
  }
  for (const auto& [address, client] : stopped) {
    client->Stop();
  }
}

std::vector<PeerView> PeerLink::peers() const {
  std::lock_guard lock(this->mutex);
  std::vector<PeerView> views;
  for (const auto& [name, peer] : this->known_peers) {
    views.push_back(peer.view);
  }
  return views;
}

std::optional<PeerLink::OwnerHint> PeerLink::OwnerOf(
    std::uint32_t partition) const {
  std::lock_guard lock(this->mutex);
  std::optional<OwnerHint> newest;
  for (const auto& [name, peer] : this->known_peers) {
    const auto owned = peer.partitions.find(partition);
    if (owned != peer.partitions.end() &&
        (!newest || owned->second > newest->epoch)) {
      newest = {.name = name,
                .epoch = owned->second,
                .last_heartbeat = peer.view.last_heartbeat};
    }
  }
  return newest;
}

void PeerLink::OnHeartbeat(const messages::Heartbeat& heartbeat,
                           const std::string& sender_address) {
  if (heartbeat.name == this->settings.host.name) {
    return;
  }
  std::lock_guard lock(this->mutex);
  if (heartbeat.leaving) {
    this->known_peers.erase(heartbeat.name);
    return;
  }
  const TimePoint now = MonotonicNow();
  Peer& peer = this->known_peers[heartbeat.name];
  const bool is_continuous =
      peer.view.incarnation == heartbeat.incarnation &&
      now < peer.view.last_heartbeat + this->settings.batch.heartbeat_timeout;
  peer.view = {.name = heartbeat.name,
               .incarnation = heartbeat.incarnation,
               .last_heartbeat = now,
               .alive_since = is_continuous ? peer.view.alive_since : now};
  peer.partitions.clear();
  for (const auto& owned : heartbeat.partitions) {
    peer.partitions[owned.partition] = owned.epoch;
  }
  peer.address = (sender_address.find(':') == std::string::npos
                      ? sender_address
                      : "[" + sender_address + "]") +
                 ":" + std::to_string(heartbeat.internal_port);
}

void PeerLink::SendHeartbeats() {
  messages::Heartbeat heartbeat = this->make_heartbeat();
  heartbeat.name = this->settings.host.name;
  heartbeat.incarnation = this->incarnation;
  heartbeat.internal_port = this->port;
  std::set<std::string> addresses(this->settings.fleet.entries.begin(),
                                  this->settings.fleet.entries.end());
  {
    std::lock_guard lock(this->mutex);
    heartbeat.leaving = heartbeat.leaving || this->is_stopped;
    for (const auto& [name, peer] : this->known_peers) {
      addresses.insert(peer.address);
    }
  }
  for (const auto& address : addresses) {
    this->socket->Send(address, heartbeat);
  }
  if (heartbeat.leaving) {
    return;
  }
  this->timer.expires_after(this->settings.batch.heartbeat_timeout /
                            kHeartbeatsPerTimeout);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->SendHeartbeats();
    }
  });
}

std::shared_ptr<FrameClient> PeerLink::FindOrCreateClient(
    const std::string& name) {
  const auto peer = this->known_peers.find(name);
  // A query to an entry without recent heartbeats would only delay the caller
  // until its timeout.
  if (peer == this->known_peers.end() || this->is_stopped ||
      peer->second.view.last_heartbeat +
              this->settings.batch.heartbeat_timeout <
          MonotonicNow()) {
    return nullptr;
  }
  const std::string& address = peer->second.address;
  auto& client = this->clients[address];
  if (client == nullptr) {
    client = std::make_shared<FrameClient>(
        this->io.context(), address,
        ConnectionHandlers{
            .on_open = [](const auto&) {},
            .on_frame = [this](const auto&,
                               const Frame& frame) { this->OnReply(frame); },
            .on_closed = [this, address](
                             const auto&,
                             const auto&) { this->OnClosed(address); }});
    client->Start();
  }
  return client;
}

Result<messages::PartitionReply> PeerLink::Query(
    const std::string& name,
    const messages::PartitionQuery& query,
    Duration timeout) {
  constexpr std::chrono::milliseconds kConnectPollInterval{5};
  const TimePoint deadline = MonotonicNow() + timeout;
  std::future<Result<messages::PartitionReply>> future;
  std::uint64_t correlation = 0;
  while (true) {
    std::unique_lock lock(this->mutex);
    const auto client = this->FindOrCreateClient(name);
    if (client == nullptr) {
      return Failure(
          ErrorCode::kUnavailable,
          "entry \"" + name + "\" is unknown or sends no heartbeats");
    }
    correlation = this->next_correlation++;
    auto& entry = this->pending_queries[correlation];
    entry.peer_address = client->peer_address();
    future = entry.promise.get_future();
    if (const auto sent = client->Send(MakeFrame(query, correlation)); sent) {
      break;
    }
    this->pending_queries.erase(correlation);
    lock.unlock();
    if (MonotonicNow() >= deadline) {
      return Failure(ErrorCode::kUnavailable,
                     "entry \"" + name + "\" is not connected");
    }
    std::this_thread::sleep_for(kConnectPollInterval);
  }
  if (future.wait_until(deadline) == std::future_status::ready) {
    return future.get();
  }
  std::lock_guard lock(this->mutex);
  this->pending_queries.erase(correlation);
  return Failure(ErrorCode::kTimeout,
                 "entry \"" + name + "\" did not respond in time",
                 Verdict::kMayHaveRun);
}

void PeerLink::Notify(const std::string& name,
                      const messages::PartitionQuery& query) {
  std::lock_guard lock(this->mutex);
  if (const auto client = this->FindOrCreateClient(name)) {
    client->Send(MakeFrame(query));
  }
}

void PeerLink::OnReply(const Frame& frame) {
  if (frame.type != messages::MessageType::kPartitionReply) {
    return;
  }
  auto reply = Decode<messages::PartitionReply>(frame.body);
  std::lock_guard lock(this->mutex);
  const auto found = this->pending_queries.find(frame.correlation);
  if (found != this->pending_queries.end()) {
    found->second.promise.set_value(std::move(reply));
    this->pending_queries.erase(found);
  }
}

void PeerLink::OnClosed(const std::string& address) {
  std::lock_guard lock(this->mutex);
  for (auto item = this->pending_queries.begin();
       item != this->pending_queries.end();) {
    if (item->second.peer_address != address) {
      ++item;
      continue;
    }
    item->second.promise.set_value(
        Failure(ErrorCode::kUnavailable, "the connection to the entry was lost",
                Verdict::kMayHaveRun));
    item = this->pending_queries.erase(item);
  }
}

}  // namespace crocus
