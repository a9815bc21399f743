#ifndef ENTRY_RULES_FOLLOWER_H_
#define ENTRY_RULES_FOLLOWER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "LibCore/time.h"
#include "LibLedger/rules_ledger.h"
#include "LibMessages/messages.h"
#include "LibPlatform/http_log_client.h"
#include "LibRules/rule_set.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Follows the rules in the log and at peers, and keeps the highest version
/// that it has received from either. Thread-safe.
class RulesFollower {
 public:
  /// `on_change` is called with every new version, in ascending order.
  RulesFollower(const EntrySettings& settings,
                std::function<void(const messages::RulesPush&)> on_change);
  ~RulesFollower();

  void Start();
  void Stop();

  /// Rules in force; empty and with version 0 until some were received. Callers
  /// hold the pointer for the duration of one decision.
  std::shared_ptr<const RuleSet> Current() const;
  std::uint64_t version() const { return this->Current()->version; }

  /// Version and text of the rules in force, as sent to other processes.
  messages::RulesPush CurrentRulesPush() const;

  /// Handles the rules that a peer has sent. A message without text only
  /// reports the peer's version.
  void OnPeerRules(const std::string& peer, const messages::RulesPush& push);

  /// False while the settings require rules and none are in force.
  bool is_ready() const;

  /// False from the first failed read of the log until one succeeds.
  bool is_log_available() const;

 private:
  void Run();
  void FollowLog();
  /// Writes the rules in force to the log again if that is due.
  void CarryForward();
  /// Puts the rules into force if their version is higher than the current one.
  void Activate(const messages::RulesPush& push,
                const std::shared_ptr<const RuleSet>& rules);
  void SetLogAvailable(bool is_available, const std::string& reason);

  const EntrySettings settings;
  const std::function<void(const messages::RulesPush&)> on_change;
  HttpLogClient log;

  // Used by the thread only.
  RulesLedger ledger;
  bool has_started_ledger = false;
  bool is_unknown_state_logged = false;
  std::uint64_t last_carried_offset = 0;
  TimePoint last_carry;

  /// Held while `on_change` runs, so that versions arrive in order. Taken
  /// before `mutex`.
  std::mutex change_mutex;
  /// Guards what follows; a leaf lock.
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::shared_ptr<const RuleSet> rules;
  std::string text;
  bool log_available = true;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace crocus

#endif  // ENTRY_RULES_FOLLOWER_H_
