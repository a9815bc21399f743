#include "Gateway/explanation.h"

#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Gateway/online_admission.h"
#include "LibAsyncHttp/http_status.h"
#include "LibCore/percent_encoding.h"
#include "LibServing/caller_identity.h"
#include "LibServing/token_limit.h"

namespace crocus {

namespace {

using Json = nlohmann::json;

/// Replicas that are listed for an endpoint.
constexpr std::size_t kMaximumReplicas = 200;

double Milliseconds(Duration duration) {
  constexpr double kMillisecondsPerSecond = 1000;
  return ToSeconds(duration) * kMillisecondsPerSecond;
}

std::uint64_t NumberOr(std::string_view text, std::uint64_t fallback) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && parsed == end && !text.empty() ? number
                                                                : fallback;
}

const Route* RouteOf(const ExplanationQuery& query,
                     const RoutingConfig& config) {
  return query.route.empty() ? config.FindRoute(query.host, query.path)
                             : config.FindRouteByName(query.route);
}

/// The decision on the limit of the workspace.
Json DescribeAllotment(const std::string& workspace,
                       const ExplanationSources& sources) {
  // Admit counts the request.
  WorkspaceAllotments allotments = sources.allotments;
  const AllotmentDecision decision = allotments.Admit(workspace, sources.now);
  if (!decision.has_limit) {
    return {{"admitted", true}, {"limit", nullptr}};
  }
  Json json = {{"admitted", decision.is_admitted},
               {"limit", decision.limit},
               {"burst", decision.burst},
               {"left", decision.left},
               {"share", decision.share},
               {"rate_here", decision.rate_here},
               {"rate_elsewhere", decision.rate_elsewhere},
               {"report_age_ms", Milliseconds(decision.report_age)}};
  if (!decision.is_admitted) {
    json["status"] = http_status::kTooManyRequests;
    json["retry_after_ms"] = Milliseconds(decision.retry_after);
  }
  return json;
}

Json DescribeReplica(const ReplicaView& view,
                     const ForwardingContext& context) {
  const ReplicaRecord* replica = context.directory.Find(view.choice.replica);
  const OutstandingRequests own = context.loads.Own(view.choice.replica);
  Json json = {{"replica", view.choice.replica},
               {"availability_zone", replica->availability_zone},
               {"slots", view.choice.slots},
               {"online_here", own.online},
               {"online_of_peers", view.choice.load.online - own.online},
               {"batch_here", own.batch},
               {"batch_of_peers", view.choice.load.batch - own.batch},
               {"work_left_here_ms",
                Milliseconds(FromSeconds(
                    context.work.Own(view.choice.replica).seconds))},
               {"network_cost_ms", Milliseconds(view.network_cost)}};
  if (view.exclusion != Exclusion::kNone) {
    json["left_out"] = ToString(view.exclusion);
    return json;
  }
  json["expected_wait_ms"] = Milliseconds(view.choice.expected_wait);
  json["speed"] = view.choice.speed;
  json["share"] = view.share;
  return json;
}

Json DescribeRefusal(const OnlineRefusal& refusal) {
  Json json = {{"reason", refusal.reason},
               {"retry_after_ms", Milliseconds(refusal.retry_after)}};
  if (const auto& share = refusal.share) {
    json["admitted_work_per_second"] = share->admitted_work;
    json["share_per_second"] = share->share;
    json["wait_limit_ms"] = Milliseconds(share->wait_limit);
  }
  if (const auto& time = refusal.retry_time) {
    json["retry_promised"] = time->is_promised;
    json["capacity"] = time->capacity;
    json["arrivals"] = time->arrivals;
    json["present_arrivals"] = time->present_arrivals;
    json["returning"] = time->returning;
  }
  return json;
}

/// The endpoint and its replicas, the first kMaximumReplicas of them in full.
/// `describe_candidate` returns the refusal that a request would get at a
/// replica, or null.
template <typename DescribeCandidate>
Json DescribeEndpoint(const std::string& endpoint,
                      const std::vector<ReplicaView>& views,
                      const ForwardingContext& context,
                      DescribeCandidate describe_candidate) {
  Json replicas = Json::array();
  double refused = 0;
  for (const ReplicaView& view : views) {
    Json refusal;
    if (view.exclusion == Exclusion::kNone) {
      refusal = describe_candidate(view.choice);
      refused += refusal.is_null() ? 0 : view.share;
    }
    if (replicas.size() < kMaximumReplicas) {
      replicas.push_back(DescribeReplica(view, context));
      if (!refusal.is_null()) {
        replicas.back()["refusal"] = std::move(refusal);
      }
    }
  }
  return {{"endpoint", endpoint},
          {"unlisted_replicas", views.size() - replicas.size()},
          {"replicas", std::move(replicas)},
          {"refused_share", refused}};
}

bool HasCandidate(const std::vector<ReplicaView>& views) {
  return !views.empty() && views.front().exclusion == Exclusion::kNone;
}

Json DescribeOnline(const ExplanationQuery& query,
                    const Route& route,
                    const std::string& endpoint,
                    const WorkEstimate& cost,
                    const ExplanationSources& sources) {
  const auto views =
      sources.context.placement.ViewOnline(endpoint, sources.now, cost);
  Json result = DescribeEndpoint(
      endpoint, views, sources.context,
      [&](const PlacementChoice& choice) -> Json {
        const auto refusal = DecideOnAdmission(
            {.config = sources.config,
             .route = route,
             .endpoint = endpoint,
             .workspace = query.workspace,
             .priority = EffectivePriority(
                 route, sources.config.FindWorkspace(query.workspace)),
             .cost = cost,
             .choice = choice,
             .time_left = CallerTimeout(route, {})},
            sources.context, DecisionEffect::kPreviewed, sources.now);
        return refusal ? DescribeRefusal(*refusal) : Json();
      });
  if (!HasCandidate(views)) {
    result["refusal"] = {{"reason", "no replica available"}};
    result["refused_share"] = 1;
  }
  return result;
}

Json DescribeBatch(const std::string& endpoint,
                   const WorkEstimate& cost,
                   const ExplanationSources& sources) {
  const auto views = sources.context.placement.ViewBatch(
      {.endpoint = endpoint, .tokens = cost.tokens}, sources.now);
  Json result = DescribeEndpoint(endpoint, views, sources.context,
                                 [](const PlacementChoice&) { return Json(); });
  if (!HasCandidate(views)) {
    result["waits_for"] = "a replica with a slot";
  }
  return result;
}

Json DescribeSubmission(const ExplanationQuery& query,
                        const Route& route,
                        const ExplanationSources& sources) {
  const TokenRequest request = sources.batch_service.DescribeTokens(
      route.name, query.workspace, route.waiting_token_limit,
      query.prompt_tokens + query.output_tokens);
  const auto decision = DecideOnTokens(request);
  Json json = {{"limit", request.limit},
               {"waiting", request.waiting},
               {"being_appended", request.reserved},
               {"of_the_job", request.tokens},
               {"decision", ToString(decision)}};
  if (decision == TokenDecision::kRefuse) {
    json["status"] = http_status::kTooManyRequests;
  }
  return json;
}

}  // namespace

