#ifndef GATEWAY_BATCH_SERVICE_H_
#define GATEWAY_BATCH_SERVICE_H_

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/batch_runner.h"
#include "Gateway/batch_writer.h"
#include "Gateway/keyed_follower.h"
#include "LibAsyncHttp/server_session.h"
#include "LibServing/batch_job_table.h"
#include "platform/batch_wire.h"
#include "platform/store_client.h"

namespace crocus {

struct BatchServiceOptions {
  std::string host_name;
  std::uint32_t partitions = 12;
  std::uint64_t record_bytes = 262144;
  std::uint64_t call_bytes = 2097152;
  Duration member_life = std::chrono::milliseconds(3000);
  Duration result_life = std::chrono::seconds(120);
  /// Age up to which the board is taken to be current.
  Duration current_window = std::chrono::milliseconds(1000);
  /// Address that this host's peers send reports to.
  std::string peer_address;
  std::function<void(const std::string&)> on_peer;
};

/// The batch interface to callers, over the jobs in the store.
class BatchService {
 public:
  BatchService(ForwardingContext& context,
               platform::StoreClient& store,
               const PeerItems& peer_items,
               ConfigSource config,
               BatchServiceOptions options);

  void Start();
  /// Hands the jobs of this host to others; items that run go on.
  void Stop();

  void HandleSubmission(const std::shared_ptr<ServerSession>& session,
                        const Request& request,
                        const Route& route);
  void HandleCall(const std::shared_ptr<ServerSession>& session,
                  const platform::BatchCall& call);

  BatchRunner& runner() { return this->batch_runner; }
  std::size_t unwritten() const { return this->writer.unwritten(); }

 private:
  /// A read that waits for results.
  struct Waiter {
    std::shared_ptr<ServerSession> session;
    platform::BatchCall call;
    TimePoint deadline{};
  };
  using Waiters = std::list<std::shared_ptr<Waiter>>;

  void OnRecord(const KeyedRecord& record);
  void AnnouncePeer();
  void Submit(const std::shared_ptr<ServerSession>& session,
              records::BatchJobAccepted job,
              std::vector<platform::SubmittedItem> items,
              std::uint64_t limit);
  void FinishSubmission(const std::shared_ptr<ServerSession>& session,
                        const records::BatchJobAccepted& job,
                        std::size_t items,
                        std::uint32_t status,
                        const std::string& outcome,
                        std::uint64_t tokens);
  /// Answers the call if the job is known; false if it is not.
  bool AnswerCall(const std::shared_ptr<ServerSession>& session,
                  const platform::BatchCall& call);
  void AnswerRead(const std::shared_ptr<ServerSession>& session,
                  const platform::BatchCall& call,
                  const BatchJobEntry& job);
  void AnswerBody(const std::shared_ptr<ServerSession>& session,
                  const platform::BatchCall& call,
                  const BatchJobEntry& job);
  void EndJob(const std::shared_ptr<ServerSession>& session,
              const platform::BatchCall& call);
  void RefuseUnsure(const std::shared_ptr<ServerSession>& session,
                    const platform::BatchCall& call);
  /// Answers the waiting reads of a job that has new results.
  void AnswerWaiters(const std::string& job);
  /// Answers the reads whose wait is over, and looks again soon.
  void AnswerDueWaiters();
  void ScheduleDueWaiters();
  bool is_current() const;
  /// False while the store answers and this host is still behind, as after its
  /// start: jobs may have been ended meanwhile. With the store away, no caller
  /// can end a job, and the host goes on with what it knows.
  bool may_start_items() const;
  void JoinGroup();
  void ScheduleJoin();
  void DropExpiredJobs();

  platform::StoreClient& store;
  const ConfigSource config;
  const BatchServiceOptions options;
  BatchJobTable job_table;
  BatchWriter writer;
  BatchRunner batch_runner;
  KeyedFollower follower;
  boost::asio::steady_timer join_timer;
  boost::asio::steady_timer wait_timer;
  GroupMembership membership;
  TimePoint joined{};
  bool is_join_failing = false;
  /// Tokens of submissions whose append is under way, by route.
  std::map<std::string, std::uint64_t> reserved_tokens;
  std::set<std::string> submitting;
  std::map<std::string, Waiters> waiters;
  std::set<std::string> announced_peers;
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_SERVICE_H_
