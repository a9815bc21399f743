#ifndef LIBPOLICY_OUTLIER_DETECTOR_H_
#define LIBPOLICY_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

struct OutlierDetectorOptions {
  /// A replica is slow if its recent time exceeds this multiple of the median
  /// of the replicas. Below 2, differences in load would count as slowness.
  double first_token_factor = 2.5;
  double token_factor = 2;
  /// A time between tokens above this multiple of the median is assumed to be
  /// the gap of a suspended stream and is ignored.
  double suspended_gap_factor = 15;
  /// A time up to this multiple of the median is evidence of recovery.
  double recovery_factor = 1.5;
  std::uint32_t samples_before_ejection = 3;
  std::uint32_t failures_before_ejection = 3;
  /// Evidence after which an ejected replica is readmitted if no slow time or
  /// failure came in between. The streams that still run on it count as well as
  /// probes do: each good time between tokens counts as one, a good first token
  /// as several.
  std::uint32_t evidence_before_readmission = 8;
  std::uint32_t first_token_evidence = 4;
  /// Weight of the newest time in the running mean.
  double newest_sample_weight = 0.3;
  /// An ejected replica is probed if it gave no evidence for this long. Each
  /// probe may be a slow request.
  Duration probe_interval = std::chrono::seconds(2);
  /// Older observations are ignored.
  Duration observation_lifetime = std::chrono::seconds(10);

  bool operator==(const OutlierDetectorOptions&) const = default;
};

/// Detects the slow or failing replicas of one endpoint from the times that
/// this entry observes, relative to the other replicas. Not thread-safe.
class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierDetectorOptions options = {})
      : options(options) {}

  void OnFirstToken(const std::string& replica, Duration time, TimePoint now);
  /// Mean time between tokens of one chunk or attempt.
  void OnToken(const std::string& replica, Duration time, TimePoint now);
  /// An attempt has been waiting this long for its first token.
  void OnWaiting(const std::string& replica, Duration waited, TimePoint now);
  void OnFailure(const std::string& replica, TimePoint now);

  /// Returns those of `replicas` that get no requests except probes: never more
  /// than `ejected_share` of them, rounded down. A replica that is missing from
  /// one call, for example because it does not serve the request's model, keeps
  /// its state.
  std::set<std::string> Evaluate(const std::vector<std::string>& replicas,
                                 double ejected_share,
                                 TimePoint now);

  /// Returns an ejected replica of the last evaluation that is due for a probe,
  /// and schedules its next probe one interval later.
  std::optional<std::string> TakeProbe(TimePoint now);

  const std::set<std::string>& ejected() const { return this->ejected_names; }

 private:
  struct Mean {
    double seconds = 0;
    std::uint32_t samples = 0;
    TimePoint updated{};
  };
  struct Observation {
    Mean first_token;
    Mean token;
    std::uint32_t failures = 0;
    TimePoint last_failure{};
    std::uint32_t evidence = 0;
    TimePoint next_probe{};
    /// When it was last among the evaluated replicas.
    TimePoint last_evaluated{};
  };
  /// Medians over the replicas, in seconds; 0 if unknown.
  struct Medians {
    double first_token = 0;
    double token = 0;
  };

  void Add(Mean& mean, Duration time, TimePoint now) const;
  bool IsFresh(const Mean& mean, TimePoint now) const;
  Medians MediansOf(const std::vector<std::string>& replicas,
                    TimePoint now) const;
  /// Largest ratio of the replica's times to their limits, which is above 1 for
  /// a slow replica. A replica with too many failures also scores above 1.
  double Score(const Observation& observation,
               const Medians& medians,
               TimePoint now) const;
  void EvictMissing(TimePoint now);
  /// Adds evidence of recovery of an ejected replica. A weight of 0, for a slow
  /// time or a failure, resets the evidence.
  void AddEvidence(const std::string& replica,
                   std::uint32_t weight,
                   TimePoint now);

  const OutlierDetectorOptions options;
  std::map<std::string, Observation> observations;
  std::set<std::string> ejected_names;
  std::set<std::string> evaluated;
  Medians last_medians;
};

}  // namespace crocus

#endif  // LIBPOLICY_OUTLIER_DETECTOR_H_
