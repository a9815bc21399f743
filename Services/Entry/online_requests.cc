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

/// How often a waiting handler looks whether its caller has left.
constexpr std::chrono::milliseconds kCallerPollInterval{100};

constexpr std::chrono::milliseconds kIdlePollInterval{10};

/// Longest time a lookup of a result waits for the replay.
constexpr std::chrono::milliseconds kLookupWait{1000};

/// Longest time a keyed request waits for a replay that is behind.
constexpr std::chrono::milliseconds kCatchUpWait{500};

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

Refusal PatienceRefusal(Verdict verdict) {
  return {.status = 504,
          .code = "patience_expired",
          .message = "no complete answer within the caller's patience",
          .verdict = verdict};
}

Refusal CallerLeftRefusal() {
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
          .timeout = request.patience};
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

HttpResponse RunningResponse(const std::string& id, bool is_here) {
  return JsonResponse(202, {{"id", id},
                            {"state", is_here ? "running" : "unknown"},
                            {"verdict", ToString(Verdict::kMayHaveRun)}});
}

}  // namespace

/// Keeps a run alive for one caller; the last one to leave ends it.
class OnlineRequests::Reader {
 public:
  explicit Reader(std::shared_ptr<RequestRun> run) : followed(std::move(run)) {
    this->followed->AddReader();
  }
  ~Reader() { this->followed->RemoveReader(); }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  RequestRun& run() const { return *this->followed; }

 private:
  const std::shared_ptr<RequestRun> followed;
};

OnlineRequests::OnlineRequests(const EntrySettings& settings,
                               std::uint64_t incarnation,
                               boost::asio::io_context& context,
                               Fleet& fleet)
    : settings(settings),
      incarnation(incarnation),
      fleet(fleet),
      planner(fleet,
              {.availability_zone = settings.host.availability_zone,
               .region = settings.host.region},
              incarnation),
      log(settings),
      services{
          .context = context,
          .fleet = fleet,
          .planner = this->planner,
          .settings = settings.online,
          .on_finished = [this](const auto& run) { this->OnFinished(run); }},
      admission({.entry_share = 1.0 / static_cast<double>(
                                          settings.fleet.entries.size() + 1)}) {
}

void OnlineRequests::Start() {
  this->log.Start();
}

