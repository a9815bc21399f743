#ifndef GATEWAY_FORWARDED_REQUEST_H_
#define GATEWAY_FORWARDED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/forwarding_context.h"
#include "Gateway/replica_attempt.h"
#include "LibAsyncHttp/server_session.h"
#include "LibServing/attempt_policy.h"
#include "LibServing/event_stream_parser.h"
#include "LibServing/retry_schedule.h"
#include "LibServing/routing_config.h"
#include "LibServing/stream_progress.h"

namespace crocus {

struct ForwardedRequestOptions {
  std::shared_ptr<ServerSession> session;
  Request request;
  /// Keeps `route` alive while the configuration changes.
  std::shared_ptr<const RoutingConfig> config;
  const Route* route = nullptr;
  /// The caller's workspace in `config`; null for an anonymous caller.
  const Workspace* workspace = nullptr;
  /// The workspace's priority, or the route's; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// When the allotment of the workspace counted the request; none if it did
  /// not.
  std::optional<TimePoint> counted;
  /// Drawn by the weights of the route's endpoints.
  std::string endpoint;
};

/// One online request from its arrival to its final response.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(ForwardingContext& context, ForwardedRequestOptions options);

  void Start();

 private:
  /// Identifies the request over all of its attempts.
  WorkId work_id() const;
  /// Whether the complete response may be passed on as the replica's answer.
  bool IsAnswer() const;
  void TryReplica();
  /// Refuses the request if it would wait too long at the replica chosen for
  /// it. Returns false if it may be sent.
  bool RefuseWithoutCapacity(const PlacementChoice& chosen, TimePoint now);
  void Send(const PlacementChoice& choice);
  void OnHead(const ResponseHead& head,
              const ReplicaResponseMetadata& response_metadata);
  void OnBody(std::string_view bytes);
  /// Collects bytes of a response that is passed on as a whole.
  void CollectBody(std::string_view bytes);
  void ClearCollectedBody();
  /// Passes the collected body on without a further copy.
  void SendCollectedBody();
  /// Ends the attempt because of bytes that the replica has sent.
  void EndMalformedAttempt(const std::string& reason);
  void OnEnd(const AttemptEnd& end);
  void OnCompleteResponse();
  void HandleFailedAttempt(const AttemptEnd& end);
  /// Whether the response may continue the stream that the caller has part of.
  bool ContinuesStream(const ResponseHead& response) const;
  /// Forwards the events that the caller does not have yet.
  void ForwardEvents(std::string_view bytes);
  void OnDeadline();
  void OnCallerDisconnected();

  void Refuse(const std::string& reason, Duration retry_after);
  /// Takes the request out of its workspace's allotment if it was not sent to
  /// any replica, so that its retry does not count as a second request. Returns
  /// true if it did.
  bool UndoAllotment();
  void Fail(std::uint32_t status, const std::string& reason);
  void Finish(const std::string& outcome,
              std::uint32_t status,
              Verdict verdict);

  bool is_stream() const;
  /// Whether refused callers are given times at which capacity is expected.
  bool PlansRetries() const;
  AttemptHistory history() const;
  /// Name of the caller's workspace; empty if there is none.
  std::string workspace_name() const;

  ForwardingContext& context;
  ForwardedRequestOptions options;
  const RequestMetadata metadata;
  /// Ids of the prompt's parts that other requests may share.
  const std::vector<std::string> shared_parts;
  const TimePoint arrival;
  TimePoint deadline{};
  boost::asio::steady_timer timer;
  std::shared_ptr<ReplicaAttempt> attempt;
  std::optional<PlacementChoice> choice;
  /// Expected cost of the request, as estimated for the current attempt.
  WorkEstimate cost;
  std::set<std::string> tried_replicas;
  /// Ended attempts that may have run, and those that certainly did not.
  std::uint32_t runs = 0;
  std::uint32_t refusals = 0;
  /// Head of the response to the current attempt.
  ResponseHead head;
  /// Body of that response, unless its events are forwarded as they arrive.
  std::string buffered_body;
  /// True if that response is a success and signed by the replica.
  bool is_usable = false;
  /// The response of the current attempt has the status of a refusal that its
  /// replica has not declared.
  bool is_undeclared_refusal = false;
  EventStreamParser event_parser;
  StreamProgress stream;
  /// Media type of the response that has begun the stream.
  std::string stream_media_type;
  /// Body bytes of that response.
  std::uint64_t received_bytes = 0;
  bool has_response_begun = false;
  bool is_finished = false;
  std::optional<Duration> time_to_first_token;
  /// The decision on when the refused caller should retry.
  std::optional<RetryTime> retry_time;
};

}  // namespace crocus

#endif  // GATEWAY_FORWARDED_REQUEST_H_
