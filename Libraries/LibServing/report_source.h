#ifndef LIBSERVING_REPORT_SOURCE_H_
#define LIBSERVING_REPORT_SOURCE_H_

#include <compare>
#include <string>

namespace crocus {

/// Whose outstanding requests a load report describes: those of one host, or,
/// if `host` is empty, those of all hosts of an availability zone together.
struct ReportSource {
  /// Empty if the zone of the host is not known.
  std::string availability_zone;
  std::string host;

  bool is_whole_zone() const { return this->host.empty(); }

  auto operator<=>(const ReportSource&) const = default;
};

}  // namespace crocus

#endif  // LIBSERVING_REPORT_SOURCE_H_
