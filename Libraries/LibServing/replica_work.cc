#include "LibServing/replica_work.h"

#include <algorithm>

namespace crocus {

namespace {

/// Below this, nothing is left but errors of rounding.
constexpr double kNothing = 1e-6;
/// Weight of the newest request in the mean tokens.
constexpr double kSmoothing = 0.02;

}  // namespace

void ReplicaWork::Add(const std::string& replica, const WorkLeft& work) {
  WorkLeft& left = this->work_left[replica];
  left.seconds += work.seconds;
  left.tokens += work.tokens;
  if (work.tokens > 0) {
    this->mean_of_tokens += (this->mean_of_tokens == 0 ? 1 : kSmoothing) *
                            (work.tokens - this->mean_of_tokens);
  }
}

void ReplicaWork::Remove(const std::string& replica, const WorkLeft& work) {
  const auto found = this->work_left.find(replica);
  if (found == this->work_left.end()) {
    return;
  }
  WorkLeft& left = found->second;
  left.seconds = std::max(0.0, left.seconds - work.seconds);
  left.tokens = std::max(0.0, left.tokens - work.tokens);
  if (left.seconds < kNothing && left.tokens < kNothing) {
    this->work_left.erase(found);
  }
}

WorkLeft ReplicaWork::Own(const std::string& replica) const {
  const auto found = this->work_left.find(replica);
  return found == this->work_left.end() ? WorkLeft{} : found->second;
}

WorkLeft ReplicaWork::Sum() const {
  WorkLeft sum;
  for (const auto& [replica, left] : this->work_left) {
    sum.seconds += left.seconds;
    sum.tokens += left.tokens;
  }
  return sum;
}

}  // namespace crocus
