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
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(random.Next()),
                static_cast<unsigned long long>(random.Next()));
  return prefix + "-" + text;
}

}  // namespace crocus
