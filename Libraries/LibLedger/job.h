#ifndef LIBLEDGER_JOB_H_
#define LIBLEDGER_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibMessages/records.h"

namespace crocus {

enum class JobState : std::uint8_t {
  kReceiving,
  kAccepted,
  kCancelled,
  kFinished
};

/// Returns the state's name in the HTTP interface, such as "accepted".
std::string_view ToString(JobState state);

/// A batch job without the texts of its items: prompts and results stay in the
/// log and are found by offset. An item of an open job takes one byte, and a
/// closed job keeps only the positions of its results.
struct Job {
  /// Largest number of items. Replay ignores an item whose index is not below
  /// it.
  static constexpr std::uint32_t kMaximumItems = 410000;

  std::string id;
  std::string workspace;
  std::string request_class;
  std::string model;
  std::int64_t due_ms = 0;
  JobState state = JobState::kReceiving;
  std::uint32_t item_count = 0;
  std::uint32_t received_count = 0;
  std::uint32_t finished_count = 0;
  std::uint32_t failed_count = 0;
  /// Offset at which the job was finished or cancelled.
  std::uint64_t closed_offset = 0;
  /// One byte for each item, empty once the job is closed.
  std::string items;
  /// Positions of the items' bodies, by first item index.
  std::map<std::uint32_t, records::ItemRun> item_runs;
  /// Positions of the results, in the order in which the items finished.
  std::vector<records::ResultRun> result_runs;

  bool operator==(const Job&) const = default;

  bool is_closed() const {
    return this->state == JobState::kCancelled ||
           this->state == JobState::kFinished;
  }
  bool HasReceived(std::uint32_t index) const;
  bool IsFinished(std::uint32_t index) const;
  /// Failed attempts of an item, at most 63.
  std::uint32_t FailuresOf(std::uint32_t index) const;
  /// Offset of the append that holds the item's body; 0 if there is none.
  std::uint64_t BodyOffset(std::uint32_t index) const;
  /// Offset of the newest append that holds a body; 0 if there is none.
  std::uint64_t NewestBodyOffset() const;

  void Receive(std::uint32_t index, std::uint64_t offset);
  /// Moves the body of a received item to another append.
  void MoveBody(std::uint32_t index, std::uint64_t offset);
  void CountFailure(std::uint32_t index);
  void MarkFinished(std::uint32_t index);
  void Close(JobState closed_state, std::uint64_t offset);

  records::JobSummary ToSummary() const;
  static Job FromSummary(const records::JobSummary& summary);
};

/// Finds an item's body in an append.
std::optional<records::ItemBody> FindItemBody(const records::Append& append,
                                              const std::string& job,
                                              std::uint32_t index);

/// Reads the results of a run from its append, in order.
std::vector<records::ItemResult> ReadResults(const records::Append& append,
                                             const std::string& job,
                                             const records::ResultRun& run);

}  // namespace crocus

#endif  // LIBLEDGER_JOB_H_
