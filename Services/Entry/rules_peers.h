#ifndef ENTRY_RULES_PEERS_H_
#define ENTRY_RULES_PEERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Entry/rules_follower.h"
#include "LibNetwork/frame_client.h"

namespace crocus {

/// State of another entry of the settings, as last reported to this entry.
struct EntryView {
  /// IP:port.
  std::string address;
  bool is_connected = false;
  /// Empty until the entry has reported it.
  std::string name;
  std::uint64_t rules_version = 0;

  bool operator==(const EntryView&) const = default;
};

/// Queries the other entries for their rules periodically, so that an entry
/// that restarts during an outage of the log receives them. Thread-safe.
class RulesPeers {
 public:
  RulesPeers(boost::asio::io_context& context,
             const std::vector<std::string>& entries,
             std::chrono::milliseconds interval,
             messages::Hello hello,
             RulesFollower& follower);

  void Start();
  void Stop();

  std::vector<EntryView> Entries() const;

 private:
  void OnFrame(const std::string& entry,
               const std::shared_ptr<Connection>& connection,
               const Frame& frame);
  void OnDisconnected(const std::string& entry);
  void ScheduleQuery();

  const std::chrono::milliseconds interval;
  const messages::Hello hello;
  RulesFollower& follower;
  boost::asio::steady_timer timer;
  std::map<std::string, std::shared_ptr<FrameClient>> clients;

  /// Guards `views`; a leaf lock.
  mutable std::mutex mutex;
  std::map<std::string, EntryView> views;
};

}  // namespace crocus

#endif  // ENTRY_RULES_PEERS_H_
