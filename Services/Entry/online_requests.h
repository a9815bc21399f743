#ifndef ENTRY_ONLINE_REQUESTS_H_
#define ENTRY_ONLINE_REQUESTS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Entry/daemon_connections.h"
#include "Entry/request_log.h"
#include "Entry/request_run.h"
#include "Entry/route_planner.h"
#include "LibHttp/http_message.h"
#include "LibMetrics/request_metrics.h"
#include "LibPolicy/admission.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Serves online requests of callers. A request passes admission; if it must
/// not run twice, an intent is written to the log; then RequestRun executes it,
/// and its result is written to the log. A request that is sent again with the
/// same idempotency key attaches to the run at this entry, or waits for the
/// result of the run at another entry.
class OnlineRequests {
 public:
  OnlineRequests(const EntrySettings& settings,
                 std::uint64_t incarnation,
                 boost::asio::io_context& context,
                 DaemonConnections& daemon_connections);

  void Start();
  /// Sets when the process ends. From now on, requests that may last longer are
  /// refused: passed on, they could be cut off.
  void SetProcessEnd(TimePoint end);
  /// Waits until no request is running. Returns false if some are still running
  /// after `timeout`.
  bool WaitUntilIdle(Duration timeout);
  /// Waits up to `timeout` until held results are written, then stops.
  void Stop(Duration timeout);

  void SetRules(std::shared_ptr<const RuleSet> rules);

  /// POST /v1/requests
  HttpResponse Handle(const HttpRequest& request);
  /// GET /v1/results/:id
  HttpResponse GetResult(const HttpRequest& request);
  /// GET /metrics
  HttpResponse Metrics() const;

  /// Handles results that a daemon holds because no entry has confirmed them.
  void OnOffer(const std::string& daemon, const messages::OfferResults& offer);

 private:
  class CallerRegistration;

  struct FindOrCreateResult {
    std::shared_ptr<CallerRegistration> caller;
    bool is_new = false;
  };

  FindOrCreateResult FindOrCreate(OnlineRequest request, TimePoint now);
  /// Performs the steps before the dispatch: lookup of an earlier outcome,
  /// admission and the intent. Returns an outcome if the request ends with it;
  /// otherwise the run may start.
  std::optional<RunOutcome> Prepare(const RequestRun& run,
                                    const HttpRequest& http_request);
  std::optional<RunOutcome> FindEarlierOutcome(const RequestRun& run,
                                               const HttpRequest& http_request);
  std::optional<RunOutcome> WaitForOwner(const RequestRun& run,
                                         const HttpRequest& http_request,
                                         TimePoint deadline);
  std::optional<RunOutcome> Admit(const OnlineRequest& request);
  std::optional<RunOutcome> WriteIntent(const RequestRun& run,
                                        const HttpRequest& http_request);
  RunOutcome ReadOutcome(const OnlineRequest& request,
                         const LoggedRequest& logged);
  void ReleaseIntent(const RequestRun& run);

  HttpResponse Respond(const std::shared_ptr<CallerRegistration>& caller,
                       const OnlineRequest& request,
                       const HttpRequest& http_request,
                       TimePoint deadline);
  HttpResponse Stream(const std::shared_ptr<CallerRegistration>& caller,
                      const OnlineRequest& request,
                      const HttpRequest& http_request,
                      TimePoint deadline,
                      std::string first_text,
                      std::size_t position);

  void OnFinished(const std::shared_ptr<RequestRun>& run);
  void WriteOutcome(const RequestRun& run, const RunOutcome& outcome);
  void RecordMetrics(const RequestRun& run, const RunOutcome& outcome);

  const EntrySettings settings;
  const std::uint64_t incarnation;
  DaemonConnections& daemon_connections;
  RoutePlanner planner;
  RequestLog log;
  RequestMetrics metrics;
  RunServices services;

  /// When the process ends; the greatest time while it does not stop.
  std::atomic<TimePoint> process_end{TimePoint::max()};
  /// Guards what follows. Taken before the lock of a run.
  mutable std::mutex mutex;
  Admission admission;
  std::set<const RequestRun*> admitted;
  std::map<std::string, std::shared_ptr<RequestRun>> running;
};

}  // namespace crocus

#endif  // ENTRY_ONLINE_REQUESTS_H_
