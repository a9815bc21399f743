#ifndef LIBSERVING_KEYED_RECORD_H_
#define LIBSERVING_KEYED_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// A record to append to a keyed topic. Without a value, it deletes the key.
struct KeyedWrite {
  std::string key;
  std::optional<std::string> value;

  bool operator==(const KeyedWrite&) const = default;
};

/// A record of a keyed topic. The store keeps the newest record of each key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t offset = 0;

  bool operator==(const KeyedRecord&) const = default;
};

/// A partition of a topic of the store.
struct TopicPartition {
  std::string topic;
  std::uint32_t partition = 0;

  bool operator==(const TopicPartition&) const = default;
  bool operator<(const TopicPartition& other) const {
    return std::tie(this->topic, this->partition) <
           std::tie(other.topic, other.partition);
  }
};

struct AppendReply {
  /// Offset of the first record.
  std::uint64_t offset = 0;
  /// Offset after the last record.
  std::uint64_t end_offset = 0;

  bool operator==(const AppendReply&) const = default;
};

/// Consecutive records of a topic.
struct KeyedPage {
  std::vector<KeyedRecord> records;
  /// Records that were left out because they have no key that can be read.
  std::uint32_t unreadable_records = 0;
  /// Offset at which the next read starts.
  std::uint64_t next_offset = 0;
  /// End of the topic when it was read.
  std::uint64_t end_offset = 0;

  bool operator==(const KeyedPage&) const = default;
};

/// A page of the newest records of the keys of a topic.
struct NewestPage {
  std::vector<KeyedRecord> records;
  /// Records that were left out because they cannot be read.
  std::uint32_t unreadable_records = 0;
  /// The last key of the page, also of a record that was left out.
  std::string last_key;
  bool has_more = false;
  std::uint64_t end_offset = 0;

  bool operator==(const NewestPage&) const = default;
};

/// A member of a group to which the store assigns the partitions of a topic.
struct GroupMembership {
  std::string group;
  std::string member;
  std::string topic;
  /// The store removes a member that has not joined again for this long.
  Duration time_to_live{};
  /// The last generation that the member has received; 0 at first.
  std::uint64_t generation = 0;
};

struct GroupAssignment {
  std::uint64_t generation = 0;
  /// Partitions that are assigned to the member.
  std::vector<std::uint32_t> partitions;

  bool operator==(const GroupAssignment&) const = default;
};

}  // namespace crocus

#endif  // LIBSERVING_KEYED_RECORD_H_
