#ifndef ENTRY_ONLINE_REQUESTS_H_
#define ENTRY_ONLINE_REQUESTS_H_

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

/// Serves online requests from callers. A request is admitted, gets an intent
/// in the log if it must run once, and is then run by RequestRun; its result is
/// written to the log. A resent keyed request attaches to the one that runs
/// here, or waits for the result of the one that runs elsewhere.
class OnlineRequests {
 public:
  OnlineRequests(const EntrySettings& settings,
                 std::uint64_t incarnation,
                 boost::asio::io_context& context,
                 DaemonConnections& daemon_connections);

  void Start();
  /// Waits until no request runs, at most `limit`. False if some still run.
  bool WaitUntilIdle(Duration limit);
  /// Writes results that are held for at most `limit`, then stops.
  void Stop(Duration limit);

  void SetRules(std::shared_ptr<const RuleSet> rules);

  /// POST /v1/requests
  HttpResponse Handle(const HttpRequest& request);
  /// GET /v1/results/:id
  HttpResponse Result(const HttpRequest& request);
  /// GET /metrics
  HttpResponse Metrics() const;

  /// A daemon offers results that nobody has confirmed.
  void OnOffer(const std::string& daemon, const messages::OfferResults& offer);

 private:
  class CallerRegistration;

  struct FindOrCreateResult {
    std::shared_ptr<CallerRegistration> caller;
    bool is_new = false;
  };

  FindOrCreateResult FindOrCreate(OnlineRequest request, TimePoint now);
  /// Everything before the dispatch. Returns the outcome if there is one
  /// already; otherwise the run may start.
  std::optional<RunOutcome> Prepare(const RequestRun& run,
                                    const HttpRequest& http_request);
  std::optional<RunOutcome> FindEarlierOutcome(const RequestRun& run,
                                               const HttpRequest& http_request);
  std::optional<RunOutcome> WaitForOwner(const RequestRun& run,
                                         const HttpRequest& http_request,
                                         TimePoint limit);
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

  /// Guards what follows. Taken before the lock of a run.
  mutable std::mutex mutex;
  Admission admission;
  std::set<const RequestRun*> admitted;
  std::map<std::string, std::shared_ptr<RequestRun>> running;
};

}  // namespace crocus

#endif  // ENTRY_ONLINE_REQUESTS_H_
