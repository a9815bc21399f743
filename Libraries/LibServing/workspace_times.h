#ifndef LIBSERVING_WORKSPACE_TIMES_H_
#define LIBSERVING_WORKSPACE_TIMES_H_

#include <map>
#include <string>

namespace crocus {

/// Accounts of the work that workspaces have been given, as virtual times
/// (start-time fair queueing, Goyal, Vin and Cheng 1996). The virtual time of a
/// workspace is the work that it was given, divided by its weight. Serving the
/// workspace with the lowest one shares the capacity max-min fairly by weight.
/// A workspace without work falls behind the common time and is raised to it
/// when it has work again: it gets no credit for the time between.
///
/// Designed for a few thousand workspaces; a call takes logarithmic time. Work
/// may be in any unit. Not thread-safe.
class WorkspaceTimes {
 public:
  /// Virtual time of the workspace; at least the common time.
  double TimeOf(const std::string& workspace) const;

  /// Counts work of the workspace. Negative work takes back what was counted
  /// too much. `weight` must be above 0.
  void Count(const std::string& workspace, double work, double weight = 1);

  /// The common virtual time.
  double time() const { return this->common_time; }
  /// Raises the common time, if it is lower.
  void AdvanceTo(double time);

  /// Drops the accounts that are not ahead of the common time. Nothing changes
  /// for their workspaces.
  void Prune();

  bool operator==(const WorkspaceTimes&) const = default;

 private:
  std::map<std::string, double> times;
  double common_time = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_WORKSPACE_TIMES_H_
