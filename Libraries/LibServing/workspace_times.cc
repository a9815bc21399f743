#include "LibServing/workspace_times.h"

#include <algorithm>

namespace crocus {

double WorkspaceTimes::TimeOf(const std::string& workspace) const {
  const auto found = this->times.find(workspace);
  return found == this->times.end()
             ? this->common_time
             : std::max(found->second, this->common_time);
}

void WorkspaceTimes::Count(const std::string& workspace,
                           double work,
                           double weight) {
  this->times[workspace] = this->TimeOf(workspace) + work / weight;
}

void WorkspaceTimes::AdvanceTo(double time) {
  this->common_time = std::max(this->common_time, time);
}

void WorkspaceTimes::Prune() {
  std::erase_if(this->times, [this](const auto& entry) {
    return entry.second <= this->common_time;
  });
}

}  // namespace crocus
