#include "Entry/online_requests.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Entry/refusal.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

/// Interval at which a waiting handler checks whether its caller has
/// disconnected.
constexpr std::chrono::milliseconds kCallerPollInterval{100};

constexpr std::chrono::milliseconds kIdlePollInterval{10};
/// Time after which a caller should repeat a request that came too late for
/// this process: another entry takes it at once.
constexpr std::chrono::milliseconds kShutdownRetryAfter{1};

/// Longest time that the lookup of a result waits for the replay.
constexpr std::chrono::milliseconds kLookupTimeout{1000};

/// Longest time that a keyed request waits for the replay to catch up.
constexpr std::chrono::milliseconds kCatchUpTimeout{500};

constexpr std::chrono::milliseconds kLogRetryAfter{2000};

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json CompletionBody(const OnlineRequest& request,
                              const RunOutcome& outcome) {
  return {
      {"id", request.id},
      {"object", "text_completion"},
      {"model", request.model},
      {"choices",
       {{{"index", 0}, {"text", outcome.text}, {"finish_reason", "length"}}}},
      {"usage", {{"completion_tokens", outcome.token_count}}},
      {"verdict", "ran"}};
}

std::string StreamEvent(const OnlineRequest& request, const std::string& text) {
  return "data: " +
         Dump({{"id", request.id},
               {"object", "text_completion"},
               {"choices", {{{"index", 0}, {"text", text}}}}}) +
         "\n\n";
}

std::string StreamError(const Refusal& refusal) {
  return "data: " +
         Dump(
             {{"error", {{"code", refusal.code}, {"message", refusal.message}}},
              {"verdict", ToString(refusal.verdict)}}) +
         "\n\n";
}

RunOutcome RefusedOutcome(Refusal refusal) {
  return {.refusal = std::move(refusal), .text = {}, .token_count = 0};
}

Refusal TimeoutRefusal(Verdict verdict) {
  return {.status = 504,
          .code = "patience_expired",
          .message = "the request did not complete within the caller's timeout",
          .verdict = verdict};
}

Refusal CallerDisconnectedRefusal() {
  return {.status = 499,
          .code = "caller_left",
          .message = "the caller closed the connection",
          .verdict = Verdict::kMayHaveRun};
}

Refusal LogRefusal(const std::string& message, Verdict verdict) {
  return {.status = 503,
          .code = "log_unavailable",
          .message = message,
          .verdict = verdict,
          .retry_after = kLogRetryAfter};
}

Refusal KeyReusedRefusal() {
  return {.status = 409,
          .code = "key_reused",
          .message = "the idempotency key was used for another request"};
}

RunOutcome OutcomeOf(const records::RequestResult& result) {
  if (result.reason.empty()) {
    return {.refusal = std::nullopt,
            .text = result.text,
            .token_count = result.token_count};
  }
  return RefusedOutcome({.status = 422,
                         .code = result.reason,
                         .message = "the request ended without an answer",
                         .verdict = result.verdict});
}

AdmissionRequest AdmissionRequestOf(const OnlineRequest& request) {
  return {.workspace = request.workspace,
          .request_class = request.request_class,
          .model = request.model,
          .max_tokens = request.max_tokens,
          .timeout = request.timeout};
}

HttpResponse ResultResponse(const std::string& id,
                            const records::RequestResult& result) {
  nlohmann::json body = {{"id", id},
                         {"state", "finished"},
                         {"verdict", ToString(result.verdict)},
                         {"model", result.model},
                         {"text", result.text},
                         {"completion_tokens", result.token_count}};
  if (!result.reason.empty()) {
    body["error"] = {{"code", result.reason}};
  }
  return JsonResponse(200, body);
}

HttpResponse RunningResponse(const std::string& id, bool is_running_here) {
  return JsonResponse(202, {{"id", id},
                            {"state", is_running_here ? "running" : "unknown"},
                            {"verdict", ToString(Verdict::kMayHaveRun)}});
}

}  // namespace

/// Registers one caller with a run, from construction to destruction. A run
/// without callers ends unless it has an intent.
class OnlineRequests::CallerRegistration {
 public:
  explicit CallerRegistration(std::shared_ptr<RequestRun> run)
      : registered_run(std::move(run)) {
    this->registered_run->AddCaller();
  }
  ~CallerRegistration() { this->registered_run->RemoveCaller(); }
  CallerRegistration(const CallerRegistration&) = delete;
  CallerRegistration& operator=(const CallerRegistration&) = delete;

