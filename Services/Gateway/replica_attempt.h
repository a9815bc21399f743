#ifndef GATEWAY_REPLICA_ATTEMPT_H_
#define GATEWAY_REPLICA_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/forwarding_context.h"
#include "LibAsyncHttp/exchange.h"
#include "LibCore/result.h"
#include "LibServing/replica_loads.h"
#include "LibServing/request_metadata.h"

namespace crocus {

/// How an attempt at a replica ended.
struct AttemptEnd {
  ExchangeEnd end = ExchangeEnd::kComplete;
  /// Whether the replica may have run the request.
  Verdict verdict = Verdict::kRan;
  /// Describes a failure or refusal; empty after other complete responses.
  std::string reason;
  /// What a failure is attributed to.
  FailureCause cause = FailureCause::kOpen;
};

struct AttemptOptions {
  std::string replica;
  std::string address;
  std::string attempt_id;
  /// The request or item over all of its attempts.
  WorkId work_id = 0;
  WorkClass work = WorkClass::kOnline;
  /// Expected cost of the request.
  WorkEstimate cost;
  /// True if this host has sent the request to the replica before. A response
  /// to the earlier attempt has the same id, so a new connection is used.
  bool is_repeated = false;
  /// Ids of the prompt's parts that other requests may share.
  std::vector<std::string> shared_parts;
  RequestHead head;
  std::string body;
  /// Receives the head of a response that may be used. Mismatched responses,
  /// and those which declare that the request was not run, are not passed to
  /// it.
  std::function<void(const ResponseHead&, const ReplicaResponseMetadata&)>
      on_head;
  std::function<void(std::string_view)> on_body;
  /// Optional. Whether the body that has ended is complete, asked if its
  /// framing does not say otherwise. The argument is true if the body ended
  /// with its connection.
  std::function<bool(bool ends_with_connection)> is_body_complete;
  /// Whether the complete response is of use, asked at its end.
  std::function<bool()> is_usable;
  /// Called once, unless the attempt is cancelled.
  std::function<void(const AttemptEnd&)> on_end;
};

/// One request at one replica. ForwardingContext::loads counts it from its
/// start until it ends or is cancelled.
class ReplicaAttempt : public std::enable_shared_from_this<ReplicaAttempt> {
 public:
  ReplicaAttempt(ForwardingContext& context, AttemptOptions options);
  ~ReplicaAttempt();

  void Start();
  /// Closes the connection, so that the replica stops the request.
  void Cancel();

  /// While paused, no further bytes of the response are read.
  void set_paused(bool paused);

  /// Attributes the failure of an attempt that its owner cancels. `reason` is
  /// for logs.
  FailureCause OnFailure(FailureKind kind, const std::string& reason);

  /// The response has brought so many further events.
  void OnEvents(std::uint64_t count);
  std::uint64_t events() const { return this->event_count; }
  /// From the start to the first event; zero before it.
  Duration time_to_first_event() const { return this->first_event_time; }

  const std::string& replica() const { return this->options.replica; }
  TimePoint started() const { return this->start_time; }

 private:
  HeadDecision OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  /// The replica says that it leaves: it gets no further requests.
  void OnLeaving();
  void OnExchangeEnd(ExchangeEnd end, const std::string& reason);
  void Release();
  /// What ForwardingContext::work counts for this attempt.
  WorkLeft Left() const;

  ForwardingContext& context;
  AttemptOptions options;
  std::shared_ptr<ClientConnection> connection;
  TimePoint start_time{};
  WorkRun run;
  /// The boot of the replica at the start of the attempt.
  ReplicaBoot boot;
  boost::asio::ip::tcp::endpoint endpoint;
  bool ends_with_connection = false;
  bool is_success = false;
  /// When the first bytes of the body were received.
  std::optional<TimePoint> body_started;
  bool is_noted_as_served = false;
  /// Set if the response declares that the request was not run; else empty.
  std::string refusal_reason;
  std::size_t refusal_bytes = 0;
  /// True while `loads` counts this attempt.
  bool is_counted = false;
  bool is_ended = false;
  std::uint64_t event_count = 0;
  Duration first_event_time{};
  /// Start of the time that the next observation of the replica's speed covers,
  /// and the events since. Not set before the first event and while paused.
  std::optional<TimePoint> pace_start;
  std::uint64_t pace_events = 0;
};

}  // namespace crocus

#endif  // GATEWAY_REPLICA_ATTEMPT_H_
