#ifndef FUZZ_ENTRY_NODE_H_
#define FUZZ_ENTRY_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random.h"
#include "LibLedger/append_queue.h"
#include "LibLedger/ledger_reader.h"
#include "LibLedger/partition_owner.h"
#include "LibLedger/rules_ledger.h"
#include "LibPolicy/daemon_actions.h"
#include "event_loop.h"
#include "invariant_checker.h"
#include "virtual_log.h"

namespace crocus {

/// A message from an entry to a daemon; one of the optional fields is set.
struct EntryMessage {
  std::optional<messages::Execute> execute;
  std::optional<messages::Revoke> revoke;
  std::uint64_t correlation = 0;
  std::optional<messages::ConfirmResults> confirm;
  std::optional<messages::RulesPush> rules;
};

/// A simulated entry process: the real ledgers, partition owners and append
/// queues, with a simplified handling of callers.
class EntryNode {
 public:
  /// Sends a message to the named daemon; returns false if there is no
  /// connection.
  using Sender =
      std::function<bool(const std::string& daemon, const EntryMessage&)>;

  EntryNode(EventLoop& loop,
            InvariantChecker& checker,
            VirtualLog& log,
            std::string name,
            std::uint32_t partitions,
            std::uint64_t seed,
            Sender sender);

  void Start();
  void Crash();

  void OnConnected(const std::string& daemon);
  void OnDisconnected(const std::string& daemon);
  void OnMessage(const std::string& daemon, const OutgoingMessage& message);
  void OnHeartbeat(const std::string& name, std::uint64_t incarnation);

  void Submit(const std::string& job,
              const std::vector<InvariantChecker::Item>& items);
  void Cancel(const std::string& job);
  /// Starts an online request with a random timeout. A failed attempt is
  /// retried before the deadline if it did not run or if the request is
  /// repeatable.
  void RunOnlineRequest(const std::string& request, bool is_repeatable);

  NodeState& node_state() { return this->state; }
  const std::string& name() const { return this->own_name; }
  std::uint64_t rules_version() const { return this->rules->version(); }

 private:
  struct Partition {
    std::uint32_t number = 0;
    LedgerReader reader;
    PartitionOwner owner;
    AppendQueue queue;
    bool is_writing = false;
    bool is_reading = false;
    bool is_log_available = true;
    TimePoint next_read{};
    /// Token of the queued claim.
    std::optional<std::uint64_t> claim_token;
    /// Called with the offset once an entry of the queue is written, by token.
    std::map<std::uint64_t, std::function<void(std::uint64_t)>> callbacks;
    std::uint64_t bytes_since_snapshot = 0;
    /// Epoch for which a release was queued last.
    std::uint64_t released_epoch = 0;
  };
  /// A submitted or cancelled job whose caller receives an acknowledgement once
  /// replay has passed the offset.
  struct PendingAcknowledgement {
    std::uint64_t offset = 0;
    std::string job;
    bool is_cancel = false;
  };
  struct DaemonView {
    std::vector<messages::ReplicaLoad> replicas;
  };
  /// An online request and the state of its current attempt.
  struct OnlineRequest {
    std::string request;
    std::string prompt;
    std::uint32_t tokens = 0;
    bool is_repeatable = true;
    TimePoint deadline{};
    std::string daemon;
    std::string text;
    std::uint32_t received = 0;
    bool is_revoked = false;
  };

  void Tick();
  void ReadPartition(Partition& partition);
  /// Carries out the next step of the partition's append queue.
  void RunAppendQueue(Partition& partition);
  std::vector<PeerView> PeerViews() const;
  void Claim(Partition& partition);
  void HandOver(Partition& partition);
  void Dispatch(Partition& partition);
  void SendItem(Partition& partition, const ItemDispatch& dispatch);
  void WriteOutput(Partition& partition);
  void WriteSnapshot(Partition& partition);
  /// Acknowledges the jobs and cancels whose offset replay has passed.
  void AcknowledgeCallers(Partition& partition);
  /// Queues a record and returns its token; returns nothing if the queue is
  /// full.
  std::optional<std::uint64_t> Add(
      Partition& partition,
      records::Envelope envelope,
      std::function<void(std::uint64_t)> on_written = {});
  std::vector<ReplicaCapacity> MakeReplicaCapacities() const;
  void OnAttemptDone(const messages::AttemptDone& done);
  /// Sends the request to a random replica. Drops it if its deadline has passed
  /// or no replica is available.
  void StartOnlineAttempt(OnlineRequest call);
  /// Revokes the attempts of online requests whose deadline has passed.
  void RevokeExpiredRequests();
  void ReadRules();

  EventLoop& loop;
  InvariantChecker& checker;
  VirtualLog& log;
  const std::string own_name;
  const std::uint32_t partition_count;
  Random random;
  Sender sender;
  NodeState state;
  std::uint64_t next_token = 1;
  std::uint64_t next_attempt = 1;
  std::uint64_t next_correlation = 1;

  std::vector<std::unique_ptr<Partition>> partitions;
  /// Deadline of the current handover; one partition at a time is handed over.
  TimePoint hand_over_deadline{};
  std::vector<PendingAcknowledgement> pending_acknowledgements;
  std::map<std::string, PeerView> peers;
  std::map<std::string, DaemonView> daemons;
  /// Where a batch attempt was sent, and the partition of its item.
  struct BatchAttempt {
    std::string daemon;
    std::string replica;
    std::uint32_t partition = 0;
    bool is_isolated = false;
  };
  std::map<std::string, BatchAttempt> batch_attempts;
  /// Request id of each batch attempt.
  std::map<std::string, std::string> attempt_requests;
  /// Online requests by the id of their current attempt.
  std::map<std::string, OnlineRequest> online_requests;
  /// Attempts whose revoke has no reply yet, by correlation.
  std::map<std::uint64_t, std::string> pending_revokes;
  std::unique_ptr<RulesLedger> rules;
  bool is_reading_rules = false;
  TimePoint next_rules_read{};
};

}  // namespace crocus

#endif  // FUZZ_ENTRY_NODE_H_
