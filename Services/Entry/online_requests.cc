#include "Entry/online_requests.h"

#include <charconv>
#include <utility>

#include "Entry/refusal.h"
#include "LibCore/hashing.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibHttp/json_response.h"
#include "LibPolicy/router.h"

namespace crocus {

namespace {

constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr std::uint32_t kLargestMaxTokens = 1u << 20;

/// How often a waiting handler looks whether its caller has left.
constexpr std::chrono::milliseconds kCallerPollInterval{100};

nlohmann::json CompletionBody(const OnlineRequest& request,
                              const std::string& text,
                              std::uint32_t tokens) {
  return {{"id", request.id},
          {"object", "text_completion"},
          {"model", request.model},
          {"choices",
           {{{"index", 0}, {"text", text}, {"finish_reason", "length"}}}},
          {"usage", {{"completion_tokens", tokens}}},
          {"verdict", "ran"}};
}

tl::unexpected<Error> FieldError(const std::string& field,
                                 const std::string& reason) {
  return Failure(ErrorCode::kInvalidArgument,
                 "field \"" + field + "\" " + reason);
}

Result<void> CheckFields(const nlohmann::json& json) {
  static const std::map<std::string, nlohmann::json::value_t> kKnown = {
      {"model", nlohmann::json::value_t::string},
      {"prompt", nlohmann::json::value_t::string},
      {"max_tokens", nlohmann::json::value_t::number_unsigned},
      {"stream", nlohmann::json::value_t::boolean},
      {"workspace", nlohmann::json::value_t::string},
      {"class", nlohmann::json::value_t::string},
      {"repeatable", nlohmann::json::value_t::boolean}};
  for (const auto& [name, value] : json.items()) {
    const auto known = kKnown.find(name);
    if (known == kKnown.end()) {
      return FieldError(name, "is not known");
    }
    if (value.type() != known->second) {
      return FieldError(name, "has the wrong type");
    }
  }
  // Checked before the conversion to 32 bits, which would cut the number off.
  if (json.contains("max_tokens") &&
      json["max_tokens"].get<std::uint64_t>() > kLargestMaxTokens) {
    return FieldError("max_tokens", "is out of range");
  }
  for (const char* name : {"model", "prompt", "workspace"}) {
    if (!json.contains(name) || json[name].get<std::string>().empty()) {
      return FieldError(name, "is required");
    }
  }
  return {};
}

}  // namespace

Result<OnlineRequest> ParseOnlineRequest(const HttpRequest& request,
                                         std::chrono::milliseconds patience) {
  const auto json = ParseJsonObject(request.body);
  if (!json) {
    return Failure(ErrorCode::kInvalidArgument,
                   "the body is not a JSON object");
  }
  TRY(CheckFields(*json));
  OnlineRequest parsed{
      .id = {},
      .workspace = json->value("workspace", ""),
      .request_class = json->value("class", "default"),
      .model = json->value("model", ""),
      .prompt = json->value("prompt", ""),
      .max_tokens = json->value("max_tokens", kDefaultMaxTokens),
      .is_stream = json->value("stream", false),
      .is_repeatable = json->value("repeatable", true),
      .idempotency_key = request.Header("idempotency-key"),
      .patience = patience};
  if (parsed.max_tokens == 0 || parsed.max_tokens > kLargestMaxTokens) {
    return FieldError("max_tokens", "is out of range");
  }
  if (const std::string text = request.Header("x-patience-ms"); !text.empty()) {
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value == 0) {
      return Failure(ErrorCode::kInvalidArgument,
                     "header X-Patience-Ms is not a number of milliseconds");
    }
    parsed.patience = std::chrono::milliseconds(value);
  }
  parsed.id =
      parsed.idempotency_key.empty()
          ? MakeIdentifier("r")
          : "k-" + DigestOf(parsed.workspace + "\n" + parsed.idempotency_key);
  return parsed;
}

OnlineRequests::OnlineRequests(const EntrySettings& settings, Fleet& fleet)
    : settings(settings), fleet(fleet) {}

