#ifndef GATEWAY_EXPLANATION_H_
#define GATEWAY_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Gateway/batch_service.h"
#include "Gateway/forwarding_context.h"
#include "LibAsyncHttp/http_head.h"
#include "LibServing/routing_config.h"
#include "LibServing/workspace_allotments.h"

namespace crocus {

/// The request or job that an operator asks about.
struct ExplanationQuery {
  /// Name of the route; if it is empty, `host` and `path` select it.
  std::string route;
  std::string host;
  std::string path;
  /// Name of the workspace; empty for callers without one.
  std::string workspace;
  /// Id of a batch job.
  std::string job;
  std::uint64_t prompt_tokens = 0;
  /// Limit of the output tokens.
  std::uint64_t output_tokens = 0;
  std::optional<std::uint64_t> output_token_estimate;

  bool operator==(const ExplanationQuery&) const = default;
};

/// What the decisions are made by. Nothing of it is changed.
struct ExplanationSources {
  const RoutingConfig& config;
  const ForwardingContext& context;
  const WorkspaceAllotments& allotments;
  const BatchService& batch_service;
  TimePoint now;
};

/// The query of `GET /explain`.
ExplanationQuery DecodeExplanationQuery(const RequestHead& head);

/// Tells as JSON where the request or job would be placed now, and why, or why
/// it would be refused. It calls the decisions that requests go through,
/// without counting. None if there is no such route.
std::optional<std::string> Explain(const ExplanationQuery& query,
                                   const ExplanationSources& sources);

}  // namespace crocus

#endif  // GATEWAY_EXPLANATION_H_