bool OnlineRequests::WaitUntilIdle(Duration limit) {
  const TimePoint end = MonotonicNow() + limit;
  while (true) {
    {
      std::lock_guard lock(this->mutex);
      if (this->running.empty()) {
        return true;
      }
    }
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
}

void OnlineRequests::Stop(Duration limit) {
  this->log.Stop(limit);
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
  if (request->patience.count() == 0) {
    request->patience = this->settings.limits.default_patience;
    const auto rules = this->planner.rules();
    if (rules->classes.contains({request->workspace, request->request_class}) ||
        rules->classes.contains({"*", request->request_class})) {
      request->patience =
          FindClassRule(*rules, request->workspace, request->request_class)
              .patience;
    }
  }
  const TimePoint now = MonotonicNow();
  const auto [reader, is_new] = this->FindOrCreate(*request, now);
  RequestRun& run = reader->run();
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
  return this->Answer(reader, *request, http_request, now + request->patience);
}

OnlineRequests::Accepted OnlineRequests::FindOrCreate(OnlineRequest request,
                                                      TimePoint now) {
  const std::string id = request.id;
  const TimePoint deadline = now + request.patience;
  std::lock_guard lock(this->mutex);
  auto& run = this->running[id];
  // A run that has just been refused is not what a resent request waits for.
  const auto outcome = run == nullptr ? std::nullopt : run->outcome();
  const bool is_new = run == nullptr || (outcome && !outcome->is_whole());
  if (is_new) {
    run = std::make_shared<RequestRun>(this->services, std::move(request), now,
                                       deadline);
  }
  return {.reader = std::make_shared<Reader>(run), .is_new = is_new};
}

std::optional<RunOutcome> OnlineRequests::Prepare(
    const RequestRun& run,
    const HttpRequest& http_request) {
  const OnlineRequest& request = run.request();
  if (request.is_keyed()) {
    if (auto outcome = this->FindEarlier(run, http_request)) {
      return outcome;
    }
  }
  if (!request.is_repeatable && !this->log.has_room()) {
    return RefusedOutcome(LogRefusal(
        "too many results wait for the log to return", Verdict::kNotRun));
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

std::optional<RunOutcome> OnlineRequests::FindEarlier(
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
    // Whoever must not run twice needs a replay that knows of all intents.
    if (request.needs_intent() && !this->log.is_current() &&
        !this->log.CatchUp(MonotonicNow() + Duration(kCatchUpWait))) {
      return RefusedOutcome(LogRefusal(
          "the log is not available, so the request cannot be run once only",
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
  // An earlier process of this entry is gone; only a daemon may still have the
  // result, and it offers it soon.
  const bool is_orphan = logged->owner == this->settings.host.name &&
                         logged->owner_incarnation != this->incarnation;
  const TimePoint limit =
      is_orphan ? std::min(run.deadline(),
                           MonotonicNow() + this->settings.online.orphan_wait)
                : run.deadline();
  return this->WaitForOwner(run, http_request, limit);
}

std::optional<RunOutcome> OnlineRequests::WaitForOwner(
    const RequestRun& run,
    const HttpRequest& http_request,
    TimePoint limit) {
  const OnlineRequest& request = run.request();
  while (MonotonicNow() < limit) {
    if (http_request.is_caller_disconnected()) {
      return RefusedOutcome(CallerLeftRefusal());
    }
    if (const auto held = this->log.FindHeld(request.id)) {
      return OutcomeOf(*held);
    }
    const auto logged = this->log.Find(request.id);
    if (!logged) {
      // The owner recorded that it did not run.
      return std::nullopt;
    }
    if (logged->state == RequestState::kFinished) {
      return this->ReadOutcome(request, *logged);
    }
    this->log.WaitForReplay(
        std::min(limit, MonotonicNow() + Duration(kCallerPollInterval)));
  }
  return RefusedOutcome(
      {.status = 504,
       .code = "running_elsewhere",
       .message = "another entry dispatched the request; no result is known",
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
       .message = "the request was refused before it was sent",
       .verdict = Verdict::kNotRun,
       .retry_after =
           std::chrono::ceil<std::chrono::milliseconds>(refusal->retry_after)});
}

std::optional<RunOutcome> OnlineRequests::WriteIntent(
    const RequestRun& run,
    const HttpRequest& http_request) {
  const OnlineRequest& request = run.request();
  const TimePoint now = MonotonicNow();
  const Duration limit = std::min(Duration(this->settings.online.intent_wait),
                                  std::max(Duration(0), run.deadline() - now));
  const auto logged =
      this->log.WriteIntent({.request = request.id,
                             .workspace = request.workspace,
                             .owner = this->settings.host.name,
                             .attempt = run.attempt_stem(),
                             .owner_incarnation = this->incarnation,
                             .digest = request.Digest()},
                            limit);
  if (!logged) {
    if (logged.error().verdict != Verdict::kNotRun) {
      this->FreeIntent(run);
    }
    return RefusedOutcome(LogRefusal(logged.error().message, Verdict::kNotRun));
  }
  if (logged->attempt == run.attempt_stem()) {
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

void OnlineRequests::FreeIntent(const RequestRun& run) {
  // Follows the intent in the log, if that arrived, and lets a resent request
  // run.
  this->log.WriteResult({.request = run.request().id,
                         .workspace = run.request().workspace,
                         .verdict = Verdict::kNotRun,
                         .finished_ms = UnixMilliseconds(),
                         .attempt = run.attempt_stem()},
                        {});
}

HttpResponse OnlineRequests::Answer(const std::shared_ptr<Reader>& reader,
                                    const OnlineRequest& request,
                                    const HttpRequest& http_request,
                                    TimePoint deadline) {
  RequestRun& run = reader->run();
  // The run settles the verdict shortly after its own deadline.
  const TimePoint limit =
      deadline + 2 * Duration(this->settings.online.revoke_wait);
  std::size_t position = 0;
  while (true) {
    const TimePoint poll =
        std::min(limit, MonotonicNow() + Duration(kCallerPollInterval));
    if (request.is_stream) {
      // Without text yet, a refusal can still have its own status.
      if (auto text = run.ReadText(position, poll)) {
        return this->Stream(reader, request, http_request, limit,
                            std::move(*text), position);
      }
    }
    if (run.WaitForOutcome(request.is_stream ? MonotonicNow() : poll)) {
      break;
    }
    if (http_request.is_caller_disconnected()) {
      LogEvent(Event::kCallerLeft, {{"request", request.id}});
      return RefusalResponse(CallerLeftRefusal());
    }
    if (MonotonicNow() >= limit) {
      return RefusalResponse(PatienceRefusal(Verdict::kMayHaveRun));
    }
  }
  const auto outcome = run.outcome();
  if (!outcome->is_whole()) {
    auto response = RefusalResponse(*outcome->refusal);
    response.headers["X-Request-Id"] = request.id;
    return response;
  }
  if (request.is_stream) {
    return this->Stream(reader, request, http_request, limit, outcome->text,
                        outcome->text.size());
  }
  auto response = JsonResponse(200, CompletionBody(request, *outcome));
  response.headers["X-Request-Id"] = request.id;
  return response;
}

HttpResponse OnlineRequests::Stream(const std::shared_ptr<Reader>& reader,
                                    const OnlineRequest& request,
                                    const HttpRequest& http_request,
                                    TimePoint deadline,
                                    std::string first_text,
                                    std::size_t position) {
  struct State {
    std::shared_ptr<Reader> reader;
    std::string pending;
    std::size_t position = 0;
    bool is_over = false;
  };
  const auto state =
      std::make_shared<State>(State{.reader = reader,
                                    .pending = std::move(first_text),
                                    .position = position});
  BodyStream body;
  body.next = [state, request, deadline,
               is_caller_disconnected = http_request.is_caller_disconnected]()
      -> std::optional<std::string> {
    if (state->is_over) {
      return std::nullopt;
    }
    if (!state->pending.empty()) {
      return StreamEvent(request, std::exchange(state->pending, {}));
    }
    RequestRun& run = state->reader->run();
    while (true) {
      const TimePoint now = MonotonicNow();
      if (const auto text = run.ReadText(
              state->position,
              std::min(deadline, now + Duration(kCallerPollInterval)))) {
        return StreamEvent(request, *text);
      }
      if (const auto outcome = run.outcome()) {
        state->is_over = true;
        return outcome->is_whole() ? "data: [DONE]\n\n"
                                   : StreamError(*outcome->refusal);
      }
      if (now >= deadline) {
        state->is_over = true;
        return StreamError(PatienceRefusal(Verdict::kMayHaveRun));
      }
      if (is_caller_disconnected()) {
        LogEvent(Event::kCallerLeft, {{"request", request.id}});
        state->is_over = true;
        return std::nullopt;
      }
    }
  };
  body.finish = [state] { state->reader = nullptr; };
  return {.status = 200,
          .headers = {{"Content-Type", "text/event-stream"},
                      {"X-Request-Id", request.id}},
          .body = {},
          .stream = std::move(body)};
}

HttpResponse OnlineRequests::Result(const HttpRequest& request) {
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
        this->log.CatchUp(MonotonicNow() + Duration(kLookupWait));
    logged = this->log.Find(id);
    if (!is_current && !logged) {
      return RefusalResponse(
          LogRefusal("the log is not available", Verdict::kMayHaveRun));
    }
  }
  if (!logged) {
    return RefusalResponse({.status = 404,
                            .code = "unknown_request",
                            .message = "no result with this id is kept",
                            .verdict = Verdict::kMayHaveRun});
  }
  if (logged->state == RequestState::kIntended) {
    return RunningResponse(id, false);
  }
  const auto result = this->log.ReadResult(id, *logged);
  if (!result) {
    const bool is_gone = result.error().code == ErrorCode::kNotFound;
    return RefusalResponse(
        {.status = is_gone ? 410 : 503,
         .code = is_gone ? "result_expired" : "result_unavailable",
         .message = result.error().message,
         .verdict = Verdict::kRan,
         .retry_after =
             is_gone ? std::chrono::milliseconds(0) : kLogRetryAfter});
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
      // A run that still waits for this attempt gets it from the fleet.
      std::lock_guard lock(this->mutex);
      if (this->running.contains(id)) {
        continue;
      }
    }
    const auto confirm = [this, daemon, attempt = held.execute.attempt] {
      this->fleet.Send(daemon, messages::ConfirmResults{.attempts = {attempt}});
    };
    // Daemons offer again until they are answered. During an outage of the log
    // the copies would fill the queue of results.
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
  // Before the run leaves the table, so that a resent request finds one of
  // both.
  this->WriteOutcome(*run, *outcome);
  this->Measure(*run, *outcome);
  const OnlineRequest& request = run->request();
  const Verdict verdict =
      outcome->is_whole() ? Verdict::kRan : outcome->refusal->verdict;
  if (outcome->is_whole()) {
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
  if (!outcome.is_whole()) {
    const Verdict verdict = outcome.refusal->verdict;
    if (verdict == Verdict::kNotRun && request.needs_intent()) {
      this->FreeIntent(run);
    }
    // The intent alone says that it may have run, and leaves room for a result
    // that a daemon offers later.
    if (verdict != Verdict::kRan || request.is_repeatable) {
      return;
    }
  }
  const records::RequestResult result{
      .request = request.id,
      .workspace = request.workspace,
      .verdict = Verdict::kRan,
      .text = outcome.text,
      .reason = outcome.is_whole() ? "" : outcome.refusal->code,
      .token_count = outcome.token_count,
      .finished_ms = UnixMilliseconds(),
      .attempt = request.needs_intent() ? run.attempt_stem() : "",
      .model = request.model,
      .digest = request.Digest()};
  std::function<void()> confirm;
  if (!request.is_repeatable) {
    confirm = [this, attempts] {
      for (const auto& [daemon, attempt] : attempts) {
        this->fleet.Send(daemon,
                         messages::ConfirmResults{.attempts = {attempt}});
      }
    };
  }
  this->log.WriteResult(result, std::move(confirm));
}

void OnlineRequests::Measure(const RequestRun& run, const RunOutcome& outcome) {
  const OnlineRequest& request = run.request();
  const TimePoint now = MonotonicNow();
  const auto observe = [&](RequestMeasure measure, double value) {
    this->metrics.Observe(measure, request.workspace, request.request_class,
                          value);
  };
  this->metrics.Count(
      outcome.is_whole() ? Verdict::kRan : outcome.refusal->verdict,
      outcome.is_whole() ? "" : outcome.refusal->code);
  if (const auto dispatched = run.first_dispatch()) {
    observe(RequestMeasure::kQueue, ToSeconds(*dispatched - run.received()));
  }
  if (const auto first_token = run.first_token()) {
    observe(RequestMeasure::kFirstToken,
            ToSeconds(*first_token - run.received()));
  }
  if (outcome.is_whole()) {
    observe(RequestMeasure::kTotal, ToSeconds(now - run.received()));
    observe(RequestMeasure::kTokens, outcome.token_count);
  }
}

}  // namespace crocus
