#include "LibPolicy/length_predictor.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace crocus {

namespace {

/// An answer is long if its length is at least this multiple of
/// LengthPredictor::typical_tokens.
constexpr double kLongFactor = 4;

/// Share of long answers in the history from which on a request counts as long.
/// A short request that waits for one of the slots of long requests costs less
/// than a long one that takes a slot of short requests.
constexpr double kLongProbability = 0.3;

/// Number of observed answers before any answer counts as long.
constexpr std::uint64_t kMinimumObservations = 16;

/// Number of answers in a history before it is used.
constexpr double kMinimumHistoryWeight = 4;

/// Number of answers that a history averages over.
constexpr double kHistoryLength = 64;

/// Maximum number of keys of each kind. The rules bound the number of
/// workspaces; this bounds the memory if they do not.
constexpr std::size_t kMaximumKeys = 4096;

double NewestSampleWeight(std::uint64_t observed_count) {
  return 1 / std::min(static_cast<double>(observed_count), kHistoryLength * 4);
}

}  // namespace

void LengthPredictor::Observe(const LengthHints& hints, std::uint32_t tokens) {
  const double length = std::max<double>(tokens, 1);
  ++this->observed_count;
  this->mean_log_tokens += (std::log(length) - this->mean_log_tokens) *
                           NewestSampleWeight(this->observed_count);
  const auto add = [&](History& history) {
    history.weight = std::min(history.weight + 1, kHistoryLength);
    history.tokens += (length - history.tokens) / history.weight;
    history.long_share +=
        ((this->IsLong(length) ? 1 : 0) - history.long_share) / history.weight;
  };
  if (this->by_key.size() >= kMaximumKeys) {
    this->by_key.clear();
  }
  if (this->by_workspace.size() >= kMaximumKeys) {
    this->by_workspace.clear();
  }
  add(this->by_key[MakeKey(hints)]);
  add(this->by_workspace[hints.workspace]);
}

double LengthPredictor::PredictTokens(const LengthHints& hints) const {
  const History* history = this->FindHistory(hints);
  double tokens = history != nullptr ? history->tokens : this->typical_tokens();
  if (hints.token_limit == 0) {
    return tokens;
  }
  if (tokens == 0) {
    tokens = hints.token_limit;
  }
  return std::min<double>(tokens, hints.token_limit);
}

bool LengthPredictor::PredictLong(const LengthHints& hints) const {
  if (hints.token_limit != 0 && !this->IsLong(hints.token_limit)) {
    return false;
  }
  const History* history = this->FindHistory(hints);
  return history != nullptr && history->long_share >= kLongProbability;
}

bool LengthPredictor::IsLong(double tokens) const {
  return this->observed_count >= kMinimumObservations &&
         tokens >= kLongFactor * this->typical_tokens();
}

double LengthPredictor::typical_tokens() const {
  return this->observed_count == 0 ? 0 : std::exp(this->mean_log_tokens);
}

LengthPredictor::Key LengthPredictor::MakeKey(const LengthHints& hints) {
  return {hints.workspace, std::bit_width(hints.prompt_tokens),
          std::bit_width(hints.token_limit)};
}

const LengthPredictor::History* LengthPredictor::FindHistory(
    const LengthHints& hints) const {
  if (const auto found = this->by_key.find(MakeKey(hints));
      found != this->by_key.end() &&
      found->second.weight >= kMinimumHistoryWeight) {
    return &found->second;
  }
  if (const auto found = this->by_workspace.find(hints.workspace);
      found != this->by_workspace.end() &&
      found->second.weight >= kMinimumHistoryWeight) {
    return &found->second;
  }
  return nullptr;
}

}  // namespace crocus
