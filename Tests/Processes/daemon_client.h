#ifndef TESTS_PROCESSES_DAEMON_CLIENT_H_
#define TESTS_PROCESSES_DAEMON_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "LibNetwork/frame_client.h"
#include "LibNetwork/io_thread.h"

namespace crocus {

/// Speaks to a daemon like an entry. Thread-safe.
class DaemonClient {
 public:
  explicit DaemonClient(const std::string& address);
  ~DaemonClient();
  DaemonClient(const DaemonClient&) = delete;
  DaemonClient& operator=(const DaemonClient&) = delete;

  /// Sends a message once the connection is open.
  template <typename Message>
  bool Send(const Message& message, std::uint64_t correlation = 0) {
    return this->client->Send(MakeFrame(message, correlation)).has_value();
  }

  bool has_report() const;
  bool is_leaving() const;
  std::uint64_t incarnation() const;
  std::optional<messages::AttemptDone> FindDone(const std::string& id) const;
  /// The newest offer of an attempt's result.
  std::optional<messages::HeldResult> FindOffer(const std::string& id) const;
  std::optional<Verdict> FindRevoke(const std::string& id) const;
  std::optional<messages::EngineOrderReply> FindOrderReply(
      std::uint64_t correlation) const;
  std::size_t done_count() const;
  std::uint64_t received_bytes() const { return this->bytes; }

 private:
  void OnFrame(const Frame& frame);

  IoThread io;
  std::atomic<std::uint64_t> bytes = 0;
  mutable std::mutex mutex;
  messages::Hello hello;
  bool is_reported = false;
  bool leaving = false;
  std::map<std::string, messages::AttemptDone> dones;
  std::map<std::string, messages::HeldResult> offers;
  std::map<std::string, Verdict> revokes;
  std::map<std::uint64_t, messages::EngineOrderReply> order_replies;
  std::shared_ptr<FrameClient> client;
};

}  // namespace crocus

#endif  // TESTS_PROCESSES_DAEMON_CLIENT_H_