ExplanationQuery DecodeExplanationQuery(const RequestHead& head) {
  const auto text = [&head](std::string_view name) {
    return PercentDecode(head.QueryValue(name));
  };
  ExplanationQuery query{
      .route = text("route"),
      .host = text("host"),
      .path = text("path"),
      .workspace = text("workspace"),
      .job = text("job"),
      .prompt_tokens = NumberOr(head.QueryValue("tokens"), 0),
      .output_tokens = NumberOr(head.QueryValue("output_tokens"), 0)};
  if (const auto estimate = head.QueryValue("estimate"); !estimate.empty()) {
    query.output_token_estimate = NumberOr(estimate, 0);
  }
  return query;
}

std::optional<std::string> Explain(const ExplanationQuery& query,
                                   const ExplanationSources& sources) {
  const Route* route = RouteOf(query, sources.config);
  if (route == nullptr) {
    return std::nullopt;
  }
  const ForwardingContext& context = sources.context;
  const WorkEstimate cost = context.estimator.Estimate(
      {.route = route->name,
       .prompt_tokens = query.prompt_tokens,
       .output_token_limit = query.output_tokens,
       .output_token_estimate = query.output_token_estimate});
  const bool is_batch = route->kind == RequestKind::kBatch;
  Json json = {
      {"configuration", sources.config.version},
      {"route", route->name},
      {"kind", ToString(route->kind)},
      {"placement", ToString(context.placement.policy())},
      {"registry_age_ms", Milliseconds(context.registry_age())},
      {"cost",
       {{"seconds", cost.seconds()},
        {"prompt_seconds", cost.prompt_seconds},
        {"events", cost.events},
        {"tokens", cost.tokens},
        {"mean_error", context.estimator.MeanError(route->name).value_or(0)}}}};
  if (sources.config.requires_keys()) {
    const Workspace* workspace = sources.config.FindWorkspace(query.workspace);
    json["workspace"] = {{"name", query.workspace},
                         {"known", workspace != nullptr},
                         {"priority", EffectivePriority(*route, workspace)}};
    if (workspace == nullptr && !route->is_anonymous) {
      json["workspace"]["status"] = http_status::kUnauthorized;
    }
    if (workspace != nullptr && !is_batch) {
      json["workspace"]["allotment"] =
          DescribeAllotment(query.workspace, sources);
    }
  }
  if (is_batch) {
    json["tokens"] = DescribeSubmission(query, *route, sources);
  }
  if (is_batch && !query.job.empty()) {
    const std::string identity = MakeJobIdentity(query.workspace, query.job);
    json["job"] = {{"id", query.job},
                   {"partition", sources.batch_service.PartitionOf(identity)},
                   {"runs_at_this_host",
                    sources.batch_service.runner().OwnsJob(identity)}};
  }
  json["endpoints"] = Json::array();
  for (const auto& share : route->shares) {
    Json endpoint =
        is_batch ? DescribeBatch(share.endpoint, cost, sources)
                 : DescribeOnline(query, *route, share.endpoint, cost, sources);
    endpoint["weight"] = share.weight;
    endpoint["mean_service_ms"] =
        Milliseconds(context.placement.MeanServiceTime(share.endpoint));
    json["endpoints"].push_back(std::move(endpoint));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace crocus
