#ifndef LIBLEDGER_COMMAND_LEDGER_H_
#define LIBLEDGER_COMMAND_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibLedger/log_client.h"
#include "LibMessages/messages.h"
#include "LibMessages/records.h"

namespace crocus {

/// Log stream of engine commands and of daemon registrations.
inline constexpr char kCommandStream[] = "orders";

/// Replay of the stream `orders`. The first registration of a daemon
/// incarnation fixes the fencing floor of each of its replicas: the offset of
/// the newest command to the replica before that registration. Not thread-safe.
class CommandLedger {
 public:
  /// Applies a page that was read from next_offset().
  void Apply(const LogPage& page);

  std::uint64_t next_offset() const { return this->next; }

  /// Returns the fencing floors of a registered incarnation, or nothing if it
  /// is not registered.
  std::optional<std::vector<messages::ReplicaFloor>> FindFloors(
      std::uint64_t incarnation) const;

  /// Returns the offset of a command by the id of its append, if it is among
  /// the newest appends.
  std::optional<std::uint64_t> FindCommand(const std::string& append_id) const;

 private:
  /// Number of appends whose offsets are kept, for writers that did not receive
  /// the reply to an append.
  static constexpr std::size_t kMaximumTrackedAppends = 1024;

  void ApplyRecord(const LogRecord& record);
  void Register(const records::DaemonRegistered& registered);
  void TrackAppend(const std::string& id, std::uint64_t offset);

  std::uint64_t next = 1;
  /// Commands up to this offset may have been trimmed before they were read.
  std::uint64_t unread_through = 0;
  /// Offset of the newest command to each replica.
  std::map<std::string, std::uint64_t> highest_command;
  std::map<std::uint64_t, std::vector<messages::ReplicaFloor>> floors;
  std::map<std::string, std::uint64_t> appends;
  std::deque<std::string> append_order;
};

}  // namespace crocus

#endif  // LIBLEDGER_COMMAND_LEDGER_H_
