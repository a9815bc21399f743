#ifndef LIBSERVING_DROPPED_ROUTES_H_
#define LIBSERVING_DROPPED_ROUTES_H_

#include <map>
#include <string>

#include "LibCore/time.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// The open batch jobs whose route a configuration has dropped. Their items can
/// not run any more, so they are abandoned, but not at once: the operator may
/// add the route again, and this host may not know a new route yet on which
/// another host has accepted the job.
class DroppedRoutes {
 public:
  /// Notes which open jobs have no route. `config_as_of` is when the read was
  /// sent that last showed the configuration to be the newest one.
  void Update(const BatchJobTable& job_table,
              const RoutingConfig& config,
              TimePoint config_as_of,
              TimePoint now);

  /// True if the job's route has been missing for a while, also in the
  /// configuration that was the newest one after the job had been accepted.
  bool IsDropped(const std::string& job) const;

 private:
  struct Absence {
    TimePoint since{};
    bool is_final = false;
  };

  /// By job.
  std::map<std::string, Absence> absences;
};

}  // namespace crocus

#endif  // LIBSERVING_DROPPED_ROUTES_H_
