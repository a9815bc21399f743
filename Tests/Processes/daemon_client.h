#ifndef TESTS_PROCESSES_DAEMON_CLIENT_H_
#define TESTS_PROCESSES_DAEMON_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "LibNetwork/frame_client.h"
#include "LibNetwork/io_thread.h"

namespace crocus {

/// Connects to a daemon as an entry does and keeps the newest message of each
/// type and key. Thread-safe.
class DaemonClient {
 public:
  explicit DaemonClient(const std::string& address);
  ~DaemonClient();
  DaemonClient(const DaemonClient&) = delete;
  DaemonClient& operator=(const DaemonClient&) = delete;

  template <typename Message>
  bool Send(const Message& message, std::uint64_t correlation = 0) {
    return this->client->Send(MakeFrame(message, correlation)).has_value();
  }

  /// Returns the newest message of a type. `key` is the attempt, the
  /// correlation id of an engine command, or empty for the other types.
  template <typename Message>
  std::optional<Message> Find(const std::string& key = "") const {
    std::lock_guard lock(this->mutex);
    const auto found = this->newest_messages.find({Message::kType, key});
    if (found == this->newest_messages.end()) {
      return std::nullopt;
    }
    return *Decode<Message>(found->second);
  }

  auto FindDone(const std::string& attempt) const {
    return this->Find<messages::AttemptDone>(attempt);
  }
  /// The newest offer of this attempt's result, without the other results of
  /// the same message.
  auto FindOffer(const std::string& attempt) const {
    return this->Find<messages::OfferResults>(attempt);
  }
  auto FindRevoke(const std::string& attempt) const {
    return this->Find<messages::RevokeReply>(attempt);
  }
  auto FindCommandReply(std::uint64_t correlation) const {
    return this->Find<messages::EngineCommandReply>(
        std::to_string(correlation));
  }
  bool is_leaving() const {
    const auto change = this->Find<messages::LoadChange>();
    return change && change->leaving;
  }
  std::uint64_t received_bytes() const { return this->bytes; }

 private:
  void OnFrame(const Frame& frame);

  IoThread io;
  std::atomic<std::uint64_t> bytes = 0;
  mutable std::mutex mutex;
  std::map<std::pair<messages::MessageType, std::string>, std::string>
      newest_messages;
  std::shared_ptr<FrameClient> client;
};

}  // namespace crocus

#endif  // TESTS_PROCESSES_DAEMON_CLIENT_H_
