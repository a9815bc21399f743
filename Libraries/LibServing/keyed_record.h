#ifndef LIBSERVING_KEYED_RECORD_H_
#define LIBSERVING_KEYED_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// A record to append to a keyed topic. Without a value the key is dropped.
struct KeyedWrite {
  std::string key;
  std::optional<std::string> value;

  bool operator==(const KeyedWrite&) const = default;
};

/// A record of a keyed topic. The store keeps the newest one of each key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t offset = 0;

  bool operator==(const KeyedRecord&) const = default;
};

struct AppendReply {
  /// Of the first record.
  std::uint64_t offset = 0;
  /// After the last record.
  std::uint64_t end_offset = 0;

  bool operator==(const AppendReply&) const = default;
};

/// Consecutive records of a topic.
struct KeyedPage {
  std::vector<KeyedRecord> records;
  /// Offset from which to read on.
  std::uint64_t next_offset = 0;
  /// End of the topic when it was read.
  std::uint64_t end_offset = 0;

  bool operator==(const KeyedPage&) const = default;
};

/// Newest records of some keys.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool has_more = false;
  std::uint64_t end_offset = 0;

  bool operator==(const NewestPage&) const = default;
};

/// A member of a group among which the store deals the partitions of a topic.
struct GroupMembership {
  std::string group;
  std::string member;
  std::string topic;
  /// The store takes a member that is silent for this long to be gone.
  Duration time_to_live{};
  /// The last generation that the member has seen; 0 at first.
  std::uint64_t generation = 0;
};

struct GroupAssignment {
  std::uint64_t generation = 0;
  /// Partitions that the member holds.
  std::vector<std::uint32_t> partitions;

  bool operator==(const GroupAssignment&) const = default;
};

}  // namespace crocus

#endif  // LIBSERVING_KEYED_RECORD_H_
