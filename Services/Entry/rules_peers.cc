#include "Entry/rules_peers.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "LibNetwork/decode_frame.h"

namespace crocus {

RulesPeers::RulesPeers(boost::asio::io_context& context,
                       const std::vector<std::string>& entries,
                       std::chrono::milliseconds interval,
                       messages::Hello hello,
                       RulesFollower& follower)
    : interval(interval),
      hello(std::move(hello)),
      follower(follower),
      timer(context) {
  for (const auto& entry : entries) {
    this->views[entry].address = entry;
    this->clients[entry] = std::make_shared<FrameClient>(
        context, entry,
        ConnectionHandlers{
            .on_open =
                [this](const auto& connection) {
                  connection->Send(MakeFrame(this->hello));
                  connection->Send(MakeFrame(messages::RulesQuery{
                      .known_version = this->follower.version()}));
                },
            .on_frame =
                [this, entry](const auto& connection, const Frame& frame) {
                  this->OnFrame(entry, connection, frame);
                },
            .on_closed = [this, entry](
                             const auto&,
                             const auto&) { this->OnDisconnected(entry); }});
  }
}

void RulesPeers::Start() {
  for (const auto& [entry, client] : this->clients) {
    client->Start();
  }
  boost::asio::post(this->timer.get_executor(),
                    [this] { this->ScheduleQuery(); });
}

void RulesPeers::Stop() {
  boost::asio::post(this->timer.get_executor(),
                    [this] { this->timer.cancel(); });
  for (const auto& [entry, client] : this->clients) {
    client->Stop();
  }
}

std::vector<EntryView> RulesPeers::Entries() const {
  std::lock_guard lock(this->mutex);
  std::vector<EntryView> entries;
  for (const auto& [address, view] : this->views) {
    entries.push_back(view);
  }
  return entries;
}

void RulesPeers::OnFrame(const std::string& entry,
                         const std::shared_ptr<Connection>& connection,
                         const Frame& frame) {
  if (frame.type == messages::MessageType::kHello) {
    if (const auto hello = DecodeOrClose<messages::Hello>(connection, frame)) {
      std::lock_guard lock(this->mutex);
      auto& view = this->views[entry];
      view.is_connected = true;
      view.name = hello->name;
      view.rules_version = hello->rules_version;
    }
  } else if (frame.type == messages::MessageType::kRulesPush) {
    if (const auto push =
            DecodeOrClose<messages::RulesPush>(connection, frame)) {
      {
        std::lock_guard lock(this->mutex);
        this->views[entry].rules_version = push->version;
      }
      this->follower.OnPeerRules(entry, *push);
    }
  }
}

void RulesPeers::OnDisconnected(const std::string& entry) {
  std::lock_guard lock(this->mutex);
  this->views[entry].is_connected = false;
}

void RulesPeers::ScheduleQuery() {
  this->timer.expires_after(this->interval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    const Frame query = MakeFrame(
        messages::RulesQuery{.known_version = this->follower.version()});
    for (const auto& [entry, client] : this->clients) {
      client->Send(query);
    }
    this->ScheduleQuery();
  });
}

}  // namespace crocus
