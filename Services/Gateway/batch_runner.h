#ifndef GATEWAY_BATCH_RUNNER_H_
#define GATEWAY_BATCH_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/batch_writer.h"
#include "Gateway/forwarding_context.h"
#include "Gateway/replica_attempt.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/batch_queue.h"
#include "LibServing/event_stream_parser.h"
#include "LibServing/routing_config.h"

namespace crocus {

using ConfigSource = std::function<std::shared_ptr<const RoutingConfig>()>;

/// Runs the open items of the jobs that the store has dealt to this host, in
/// the slots that online requests leave free.
class BatchRunner {
 public:
  BatchRunner(ForwardingContext& context,
              const BatchJobTable& job_table,
              const PeerItems& peer_items,
              BatchWriter& writer,
              ConfigSource config,
              std::function<bool()> may_start);

  void Start();
  /// Starts no further items.
  void StopStarting() { this->is_stopping = true; }
  /// Ends all runs and records their progress.
  void StopRuns();

  void SetPartitions(std::set<std::uint32_t> partitions, std::uint32_t count);

  /// Starts at most one item at each replica with room. More would be started
  /// by several hosts before they hear of each other.
  void StartItems();

  /// Ends runs where online requests need the slots, and those of jobs that
  /// have ended.
  void ShedRuns();

  /// Hashes of the items that run.
  std::vector<std::uint64_t> OwnItems() const;

  /// When the most urgent item is due that waits for a slot, in ms since the
  /// Unix epoch; 0 without one.
  std::int64_t waiting_due() const { return this->waiting_due_ms; }

  /// True if the job is dealt to this host.
  bool OwnsJob(const std::string& job) const {
    return this->queue.OwnsJob(job);
  }

  std::size_t running() const { return this->runs.size(); }

 private:
  struct Run {
    std::shared_ptr<ReplicaAttempt> attempt;
    EventStreamParser stream;
    std::uint32_t status = 0;
    bool is_usable = false;
    /// False once an event's number did not follow the one before.
    bool is_in_order = true;
    TimePoint last_bytes{};
  };

  void Tick();
  /// Makes room for an item that can be in time.
  void StopLateRun(const RoutingConfig& current,
                   std::int64_t unix_milliseconds);
  void StartItem(const ItemReference& item,
                 const Route& route,
                 const PlacementChoice& choice);
  void OnBody(const ItemReference& item, std::string_view bytes);
  void OnEnd(const ItemReference& item, const AttemptEnd& end);
  /// Ends a run whose item goes on later.
  void StopRun(const ItemReference& item, const std::string& reason);
  void FinishItem(const ItemReference& item, bool is_completed);
  void GiveUpOverdueItems();
  /// Takes over what another host has recorded, if it is further.
  void AdoptProgress(const ItemReference& item);
  /// Records progress that is much further than the last record.
  void RecordProgress(TimePoint now);
  void RecordProgressOf(const ItemReference& item, TimePoint now);

  ForwardingContext& context;
  const BatchJobTable& job_table;
  const PeerItems& peer_items;
  BatchWriter& writer;
  const ConfigSource config;
  /// Whether the board is current enough to start items by it.
  const std::function<bool()> may_start;
  BatchQueue queue;
  boost::asio::steady_timer timer;
  std::map<ItemReference, Run> runs;
  std::int64_t waiting_due_ms = 0;
  bool is_stopping = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_RUNNER_H_
