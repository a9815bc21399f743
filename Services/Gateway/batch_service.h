#ifndef GATEWAY_BATCH_SERVICE_H_
#define GATEWAY_BATCH_SERVICE_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/batch_data_reader.h"
#include "Gateway/batch_runner.h"
#include "Gateway/batch_writer.h"
#include "Gateway/keyed_follower.h"
#include "LibAsyncHttp/server_session.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/token_limit.h"
#include "platform/batch_wire.h"
#include "platform/store_client.h"

namespace crocus {

struct BatchServiceOptions {
  std::string host_name;
  std::uint32_t partitions = 12;
  /// The store's limits on the size of a record and of all records of an
  /// append.
  std::uint64_t record_bytes = 262144;
  std::uint64_t call_bytes = 2097152;
  Duration member_lifetime = std::chrono::milliseconds(3000);
  Duration result_retention = std::chrono::seconds(120);
  /// Greatest age at which the job table counts as current, apart from the time
  /// for which a read waits for records.
  Duration maximum_job_table_age = std::chrono::milliseconds(1000);
  /// Address that this host's peers send reports to.
  std::string peer_address;
  /// Zone of this host, which its peers learn with the address.
  std::string availability_zone;
  /// Receives each address of a gateway that the store's records contain.
  std::function<void(const std::string&, const std::string&)> on_peer;
};

/// The sender of a call on a batch job.
struct BatchCaller {
  /// Name of its workspace; empty if it has none.
  std::string workspace;
  /// False if no host accepts jobs of such callers now. All of them are in a
  /// current job table, so that a call on another one costs no read of the
  /// store.
  bool may_have_new_jobs = true;
  /// Responds to a call on a job that does not exist.
  std::function<void()> on_unknown_job;
};

/// Serves the callers' batch requests from the jobs in the store, and runs the
/// jobs whose partitions the store assigns to this host.
class BatchService {
 public:
  BatchService(ForwardingContext& context,
               platform::StoreClient& store,
               const PeerItems& peer_items,
               ConfigSource config,
               BatchServiceOptions options);

  void Start();
  /// Leaves the group, so that the store assigns this host's partitions to
  /// other hosts. No further items are started; running items continue.
  void Stop();

  /// `workspace` is the caller's, as in platform::ForwardOptions.
  void HandleSubmission(const std::shared_ptr<ServerSession>& session,
                        const Request& request,
                        const Route& route,
                        const std::optional<std::string>& workspace);
  /// Serves a call on a job of the workspace, or on one without a workspace if
  /// it is empty.
  void HandleCall(const std::shared_ptr<ServerSession>& session,
                  platform::BatchCall call,
                  const BatchCaller& caller);

  /// The figures by which a job of so many tokens is decided on.
  TokenRequest DescribeTokens(const std::string& route,
                              const std::string& workspace,
                              std::uint64_t limit,
                              std::uint64_t tokens) const;
  std::uint32_t PartitionOf(const std::string& identity) const {
    return PartitionOfJob(identity, this->options.partitions);
  }

  BatchRunner& runner() { return this->batch_runner; }
  const BatchRunner& runner() const { return this->batch_runner; }
  std::size_t unwritten() const { return this->writer.unwritten(); }

 private:
  /// A read that waits for new results.
  struct PendingRead {
    std::shared_ptr<ServerSession> session;
    platform::BatchCall call;
    TimePoint deadline{};
  };
  using PendingReads = std::list<std::shared_ptr<PendingRead>>;

  /// A submission that is being decided on, without its items.
  struct Submission {
    /// Its tag is set when the submission is appended.
    records::BatchJobAccepted job;
    std::string workspace;
    /// Limit of the workspace's waiting tokens on the route; 0 is no limit.
    std::uint64_t token_limit = 0;
    std::size_t items = 0;
    std::uint64_t tokens = 0;
    /// Until when the caller waits.
    TimePoint deadline{};
  };

  /// A submission that is being appended.
  struct PendingSubmission {
    std::shared_ptr<ServerSession> session;
    Submission submission;
    std::vector<platform::SubmittedItem> items;
    /// When the reservation of its tokens was sent; none if it has none.
    std::optional<TimePoint> reserved_at;
    /// Whether `reserved_tokens` contains its tokens.
    bool holds_tokens = true;

    std::string ReservationKey() const;
    /// Until when the reservation is appended and read.
    TimePoint DecisionDeadline() const;
  };

