#include "LibPolicy/admission.h"

#include <algorithm>

#include "LibCore/assertions.h"

namespace crocus {

namespace {

/// Callers choose the names of workspaces and classes, so idle ones are evicted
/// beyond this number.
constexpr std::size_t kEvictionThreshold = 4096;

WorkspaceRule FindWorkspaceRule(const RuleSet& rules,
                                const std::string& workspace) {
  const auto found = rules.workspaces.find(workspace);
  return found == rules.workspaces.end() ? WorkspaceRule{} : found->second;
}

double WeightOf(const RuleSet& rules,
                const std::string& workspace,
                const std::string& request_class) {
  return FindWorkspaceRule(rules, workspace).share *
         FindClassRule(rules, workspace, request_class).share;
}

}  // namespace

ClassRule FindClassRule(const RuleSet& rules,
                        const std::string& workspace,
                        const std::string& request_class) {
  for (const auto& name : {workspace, std::string("*")}) {
    if (const auto found = rules.classes.find({name, request_class});
        found != rules.classes.end()) {
      return found->second;
    }
  }
  return {};
}

std::optional<AdmissionRefusal> Admission::Admit(
    const AdmissionRequest& request,
    const AdmissionLoad& load,
    const RuleSet& rules,
    TimePoint now) {
  if (load.expected_wait > request.timeout) {
    return AdmissionRefusal{
        .reason = "patience_too_short",
        .retry_after = load.expected_wait - request.timeout};
  }
  this->EvictIdle(now);
  const ShareKey key{request.model, request.workspace, request.request_class};
  this->shares[key].last_active = now;
  if (load.outstanding >=
          this->options.overload_requests_per_slot * load.slots &&
      this->ExceedsShare(key, load, rules, now)) {
    return AdmissionRefusal{.reason = "overloaded",
                            .retry_after = this->options.retry_after};
  }
  // The limits are checked last because the check takes tokens from the
  // buckets.
  if (auto refusal = this->CheckLimits(request, rules, now)) {
    return refusal;
  }
  ++this->workspaces[request.workspace].running;
  ++this->shares[key].running;
  return std::nullopt;
}

void Admission::Finish(const AdmissionRequest& request, TimePoint now) {
  Workspace& workspace = this->workspaces[request.workspace];
  ShareState& share =
      this->shares[{request.model, request.workspace, request.request_class}];
  VERIFY(workspace.running > 0 && share.running > 0);
  --workspace.running;
  --share.running;
  share.last_active = now;
}

void Admission::EvictIdle(TimePoint now) {
  if (this->shares.size() > kEvictionThreshold) {
    std::erase_if(this->shares, [this, now](const auto& item) {
      return item.second.running == 0 &&
             now - item.second.last_active > this->options.activity_window;
    });
  }
  if (this->workspaces.size() > kEvictionThreshold) {
    std::erase_if(this->workspaces, [this, now](const auto& item) {
      return item.second.running == 0 &&
             now - item.second.requests.updated > this->options.activity_window;
    });
  }
}

void Admission::Refill(Bucket& bucket, double rate, TimePoint now) const {
  const double capacity = std::max(1.0, rate * this->options.burst_seconds);
  const double refilled = ToSeconds(now - bucket.updated) * rate;
  bucket.level = bucket.is_initialized
                     ? std::min(capacity, bucket.level + refilled)
                     : capacity;
  bucket.updated = now;
  bucket.is_initialized = true;
}

std::optional<AdmissionRefusal> Admission::CheckLimits(
    const AdmissionRequest& request,
    const RuleSet& rules,
    TimePoint now) {
  const WorkspaceRule rule = FindWorkspaceRule(rules, request.workspace);
  Workspace& workspace = this->workspaces[request.workspace];
  const double share = this->options.entry_share;
  if (rule.concurrent_requests > 0 &&
      workspace.running >= std::max(1.0, rule.concurrent_requests * share)) {
    return AdmissionRefusal{.reason = "concurrency_limit",
                            .retry_after = this->options.retry_after};
  }
  const double request_rate = rule.requests_per_second * share;
  const double token_rate = rule.tokens_per_second * share;
  this->Refill(workspace.requests, request_rate, now);
  this->Refill(workspace.tokens, token_rate, now);
  if (request_rate > 0 && workspace.requests.level < 1) {
    return AdmissionRefusal{.reason = "request_rate",
                            .retry_after = FromSeconds(
                                (1 - workspace.requests.level) / request_rate)};
  }
  // A request larger than the bucket is admitted at any positive level and
  // makes the level negative; otherwise it would always be refused.
  if (token_rate > 0 && workspace.tokens.level <= 0) {
    return AdmissionRefusal{
        .reason = "token_rate",
        .retry_after = FromSeconds((1 - workspace.tokens.level) / token_rate)};
  }
  workspace.requests.level -= request_rate > 0 ? 1 : 0;
  workspace.tokens.level -= token_rate > 0 ? request.max_tokens : 0;
  return std::nullopt;
}

bool Admission::ExceedsShare(const ShareKey& key,
                             const AdmissionLoad& load,
                             const RuleSet& rules,
                             TimePoint now) {
  std::erase_if(this->shares, [this, now](const auto& item) {
    return item.second.running == 0 &&
           now - item.second.last_active > this->options.activity_window;
  });
  double total = 0;
  for (const auto& [other, state] : this->shares) {
    if (std::get<0>(other) == std::get<0>(key)) {
      total += WeightOf(rules, std::get<1>(other), std::get<2>(other));
    }
  }
  const double weight = WeightOf(rules, std::get<1>(key), std::get<2>(key));
  const double allowed =
      this->options.shared_requests_per_slot * load.slots * weight / total;
  // One request is always allowed, so that a small share does not starve.
  return this->shares[key].running >= std::max(1.0, allowed);
}

}  // namespace crocus
