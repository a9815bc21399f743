#ifndef LIBSERVING_CALLER_IDENTITY_H_
#define LIBSERVING_CALLER_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/time.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// Greatest age of a configuration from which a key is judged to be unknown.
/// Callers are told after 2 s that a key may be newer than this host's copy; a
/// read of the configuration waits up to 1 s for records, so the age of a copy
/// that is current reaches 2 s as well.
inline constexpr Duration kMaximumConfigurationAge = std::chrono::seconds(3);

enum class CallerOutcome {
  /// The key belongs to a workspace.
  kIdentified,
  /// The caller needs no key and has given none.
  kAnonymous,
  kMissingKey,
  kUnknownKey,
  /// The key is unknown, but it may be newer than this host's configuration.
  kOutdatedConfiguration,
};

/// The outcome's name in logs and metrics.
std::string_view ToString(CallerOutcome outcome);

/// Who sends a request.
struct CallerIdentity {
  CallerOutcome outcome = CallerOutcome::kAnonymous;
  /// A workspace of the configuration; null unless the caller is identified.
  const Workspace* workspace = nullptr;

  /// True if the request may be served.
  bool is_accepted() const {
    return this->outcome == CallerOutcome::kIdentified ||
           this->outcome == CallerOutcome::kAnonymous;
  }
  /// Name of the workspace; empty if there is none.
  std::string workspace_name() const {
    return this->workspace == nullptr ? std::string() : this->workspace->name;
  }

  bool operator==(const CallerIdentity&) const = default;
};

/// Identifies the sender of a request. `key` is not set if the request carries
/// none, and empty if what it carries cannot be a key. `route` is null for
/// calls on batch jobs: they name no route, and whether they need a key depends
/// on the job. `config_age` is the age of this host's copy of the
/// configuration.
CallerIdentity IdentifyCaller(const std::optional<std::string>& key,
                              const Route* route,
                              const RoutingConfig& config,
                              Duration config_age);

/// The priority of a workspace's requests to a route; 0 is the most urgent.
std::uint32_t EffectivePriority(const Route& route, const Workspace* workspace);

/// Eight hexadecimal digits that stand for an unknown key in logs.
std::string KeyFingerprint(std::string_view key);

}  // namespace crocus

#endif  // LIBSERVING_CALLER_IDENTITY_H_
