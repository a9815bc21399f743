#ifndef LIBSERVING_REPORT_SOURCE_H_
#define LIBSERVING_REPORT_SOURCE_H_

#include <string>
#include <tuple>

namespace crocus {

/// Whose outstanding requests a load report describes: those of one host, or,
/// if `host` is empty, those of all hosts of an availability zone together.
struct ReportSource {
  /// Empty if the zone of the host is not known.
  std::string availability_zone;
  std::string host;

  bool is_whole_zone() const { return this->host.empty(); }

  bool operator==(const ReportSource&) const = default;
  bool operator<(const ReportSource& other) const {
    return std::tie(this->availability_zone, this->host) <
           std::tie(other.availability_zone, other.host);
  }
};

}  // namespace crocus

#endif  // LIBSERVING_REPORT_SOURCE_H_