HttpResponse OnlineRequests::Handle(const HttpRequest& http_request) {
  const auto parsed =
      ParseOnlineRequest(http_request, this->settings.limits.default_patience);
  if (!parsed) {
    return RefusalResponse({.status = 400,
                            .code = "invalid_request",
                            .message = parsed.error().message});
  }
  const OnlineRequest& request = *parsed;
  const TimePoint deadline = MonotonicNow() + request.patience;
  const auto views = this->fleet.ReplicasFor(request.model);
  std::vector<RouteCandidate> candidates;
  for (const auto& view : views) {
    candidates.push_back({.daemon = view.daemon,
                          .replica = view.load.replica,
                          .availability_zone = view.availability_zone,
                          .region = view.region,
                          .slots = view.load.slots,
                          .outstanding = view.outstanding});
  }
  const auto chosen = ChooseLeastOutstanding(candidates);
  if (!chosen) {
    return RefusalResponse(
        {.status = 503,
         .code = "no_endpoint",
         .message = "no endpoint serves model \"" + request.model + "\"",
         .retry_after = std::chrono::seconds(1)});
  }
  const auto stream = std::make_shared<AttemptStream>();
  const std::string attempt = MakeIdentifier("a");
  const auto sent = this->fleet.Execute(
      candidates[*chosen].daemon,
      {.attempt = attempt,
       .request = request.id,
       .workspace = request.workspace,
       .request_class = request.request_class,
       .kind = messages::WorkKind::kOnline,
       .endpoint = views[*chosen].load.endpoint,
       .replica = candidates[*chosen].replica,
       .model = request.model,
       .prompt = request.prompt,
       .max_tokens = request.max_tokens,
       .repeatable = request.is_repeatable,
       .patience_ms = static_cast<std::uint32_t>(request.patience.count())},
      {.on_chunk =
           [stream](const messages::TokenChunk& chunk) {
             stream->AddChunk(chunk);
           },
       .on_done =
           [stream](const messages::AttemptDone& done) {
             stream->SetDone(done);
           }});
  if (!sent) {
    return RefusalResponse({.status = 503,
                            .code = "endpoint_unreachable",
                            .message = sent.error().message,
                            .retry_after = std::chrono::seconds(1)});
  }
  if (request.is_stream) {
    return this->Stream(request, candidates[*chosen].daemon, attempt, stream,
                        deadline);
  }
  while (!stream->done() && MonotonicNow() < deadline) {
    if (http_request.has_caller_left()) {
      LogEvent(Event::kCallerLeft, {{"request", request.id}});
      this->fleet.Revoke(candidates[*chosen].daemon, attempt, [](Verdict) {});
      return RefusalResponse({.status = 499,
                              .code = "caller_left",
                              .message = "the caller closed the connection",
                              .verdict = Verdict::kMayHaveRun});
    }
    stream->NextText(
        std::min(deadline, MonotonicNow() + Duration(kCallerPollInterval)));
  }
  if (stream->IsWhole()) {
    const std::string text = stream->text();
    this->Keep(request, text);
    return JsonResponse(
        200, CompletionBody(request, text, stream->done()->token_count));
  }
  const auto done = stream->done();
  if (!done) {
    this->fleet.Revoke(candidates[*chosen].daemon, attempt, [](Verdict) {});
  }
  const Verdict verdict = done ? done->verdict : Verdict::kMayHaveRun;
  const std::string code = done ? done->reason : "patience_expired";
  LogEvent(Event::kRequestRefused,
           {{"request", request.id},
            {"reason", code},
            {"verdict", std::string(ToString(verdict))}});
  return RefusalResponse({.status = done ? 502 : 504,
                          .code = code,
                          .message = "the request was not completed",
                          .verdict = verdict});
}

HttpResponse OnlineRequests::Stream(
    const OnlineRequest& request,
    const std::string& daemon,
    const std::string& attempt,
    const std::shared_ptr<AttemptStream>& stream,
    TimePoint deadline) {
  const auto is_over = std::make_shared<bool>(false);
  BodyStream body;
  body.next = [this, request, stream, deadline,
               is_over]() -> std::optional<std::string> {
    if (*is_over) {
      return std::nullopt;
    }
    if (const auto text = stream->NextText(deadline)) {
      const nlohmann::json event = {
          {"id", request.id},
          {"object", "text_completion"},
          {"choices", {{{"index", 0}, {"text", *text}}}}};
      return "data: " + event.dump() + "\n\n";
    }
    *is_over = true;
    if (stream->IsWhole()) {
      this->Keep(request, stream->text());
      return "data: [DONE]\n\n";
    }
    const auto done = stream->done();
    const nlohmann::json error = {
        {"error", {{"code", done ? done->reason : "patience_expired"}}},
        {"verdict", ToString(done ? done->verdict : Verdict::kMayHaveRun)}};
    return "data: " + error.dump() + "\n\n";
  };
  body.finish = [this, stream, daemon, attempt] {
    if (!stream->done()) {
      this->fleet.Revoke(daemon, attempt, [](Verdict) {});
    }
  };
  return {.status = 200,
          .headers = {{"Content-Type", "text/event-stream"},
                      {"X-Request-Id", request.id}},
          .body = {},
          .stream = std::move(body)};
}

void OnlineRequests::Keep(const OnlineRequest& request,
                          const std::string& text) {
  std::lock_guard lock(this->mutex);
  this->results[request.id] = text;
}

HttpResponse OnlineRequests::Result(const HttpRequest& request) {
  std::lock_guard lock(this->mutex);
  const auto found = this->results.find(request.Parameter("id"));
  if (found == this->results.end()) {
    return RefusalResponse({.status = 404,
                            .code = "unknown_request",
                            .message = "no result with this id"});
  }
  return JsonResponse(200, {{"id", found->first}, {"text", found->second}});
}

}  // namespace crocus
