#include "LibAsyncHttp/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace crocus {

namespace {

/// Memory of the smallest host of the users' platform.
constexpr std::uint64_t kSmallestHostBytes = 112u << 20;
/// Descriptors that the platform reserves for files.
constexpr std::uint64_t kFileDescriptors = 200;
/// Descriptors of the listeners, the store, peers, and connections for
/// readiness and metrics.
constexpr std::uint64_t kInternalDescriptors = 200;
/// Memory of a connection without any bytes.
constexpr std::uint64_t kConnectionBytes = 8u << 10;
/// Open connections without any bytes may use this part of the clients' memory.
constexpr std::uint64_t kConnectionShare = 4;

}  // namespace

HostResources ReadHostResources(std::uint64_t memory_megabytes,
                                std::uint64_t open_files) {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  return {.memory_bytes = memory_megabytes << 20,
          .open_files = open_files,
          .descriptor_limit = descriptors.rlim_cur};
}

ClientLimits DecideClientLimits(const HostResources& host) {
  const std::uint64_t memory =
      host.memory_bytes == 0 ? kSmallestHostBytes : host.memory_bytes;
  const std::uint64_t files =
      host.open_files == 0 ? host.descriptor_limit
                           : std::min(host.open_files, host.descriptor_limit);
  const std::uint64_t reserved = kFileDescriptors + kInternalDescriptors;
  const std::uint64_t usable = files > reserved ? files - reserved : 0;
  const std::uint64_t client_bytes = memory / 2;
  // Each open request has one connection to a replica besides its caller's.
  const std::uint64_t connections =
      std::min(usable / 2, client_bytes / kConnectionShare / kConnectionBytes);
  return {.memory_bytes = client_bytes,
          .connections = static_cast<std::size_t>(
              std::max<std::uint64_t>(connections, 1))};
}

}  // namespace crocus
