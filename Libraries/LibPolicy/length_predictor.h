#ifndef LIBPOLICY_LENGTH_PREDICTOR_H_
#define LIBPOLICY_LENGTH_PREDICTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace crocus {

/// Properties of a request that are known before it runs.
struct LengthHints {
  std::string workspace;
  std::uint32_t prompt_tokens = 0;
  /// 0 if the caller set no limit.
  std::uint32_t token_limit = 0;

  bool operator==(const LengthHints&) const = default;
};

/// Predicts how many tokens an answer will have from the answers observed
/// before. Not thread-safe.
class LengthPredictor {
 public:
  /// Records the length of a complete answer.
  void Observe(const LengthHints& hints, std::uint32_t tokens);

  /// Expected length in tokens, at most the token limit.
  double PredictTokens(const LengthHints& hints) const;

  /// Whether the request is probably one of the few that run many times longer
  /// than the rest.
  bool PredictLong(const LengthHints& hints) const;

  /// Whether an answer of this many tokens is long. False until enough answers
  /// have been observed.
  bool IsLong(double tokens) const;

  /// Geometric mean length of the observed answers; 0 if there are none.
  double typical_tokens() const;

 private:
  struct History {
    double weight = 0;
    double tokens = 0;
    double long_share = 0;
  };
  /// Workspace, and power-of-two size classes of the prompt length and of the
  /// token limit.
  using Key = std::tuple<std::string, int, int>;

  static Key MakeKey(const LengthHints& hints);
  const History* FindHistory(const LengthHints& hints) const;

  std::map<Key, History> by_key;
  std::map<std::string, History> by_workspace;
  double mean_log_tokens = 0;
  std::uint64_t observed_count = 0;
};

}  // namespace crocus

#endif  // LIBPOLICY_LENGTH_PREDICTOR_H_
