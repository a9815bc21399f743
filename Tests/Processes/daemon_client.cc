#include "daemon_client.h"

namespace crocus {

namespace {

template <typename Map, typename Key>
std::optional<typename Map::mapped_type> Find(const Map& map, const Key& key) {
  const auto found = map.find(key);
  if (found == map.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace

DaemonClient::DaemonClient(const std::string& address)
    : client(std::make_shared<FrameClient>(
          this->io.context(),
          address,
          ConnectionHandlers{
              .on_open =
                  [](const auto& connection) {
                    connection->Send(MakeFrame(
                        messages::Hello{.role = messages::Role::kEntry}));
                  },
              .on_frame = [this](const auto&,
                                 const Frame& frame) { this->OnFrame(frame); },
              .on_closed = {}})) {
  this->client->Start();
}

DaemonClient::~DaemonClient() {
  this->io.Stop();
}

void DaemonClient::OnFrame(const Frame& frame) {
  using messages::MessageType;
  this->bytes += kFrameHeaderBytes + frame.body.size();
  std::lock_guard lock(this->mutex);
  switch (frame.type) {
    case MessageType::kHello:
      this->hello = *Decode<messages::Hello>(frame.body);
      return;
    case MessageType::kLoadReport:
      this->is_reported = true;
      this->leaving =
          Decode<messages::LoadReport>(frame.body)->replicas[0].leaving;
      return;
    case MessageType::kLoadChange:
      this->leaving = Decode<messages::LoadChange>(frame.body)->leaving;
      return;
    case MessageType::kAttemptDone: {
      const auto done = *Decode<messages::AttemptDone>(frame.body);
      this->dones[done.attempt] = done;
      return;
    }
    case MessageType::kOfferResults: {
      const auto offer = *Decode<messages::OfferResults>(frame.body);
      for (const auto& result : offer.results) {
        this->offers[result.done.attempt] = result;
      }
      return;
    }
    case MessageType::kRevokeReply: {
      const auto reply = *Decode<messages::RevokeReply>(frame.body);
      this->revokes[reply.attempt] = reply.verdict;
      return;
    }
    case MessageType::kEngineOrderReply:
      this->order_replies[frame.correlation] =
          *Decode<messages::EngineOrderReply>(frame.body);
      return;
    default:
      return;
  }
}

bool DaemonClient::has_report() const {
  std::lock_guard lock(this->mutex);
  return this->is_reported;
}

bool DaemonClient::is_leaving() const {
  std::lock_guard lock(this->mutex);
  return this->leaving;
}

std::uint64_t DaemonClient::incarnation() const {
  std::lock_guard lock(this->mutex);
  return this->hello.incarnation;
}

std::optional<messages::AttemptDone> DaemonClient::FindDone(
    const std::string& id) const {
  std::lock_guard lock(this->mutex);
  return Find(this->dones, id);
}

std::optional<messages::HeldResult> DaemonClient::FindOffer(
    const std::string& id) const {
  std::lock_guard lock(this->mutex);
  return Find(this->offers, id);
}

std::optional<Verdict> DaemonClient::FindRevoke(const std::string& id) const {
  std::lock_guard lock(this->mutex);
  return Find(this->revokes, id);
}

std::optional<messages::EngineOrderReply> DaemonClient::FindOrderReply(
    std::uint64_t correlation) const {
  std::lock_guard lock(this->mutex);
  return Find(this->order_replies, correlation);
}

std::size_t DaemonClient::done_count() const {
  std::lock_guard lock(this->mutex);
  return this->dones.size();
}

}  // namespace crocus
