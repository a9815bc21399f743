#ifndef LIBMETRICS_REQUEST_METRICS_H_
#define LIBMETRICS_REQUEST_METRICS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "LibCore/verdict.h"

namespace crocus {

enum class RequestMeasure {
  /// Seconds from the arrival of a request to its first dispatch.
  kQueue,
  /// Seconds from the arrival to the first token.
  kFirstToken,
  /// Seconds from the arrival to the end of the response.
  kTotal,
  /// Tokens of the response.
  kTokens,
};

struct RequestMetricsOptions {
  /// Largest number of pairs of workspace and class with series of their own;
  /// 230 workspaces with 4 classes are 920. Callers choose the names, so
  /// further pairs share the series of workspace "other".
  std::size_t maximum_pairs = 1024;
  /// Largest number of reasons with a counter of their own; further ones are
  /// counted as "other".
  std::size_t maximum_reasons = 128;

  bool operator==(const RequestMetricsOptions&) const = default;
};

/// Histograms of online requests by workspace and class, and counters of
/// verdicts and reasons. Thread-safe; no other lock is taken while its lock is
/// held.
class RequestMetrics {
 public:
  explicit RequestMetrics(RequestMetricsOptions options = {});
  ~RequestMetrics();

  void Observe(RequestMeasure measure,
               const std::string& workspace,
               const std::string& request_class,
               double value);

  /// Counts the end of a request; the reason is empty for a complete response.
  void Count(Verdict verdict, const std::string& reason);

  /// Returns all series in the text format of Prometheus.
  std::string ToPrometheus() const;

 private:
  static constexpr std::size_t kMeasures = 4;
  struct Histograms;
  /// Workspace and class.
  using Pair = std::pair<std::string, std::string>;

  const RequestMetricsOptions options;
  mutable std::mutex mutex;
  std::map<Pair, std::unique_ptr<Histograms>> pairs;
  std::map<std::pair<Verdict, std::string>, std::uint64_t> counts;
};

}  // namespace crocus

#endif  // LIBMETRICS_REQUEST_METRICS_H_
