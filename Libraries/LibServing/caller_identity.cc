#include "LibServing/caller_identity.h"

#include "LibCore/hashing.h"

namespace crocus {

std::string_view ToString(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kIdentified:
      return "identified";
    case CallerOutcome::kAnonymous:
      return "anonymous";
    case CallerOutcome::kMissingKey:
      return "missing_key";
    case CallerOutcome::kUnknownKey:
      return "unknown_key";
    case CallerOutcome::kOutdatedConfiguration:
      return "outdated_configuration";
  }
  return "unknown_key";
}

CallerIdentity IdentifyCaller(const std::optional<std::string>& key,
                              const Route* route,
                              const RoutingConfig& config,
                              Duration config_age) {
  if (!config.requires_keys()) {
    return {};
  }
  if (!key) {
    const bool is_key_needed = route != nullptr && !route->is_anonymous;
    return {.outcome = is_key_needed ? CallerOutcome::kMissingKey
                                     : CallerOutcome::kAnonymous};
  }
  if (key->empty()) {
    return {.outcome = CallerOutcome::kUnknownKey};
  }
  if (const Workspace* workspace = config.FindWorkspaceByKey(*key)) {
    return {.outcome = CallerOutcome::kIdentified, .workspace = workspace};
  }
  return {.outcome = config_age > kMaximumConfigurationAge
                         ? CallerOutcome::kOutdatedConfiguration
                         : CallerOutcome::kUnknownKey};
}

std::uint32_t EffectivePriority(const Route& route,
                                const Workspace* workspace) {
  return workspace == nullptr ? route.priority
                              : workspace->priority.value_or(route.priority);
}

std::string KeyFingerprint(std::string_view key) {
  constexpr std::size_t kDigits = 8;
  return DigestOf(key).substr(0, kDigits);
}

}  // namespace crocus