  RequestRun& run() const { return *this->registered_run; }

 private:
  const std::shared_ptr<RequestRun> registered_run;
};

OnlineRequests::OnlineRequests(const EntrySettings& settings,
                               std::uint64_t incarnation,
                               boost::asio::io_context& context,
                               DaemonConnections& daemon_connections)
    : settings(settings),
      incarnation(incarnation),
      daemon_connections(daemon_connections),
      planner(daemon_connections,
              {.availability_zone = settings.host.availability_zone,
               .region = settings.host.region},
              incarnation),
      log(settings),
      services{
          .context = context,
          .daemon_connections = daemon_connections,
          .planner = this->planner,
          .settings = settings.online,
          .on_finished = [this](const auto& run) { this->OnFinished(run); }},
      admission({.entry_share = 1.0 / static_cast<double>(
                                          settings.fleet.entries.size() + 1)}) {
}

void OnlineRequests::Start() {
  this->log.Start();
}

void OnlineRequests::SetProcessEnd(TimePoint end) {
  this->process_end = end;
}

bool OnlineRequests::WaitUntilIdle(Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  while (true) {
    {
      std::lock_guard lock(this->mutex);
      if (this->running.empty()) {
        return true;
      }
    }
    if (MonotonicNow() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
}

void OnlineRequests::Stop(Duration timeout) {
  this->log.Stop(timeout);
}

void OnlineRequests::SetRules(std::shared_ptr<const RuleSet> rules) {
  this->planner.SetRules(std::move(rules));
}

HttpResponse OnlineRequests::Handle(const HttpRequest& http_request) {
  auto request = ParseOnlineRequest(http_request);
  if (!request) {
    this->metrics.Count(Verdict::kNotRun, "invalid_request");
    return RefusalResponse({.status = 400,
                            .code = "invalid_request",
                            .message = request.error().message});
  }
  if (request->timeout.count() == 0) {
    request->timeout = this->settings.limits.default_patience;
    const auto rules = this->planner.rules();
    if (rules->classes.contains({request->workspace, request->request_class}) ||
        rules->classes.contains({"*", request->request_class})) {
      request->timeout =
          FindClassRule(*rules, request->workspace, request->request_class)
              .timeout;
    }
  }
  const TimePoint now = MonotonicNow();
  if (now + request->timeout > this->process_end.load()) {
    LogEvent(Event::kRequestRefused,
             {{"request", request->id},
              {"reason", "shutdown"},
              {"verdict", std::string(ToString(Verdict::kNotRun))}});
    this->metrics.Count(Verdict::kNotRun, "shutdown");
    return RefusalResponse({.code = "shutdown",
                            .message = "this entry stops; another one serves",
                            .retry_after = kShutdownRetryAfter});
  }
  const auto [caller, is_new] = this->FindOrCreate(*request, now);
  RequestRun& run = caller->run();
  if (is_new) {
    if (auto outcome = this->Prepare(run, http_request)) {
      run.Finish(std::move(*outcome));
    } else {
      run.Start();
    }
  } else if (run.request().Digest() != request->Digest()) {
    return RefusalResponse(KeyReusedRefusal());
  } else {
    LogEvent(Event::kRequestAttached, {{"request", request->id}});
  }
  return this->Respond(caller, *request, http_request, now + request->timeout);
}

OnlineRequests::FindOrCreateResult OnlineRequests::FindOrCreate(
    OnlineRequest request,
    TimePoint now) {
  const std::string id = request.id;
  const TimePoint deadline = now + request.timeout;
  std::lock_guard lock(this->mutex);
  auto& run = this->running[id];
  // A refused run may still be in the table; a resent request gets a new run
  // instead.
  const auto outcome = run == nullptr ? std::nullopt : run->outcome();
  const bool is_new = run == nullptr || (outcome && !outcome->is_complete());
  if (is_new) {
    run = std::make_shared<RequestRun>(this->services, std::move(request), now,
                                       deadline);
  }
  return {.caller = std::make_shared<CallerRegistration>(run),
          .is_new = is_new};
}

std::optional<RunOutcome> OnlineRequests::Prepare(
    const RequestRun& run,
    const HttpRequest& http_request) {
  const OnlineRequest& request = run.request();
  if (request.is_keyed()) {
    if (auto outcome = this->FindEarlierOutcome(run, http_request)) {
      return outcome;
    }
  }
  if (!request.is_repeatable && !this->log.has_capacity()) {
    return RefusedOutcome(LogRefusal(
        "too many results wait to be written to the log", Verdict::kNotRun));
  }
  if (auto outcome = this->Admit(request)) {
    return outcome;
  }
  {
    std::lock_guard lock(this->mutex);
    this->admitted.insert(&run);
  }
  this->planner.OnRequest(request.model, MonotonicNow());
  return request.needs_intent() ? this->WriteIntent(run, http_request)
                                : std::nullopt;
}

std::optional<RunOutcome> OnlineRequests::FindEarlierOutcome(
    const RequestRun& run,
    const HttpRequest& http_request) {
  const OnlineRequest& request = run.request();
  if (const auto held = this->log.FindHeld(request.id)) {
    return held->digest == request.Digest()
               ? OutcomeOf(*held)
               : RefusedOutcome(KeyReusedRefusal());
  }
  auto logged = this->log.Find(request.id);
  if (!logged) {
    // A request that must not run twice requires a replay that contains all
    // intents.
    if (request.needs_intent() && !this->log.is_current() &&
        !this->log.CatchUp(MonotonicNow() + Duration(kCatchUpTimeout))) {
      return RefusedOutcome(LogRefusal(
          "the log is not available, so a single run cannot be guaranteed",
          Verdict::kNotRun));
    }
    logged = this->log.Find(request.id);
  }
  if (!logged) {
    return std::nullopt;
  }
  if (logged->digest != request.Digest()) {
    return RefusedOutcome(KeyReusedRefusal());
  }
  if (logged->state == RequestState::kFinished) {
    return this->ReadOutcome(request, *logged);
  }
  // The intent was written by an earlier process of this entry, which no longer
  // runs. Only a daemon may still hold the result, and it offers it within a
  // short time.
  const bool is_orphan = logged->owner == this->settings.host.name &&
                         logged->owner_incarnation != this->incarnation;
  const TimePoint wait_deadline =
      is_orphan ? std::min(run.deadline(),
                           MonotonicNow() + this->settings.online.orphan_wait)
                : run.deadline();
  return this->WaitForOwner(run, http_request, wait_deadline);
}

std::optional<RunOutcome> OnlineRequests::WaitForOwner(
    const RequestRun& run,
    const HttpRequest& http_request,
    TimePoint deadline) {
  const OnlineRequest& request = run.request();
  while (MonotonicNow() < deadline) {
    if (http_request.is_caller_disconnected()) {
      return RefusedOutcome(CallerDisconnectedRefusal());
    }
    if (const auto held = this->log.FindHeld(request.id)) {
      return OutcomeOf(*held);
    }
    const auto logged = this->log.Find(request.id);
    if (!logged) {
      // The owner has recorded that the request did not run.
      return std::nullopt;
    }
    if (logged->state == RequestState::kFinished) {
      return this->ReadOutcome(request, *logged);
    }
    this->log.WaitForReplay(
        std::min(deadline, MonotonicNow() + Duration(kCallerPollInterval)));
  }
  return RefusedOutcome(
      {.status = 504,
       .code = "running_elsewhere",
       .message =
           "another process dispatched the request; no result is available",
       .verdict = Verdict::kMayHaveRun});
}

std::optional<RunOutcome> OnlineRequests::Admit(const OnlineRequest& request) {
  const TimePoint now = MonotonicNow();
  const auto load = this->planner.LoadFor(request.model, now);
  if (load.slots == 0) {
    return RefusedOutcome(
        {.status = 503,
         .code = "no_endpoint",
         .message = "no endpoint serves model \"" + request.model + "\"",
         .verdict = Verdict::kNotRun,
         .retry_after = std::chrono::seconds(1)});
  }
  const auto rules = this->planner.rules();
  std::lock_guard lock(this->mutex);
  const auto refusal =
      this->admission.Admit(AdmissionRequestOf(request), load, *rules, now);
  if (!refusal) {
    return std::nullopt;
  }
  const bool is_limit = refusal->reason != "overloaded" &&
                        refusal->reason != "patience_too_short";
  return RefusedOutcome(
      {.status = is_limit ? 429 : 503,
       .code = refusal->reason,
       .message = "the request was refused before it was dispatched",
       .verdict = Verdict::kNotRun,
       .retry_after =
           std::chrono::ceil<std::chrono::milliseconds>(refusal->retry_after)});
}

std::optional<RunOutcome> OnlineRequests::WriteIntent(
    const RequestRun& run,
    const HttpRequest& http_request) {
  const OnlineRequest& request = run.request();
  const TimePoint now = MonotonicNow();
  const Duration timeout =
      std::min(Duration(this->settings.online.intent_wait),
               std::max(Duration(0), run.deadline() - now));
  const auto logged =
      this->log.WriteIntent({.request = request.id,
                             .workspace = request.workspace,
                             .owner = this->settings.host.name,
                             .attempt = run.attempt_id_prefix(),
                             .owner_incarnation = this->incarnation,
                             .digest = request.Digest()},
                            timeout);
  if (!logged) {
    if (logged.error().verdict != Verdict::kNotRun) {
      this->ReleaseIntent(run);
    }
    return RefusedOutcome(LogRefusal(logged.error().message, Verdict::kNotRun));
  }
  if (logged->attempt == run.attempt_id_prefix()) {
    return std::nullopt;
  }
  LogEvent(Event::kIntentLost,
           {{"request", request.id}, {"owner", logged->owner}});
  if (logged->digest != request.Digest()) {
    return RefusedOutcome(KeyReusedRefusal());
  }
  if (auto outcome = this->WaitForOwner(run, http_request, run.deadline())) {
    return outcome;
  }
  return RefusedOutcome(
      {.status = 503,
       .code = "not_run_elsewhere",
       .message = "the entry that dispatched the request could not run it",
       .verdict = Verdict::kNotRun,
       .retry_after = std::chrono::milliseconds(1)});
}

RunOutcome OnlineRequests::ReadOutcome(const OnlineRequest& request,
                                       const LoggedRequest& logged) {
  const auto result = this->log.ReadResult(request.id, logged);
  if (result) {
    return OutcomeOf(*result);
  }
  Refusal refusal = LogRefusal(result.error().message, Verdict::kRan);
  refusal.code = "result_unavailable";
  return RefusedOutcome(std::move(refusal));
}

void OnlineRequests::ReleaseIntent(const RequestRun& run) {
  // If the intent has reached the log, this record follows it and allows a
  // resent request to run.
  this->log.WriteResult({.request = run.request().id,
                         .workspace = run.request().workspace,
                         .verdict = Verdict::kNotRun,
                         .finished_ms = UnixMilliseconds(),
                         .attempt = run.attempt_id_prefix()},
                        {});
}

HttpResponse OnlineRequests::Respond(
    const std::shared_ptr<CallerRegistration>& caller,
    const OnlineRequest& request,
    const HttpRequest& http_request,
    TimePoint deadline) {
  RequestRun& run = caller->run();
  // The run resolves its verdict shortly after its own deadline.
  const TimePoint response_deadline =
      deadline + 2 * Duration(this->settings.online.revoke_wait);
  std::size_t position = 0;
  while (true) {
    const TimePoint poll = std::min(
        response_deadline, MonotonicNow() + Duration(kCallerPollInterval));
    if (request.is_stream) {
      // The streamed response begins with the first text. Until then a refusal
      // can have its own HTTP status.
      if (auto text = run.ReadText(position, poll)) {
        return this->Stream(caller, request, http_request, response_deadline,
                            std::move(*text), position);
      }
    }
    if (run.WaitForOutcome(request.is_stream ? MonotonicNow() : poll)) {
      break;
    }
    if (http_request.is_caller_disconnected()) {
      LogEvent(Event::kCallerLeft, {{"request", request.id}});
      return RefusalResponse(CallerDisconnectedRefusal());
    }
    if (MonotonicNow() >= response_deadline) {
      return RefusalResponse(TimeoutRefusal(Verdict::kMayHaveRun));
    }
  }
  const auto outcome = run.outcome();
  if (!outcome->is_complete()) {
    auto response = RefusalResponse(*outcome->refusal);
    response.headers["X-Request-Id"] = request.id;
    return response;
  }
  if (request.is_stream) {
    return this->Stream(caller, request, http_request, response_deadline,
                        outcome->text, outcome->text.size());
  }
  auto response = JsonResponse(200, CompletionBody(request, *outcome));
  response.headers["X-Request-Id"] = request.id;
  return response;
}

HttpResponse OnlineRequests::Stream(
    const std::shared_ptr<CallerRegistration>& caller,
    const OnlineRequest& request,
    const HttpRequest& http_request,
    TimePoint deadline,
    std::string first_text,
    std::size_t position) {
  struct State {
    std::shared_ptr<CallerRegistration> caller;
    std::string pending;
    std::size_t position = 0;
    bool is_finished = false;
  };
  const auto state =
      std::make_shared<State>(State{.caller = caller,
                                    .pending = std::move(first_text),
                                    .position = position});
  BodyStream body;
  body.next = [state, request, deadline,
               is_caller_disconnected = http_request.is_caller_disconnected]()
      -> std::optional<std::string> {
    if (state->is_finished) {
      return std::nullopt;
    }
    if (!state->pending.empty()) {
      return StreamEvent(request, std::exchange(state->pending, {}));
    }
    RequestRun& run = state->caller->run();
    while (true) {
      const TimePoint now = MonotonicNow();
      if (const auto text = run.ReadText(
              state->position,
              std::min(deadline, now + Duration(kCallerPollInterval)))) {
        return StreamEvent(request, *text);
      }
      if (const auto outcome = run.outcome()) {
        state->is_finished = true;
        return outcome->is_complete() ? "data: [DONE]\n\n"
                                      : StreamError(*outcome->refusal);
      }
      if (now >= deadline) {
        state->is_finished = true;
        return StreamError(TimeoutRefusal(Verdict::kMayHaveRun));
      }
      if (is_caller_disconnected()) {
        LogEvent(Event::kCallerLeft, {{"request", request.id}});
        state->is_finished = true;
        return std::nullopt;
      }
    }
  };
  body.finish = [state] { state->caller = nullptr; };
  return {.status = 200,
          .headers = {{"Content-Type", "text/event-stream"},
                      {"X-Request-Id", request.id}},
          .body = {},
          .stream = std::move(body)};
}

HttpResponse OnlineRequests::GetResult(const HttpRequest& request) {
  const std::string id = request.Parameter("id");
  if (const auto held = this->log.FindHeld(id)) {
    return ResultResponse(id, *held);
  }
  {
    std::lock_guard lock(this->mutex);
    if (this->running.contains(id)) {
      return RunningResponse(id, true);
    }
  }
  auto logged = this->log.Find(id);
  if (!logged || logged->state == RequestState::kIntended) {
    const bool is_current =
        this->log.CatchUp(MonotonicNow() + Duration(kLookupTimeout));
    logged = this->log.Find(id);
    if (!is_current && !logged) {
      return RefusalResponse(
          LogRefusal("the log is not available", Verdict::kMayHaveRun));
    }
  }
  if (!logged) {
    return RefusalResponse({.status = 404,
                            .code = "unknown_request",
                            .message = "no result with this id is stored",
                            .verdict = Verdict::kMayHaveRun});
  }
  if (logged->state == RequestState::kIntended) {
    return RunningResponse(id, false);
  }
  const auto result = this->log.ReadResult(id, *logged);
  if (!result) {
    const bool is_expired = result.error().code == ErrorCode::kNotFound;
    return RefusalResponse(
        {.status = is_expired ? 410 : 503,
         .code = is_expired ? "result_expired" : "result_unavailable",
         .message = result.error().message,
         .verdict = Verdict::kRan,
         .retry_after =
             is_expired ? std::chrono::milliseconds(0) : kLogRetryAfter});
  }
  return ResultResponse(id, *result);
}

HttpResponse OnlineRequests::Metrics() const {
  return {.status = 200,
          .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = this->metrics.ToPrometheus(),
          .stream = std::nullopt};
}

void OnlineRequests::OnOffer(const std::string& daemon,
                             const messages::OfferResults& offer) {
  for (const auto& held : offer.results) {
    if (held.execute.kind != messages::WorkKind::kOnline ||
        !held.done.complete) {
      continue;
    }
    const auto& id = held.execute.request;
    {
      // A run that still waits for this attempt is notified by
      // DaemonConnections.
      std::lock_guard lock(this->mutex);
      if (this->running.contains(id)) {
        continue;
      }
    }
    const auto confirm = [this, daemon, attempt = held.execute.attempt] {
      this->daemon_connections.Send(
          daemon, messages::ConfirmResults{.attempts = {attempt}});
    };
    // Daemons repeat an offer until it is confirmed. During an outage of the
    // log the copies would fill the queue of results.
    if (this->log.FindHeld(id)) {
      continue;
    }
    if (const auto logged = this->log.Find(id);
        logged && logged->state == RequestState::kFinished) {
      confirm();
      continue;
    }
    LogEvent(Event::kResultTakenOver, {{"request", id}, {"daemon", daemon}});
    const OnlineRequest request{.model = held.execute.model,
                                .prompt = held.execute.prompt,
                                .max_tokens = held.execute.max_tokens,
                                .is_repeatable = held.execute.repeatable};
    this->log.WriteResult({.request = id,
                           .workspace = held.execute.workspace,
                           .verdict = Verdict::kRan,
                           .text = held.text,
                           .token_count = held.done.token_count,
                           .finished_ms = UnixMilliseconds(),
                           .attempt = AttemptIdPrefix(held.execute.attempt),
                           .model = held.execute.model,
                           .digest = request.Digest()},
                          confirm);
  }
}

void OnlineRequests::OnFinished(const std::shared_ptr<RequestRun>& run) {
  const auto outcome = run->outcome();
  // The outcome is written before the run is removed from the table, so that a
  // resent request finds at least one of them.
  this->WriteOutcome(*run, *outcome);
  this->RecordMetrics(*run, *outcome);
  const OnlineRequest& request = run->request();
  const Verdict verdict =
      outcome->is_complete() ? Verdict::kRan : outcome->refusal->verdict;
  if (outcome->is_complete()) {
    LogEvent(Event::kRequestFinished,
             {{"request", request.id},
              {"verdict", std::string(ToString(verdict))},
              {"tokens", std::to_string(outcome->token_count)}});
  } else {
    LogEvent(Event::kRequestRefused,
             {{"request", request.id},
              {"reason", outcome->refusal->code},
              {"verdict", std::string(ToString(verdict))}});
  }
  std::lock_guard lock(this->mutex);
  if (this->admitted.erase(run.get()) > 0) {
    this->admission.Finish(AdmissionRequestOf(request), MonotonicNow());
  }
  if (const auto found = this->running.find(request.id);
      found != this->running.end() && found->second == run) {
    this->running.erase(found);
  }
}

void OnlineRequests::WriteOutcome(const RequestRun& run,
                                  const RunOutcome& outcome) {
  const OnlineRequest& request = run.request();
  if (!run.is_started()) {
    return;
  }
  const auto attempts = run.HeldAttempts();
  if (!outcome.is_complete()) {
    const Verdict verdict = outcome.refusal->verdict;
    if (verdict == Verdict::kNotRun && request.needs_intent()) {
      this->ReleaseIntent(run);
    }
    // An intent without a result already records that the request may have run,
    // and it permits a result that a daemon offers later.
    if (verdict != Verdict::kRan || request.is_repeatable) {
      return;
    }
  }
  const records::RequestResult result{
      .request = request.id,
      .workspace = request.workspace,
      .verdict = Verdict::kRan,
      .text = outcome.text,
      .reason = outcome.is_complete() ? "" : outcome.refusal->code,
      .token_count = outcome.token_count,
      .finished_ms = UnixMilliseconds(),
      .attempt = request.needs_intent() ? run.attempt_id_prefix() : "",
      .model = request.model,
      .digest = request.Digest()};
  std::function<void()> confirm;
  if (!request.is_repeatable) {
    confirm = [this, attempts] {
      for (const auto& [daemon, attempt] : attempts) {
        this->daemon_connections.Send(
            daemon, messages::ConfirmResults{.attempts = {attempt}});
      }
    };
  }
  this->log.WriteResult(result, std::move(confirm));
}

void OnlineRequests::RecordMetrics(const RequestRun& run,
                                   const RunOutcome& outcome) {
  const OnlineRequest& request = run.request();
  const TimePoint now = MonotonicNow();
  const auto observe = [&](RequestMeasure measure, double value) {
    this->metrics.Observe(measure, request.workspace, request.request_class,
                          value);
  };
  this->metrics.Count(
      outcome.is_complete() ? Verdict::kRan : outcome.refusal->verdict,
      outcome.is_complete() ? "" : outcome.refusal->code);
  if (const auto dispatched = run.first_dispatch()) {
    observe(RequestMeasure::kQueue, ToSeconds(*dispatched - run.received()));
  }
  if (const auto first_token = run.first_token()) {
    observe(RequestMeasure::kFirstToken,
            ToSeconds(*first_token - run.received()));
  }
  if (outcome.is_complete()) {
    observe(RequestMeasure::kTotal, ToSeconds(now - run.received()));
    observe(RequestMeasure::kTokens, outcome.token_count);
  }
}

}  // namespace crocus
