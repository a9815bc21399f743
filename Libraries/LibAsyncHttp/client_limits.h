#ifndef LIBASYNCHTTP_CLIENT_LIMITS_H_
#define LIBASYNCHTTP_CLIENT_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace crocus {

/// What a process may use of its host. 0 means that it is not known.
struct HostResources {
  std::uint64_t memory_bytes = 0;
  std::uint64_t open_files = 0;
  /// The descriptors that the process may open by its resource limit.
  std::uint64_t descriptor_limit = 0;

  bool operator==(const HostResources&) const = default;
};

/// Reads what the process may use. The arguments are the settings `[limits]
/// memory_megabytes` and `open_files`.
HostResources ReadHostResources(std::uint64_t memory_megabytes,
                                std::uint64_t open_files);

/// The part of the host that clients may use.
struct ClientLimits {
  std::uint64_t memory_bytes = 0;
  std::size_t connections = 0;

  bool operator==(const ClientLimits&) const = default;
};

/// Divides the host between clients and the process itself: its tables, its
/// connections to replicas and the store, one request being decoded, and memory
/// that the allocator has not given back.
ClientLimits DecideClientLimits(const HostResources& host);

}  // namespace crocus

#endif  // LIBASYNCHTTP_CLIENT_LIMITS_H_