  void OnRecord(const KeyedRecord& record);
  void AnnounceOwnAddress();
  void Submit(const std::shared_ptr<ServerSession>& session,
              Submission submission,
              std::vector<platform::SubmittedItem> items);
  /// Appends a reservation of the submission's tokens, then decides.
  void Reserve(const std::shared_ptr<PendingSubmission>& pending);
  /// Accepts or refuses a submission by its reservation, once this host has
  /// read it.
  void DecideOnReservation(const std::shared_ptr<PendingSubmission>& pending);
  /// Refuses a submission whose job is not and will not be in the store, and
  /// deletes its reservation.
  void RefuseReserved(const std::shared_ptr<PendingSubmission>& pending,
                      std::uint32_t status,
                      const std::string& outcome);
  void AppendSubmission(const std::shared_ptr<PendingSubmission>& pending);
  /// The submission's tokens no longer count as being appended.
  void ReleaseTokens(PendingSubmission& pending);
  void FinishPending(PendingSubmission& pending,
                     std::uint32_t status,
                     const std::string& outcome);
  void FinishSubmission(const std::shared_ptr<ServerSession>& session,
                        const Submission& submission,
                        std::uint32_t status,
                        const std::string& outcome);
  /// Responds to the call; false if the job table does not contain the job.
  bool RespondToCall(const std::shared_ptr<ServerSession>& session,
                     const platform::BatchCall& call);
  void RespondToRead(const std::shared_ptr<ServerSession>& session,
                     const platform::BatchCall& call,
                     const BatchJobEntry& job);
  /// Responds with the results from the call's position on. Their texts are
  /// read from the store unless they are at hand.
  void RespondWithResults(const std::shared_ptr<ServerSession>& session,
                          const platform::BatchCall& call,
                          const BatchJobEntry& job);
  void RespondWithBody(const std::shared_ptr<ServerSession>& session,
                       const platform::BatchCall& call,
                       const BatchJobEntry& job);
  void EndJob(const std::shared_ptr<ServerSession>& session,
              const platform::BatchCall& call,
              const BatchCaller& caller);
  /// Reads to the present end of the topic, and passes on whether this has
  /// succeeded, unless the caller cannot have a job that it would show.
  void CatchUpFor(const BatchCaller& caller, std::function<void(bool)> on_done);
  /// Responds with status 503, because the store is unavailable and the job
  /// table may be outdated.
  void RespondUnavailable(const std::shared_ptr<ServerSession>& session,
                          const platform::BatchCall& call);
  /// Responds to the pending reads of the job that have new results.
  void RespondToPendingReads(const std::string& job);
  /// Responds to the pending reads whose wait is over.
  void RespondToExpiredReads();
  void SchedulePendingReadCheck();
  bool is_job_table_current() const;
  /// False before the first read that reaches the end of the topic. Also false
  /// while the store is available but the last such read is too old, since jobs
  /// may have been ended after it. While the store is unavailable no caller can
  /// end a job, so items are started from the job table as it is.
  bool may_start_items() const;
  void JoinGroup();
  void ScheduleJoin();
  void DeleteExpiredJobs();
  /// Deletes the reservations of submissions that ended without a job's record.
  void DeleteExpiredReservations();
  /// Takes over the partitions that the store has assigned to this host. Jobs
  /// of a new one run once its recorded progress has been read.
  void TakePartitions(const std::set<std::uint32_t>& assigned);
  void LoadProgress(std::uint32_t partition,
                    const std::string& after_key,
                    TimePoint give_up_at);
  void OnProgressLoaded(std::uint32_t partition);

  boost::asio::io_context& loop;
  platform::StoreClient& store;
  const ConfigSource config;
  const BatchServiceOptions options;
  BatchJobTable job_table;
  BatchWriter writer;
  BatchDataReader data_reader;
  BatchRunner batch_runner;
  KeyedFollower follower;
  boost::asio::steady_timer join_timer;
  boost::asio::steady_timer pending_read_timer;
  GroupMembership membership;
  /// Partitions that the store has assigned to this host, and those of them
  /// whose recorded progress has been read.
  std::set<std::uint32_t> assigned_partitions;
  std::set<std::uint32_t> loaded_partitions;
  TimePoint last_join{};
  bool is_join_failing = false;
  /// Tokens of submissions that are being appended and whose reservations, if
  /// they have any, have not been read, by workspace and route.
  std::map<std::pair<std::string, std::string>, std::uint64_t> reserved_tokens;
  /// Jobs whose submission is being appended.
  std::set<std::string> submitting_jobs;
  /// By job.
  std::map<std::string, PendingReads> pending_reads;
  /// Values of the records of the hosts' peer addresses, by address.
  std::map<std::string, std::string> announced_peers;
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_SERVICE_H_
