#include "daemon_client.h"

namespace crocus {

DaemonClient::DaemonClient(const std::string& address)
    : client(std::make_shared<FrameClient>(
          this->io.context(),
          address,
          ConnectionHandlers{
              .on_open = {},
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
  std::string key;
  if (frame.type == MessageType::kAttemptDone) {
    key = Decode<messages::AttemptDone>(frame.body)->attempt;
  } else if (frame.type == MessageType::kRevokeReply) {
    key = Decode<messages::RevokeReply>(frame.body)->attempt;
  } else if (frame.type == MessageType::kEngineCommandReply) {
    key = std::to_string(frame.correlation);
  } else if (frame.type == MessageType::kOfferResults) {
    const auto offer = *Decode<messages::OfferResults>(frame.body);
    for (const auto& result : offer.results) {
      this->newest_messages[{frame.type, result.done.attempt}] =
          Encode(messages::OfferResults{.results = {result}});
    }
    return;
  }
  this->newest_messages[{frame.type, key}] = frame.body;
}

}  // namespace crocus
