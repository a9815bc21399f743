#include "Gateway/forwarding_context.h"

#include <algorithm>
#include <cstdio>

namespace crocus {

namespace {

/// Timeout of a caller that does not specify one.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);

}  // namespace

RequestSize SizeOf(const std::string& route, const RequestMetadata& metadata) {
  return {.route = route,
          .prompt_tokens = metadata.prompt_tokens,
          .output_token_limit = metadata.output_token_limit,
          .output_token_estimate = metadata.output_token_estimate};
}

Duration CallerTimeout(const Route& route, const RequestMetadata& metadata) {
  const Duration timeout = metadata.timeout.value_or(kDefaultTimeout);
  return route.timeout > Duration::zero() ? std::min(timeout, route.timeout)
                                          : timeout;
}

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string DecimalText(double value) {
  char text[48];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

std::string PartsText(const std::vector<std::string>& parts) {
  constexpr std::size_t kMaximumLoggedBytes = 256;
  std::string text;
  for (const auto& id : parts) {
    if (text.size() + id.size() > kMaximumLoggedBytes) {
      return text + ",...";
    }
    text += (text.empty() ? "" : ",") + id;
  }
  return text;
}

std::string LoadText(const PlacementChoice& choice) {
  return std::to_string(choice.load.online) + "+" +
         std::to_string(choice.load.batch) + "/" + std::to_string(choice.slots);
}

}  // namespace crocus
