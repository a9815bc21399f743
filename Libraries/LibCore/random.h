#ifndef LIBCORE_RANDOM_H_
#define LIBCORE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace crocus {

/// Seeded generator; the same seed gives the same sequence. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}

  /// Uniform in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return this->engine() % bound; }

  /// Uniform in [0, 1).
  double Unit() {
    return static_cast<double>(this->engine() >> 11) * 0x1.0p-53;
  }

  /// True with the given probability.
  bool Chance(double probability) { return this->Unit() < probability; }

  /// Exponential with the given mean.
  double Exponential(double mean);

  std::uint64_t Next() { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

/// Returns a random 64-bit value from the operating system.
std::uint64_t SystemRandom();

/// Returns an identifier that is unique across processes: `prefix`, a dash and
/// 32 random hexadecimal digits. Thread-safe.
std::string MakeIdentifier(const std::string& prefix);

/// As above, with digits from `random`: unique if the seed of `random` is
/// unique, and the same in each run with that seed.
std::string MakeIdentifier(const std::string& prefix, Random& random);

}  // namespace crocus

#endif  // LIBCORE_RANDOM_H_
