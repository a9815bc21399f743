#ifndef LIBSERVING_ONLINE_VARIATION_H_
#define LIBSERVING_ONLINE_VARIATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "LibCore/time.h"

namespace crocus {

struct OnlineVariationOptions {
  /// A rise is measured over this time. A batch run that is stopped sooner has
  /// done little besides reading its prompt.
  Duration horizon = std::chrono::milliseconds(1000);
  /// Time constant of the mean.
  Duration memory = std::chrono::seconds(2);
  /// Reserved slots for each slot of a usual rise. Rises vary, and twice the
  /// usual one is rare.
  double slots_per_rise = 2;
};

/// How many slots of a replica batch work should leave free, so that a run is
/// not started to be stopped at once: as many as the online requests at a
/// replica of the endpoint usually rise by within a short time. Not
/// thread-safe.
class OnlineVariation {
 public:
  explicit OnlineVariation(OnlineVariationOptions options = {})
      : options(options) {}

  /// Online requests of all hosts at each replica of the endpoint.
  void Sample(const std::string& endpoint,
              const std::map<std::string, std::uint32_t>& online,
              TimePoint now);

  /// Slots to leave free at a replica of the endpoint.
  std::uint32_t Reserve(const std::string& endpoint) const;

  /// Drops endpoints that were not sampled for a while.
  void Expire(TimePoint now);

  std::size_t size() const { return this->endpoints.size(); }

 private:
  struct Sampled {
    TimePoint time{};
    std::map<std::string, std::uint32_t> online;
  };
  struct Endpoint {
    std::deque<Sampled> samples;
    /// Moving average of the mean square rise.
    double mean_square = 0;
  };

  const OnlineVariationOptions options;
  std::map<std::string, Endpoint> endpoints;
};

}  // namespace crocus

#endif  // LIBSERVING_ONLINE_VARIATION_H_
