#include "LibCore/random.h"

#include <cmath>
#include <cstdio>

namespace crocus {

double Random::Exponential(double mean) {
  return -mean * std::log1p(-this->Unit());
}

std::uint64_t SystemRandom() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string MakeIdentifier(const std::string& prefix) {
  thread_local Random random(SystemRandom());
  return MakeIdentifier(prefix, random);
}

std::string MakeIdentifier(const std::string& prefix, Random& random) {
  // Compilers evaluate arguments in different orders; separate statements make
  // the identifier depend on the seed only.
  const auto high = static_cast<unsigned long long>(random.Next());
  const auto low = static_cast<unsigned long long>(random.Next());
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx", high, low);
  return prefix + "-" + text;
}

}  // namespace crocus
