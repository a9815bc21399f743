#include "LibLedger/job.h"

#include <algorithm>
#include <iterator>

#include "LibCore/assertions.h"
#include "LibMessages/codec.h"

namespace crocus {

namespace {

constexpr std::uint8_t kFinishedBit = 0x80;
constexpr std::uint8_t kReceivedBit = 0x40;
constexpr std::uint8_t kFailuresMask = 0x3f;

std::uint8_t ByteAt(const std::string& items, std::uint32_t index) {
  return index < items.size() ? static_cast<std::uint8_t>(items[index]) : 0;
}

}  // namespace

std::string_view ToString(JobState state) {
  switch (state) {
    case JobState::kReceiving:
      return "receiving";
    case JobState::kAccepted:
      return "accepted";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kFinished:
      return "finished";
  }
  return "unknown";
}

bool Job::HasReceived(std::uint32_t index) const {
  return (ByteAt(this->items, index) & kReceivedBit) != 0;
}

bool Job::IsFinished(std::uint32_t index) const {
  return (ByteAt(this->items, index) & kFinishedBit) != 0;
}

std::uint32_t Job::FailuresOf(std::uint32_t index) const {
  return ByteAt(this->items, index) & kFailuresMask;
}

std::uint64_t Job::BodyOffset(std::uint32_t index) const {
  auto run = this->item_runs.upper_bound(index);
  if (run == this->item_runs.begin()) {
    return 0;
  }
  --run;
  return index - run->second.first < run->second.count ? run->second.offset : 0;
}

std::uint64_t Job::NewestBodyOffset() const {
  std::uint64_t newest = 0;
  for (const auto& [first, run] : this->item_runs) {
    newest = std::max(newest, run.offset);
  }
  return newest;
}

void Job::Receive(std::uint32_t index, std::uint64_t offset) {
  if (index >= kMaximumItems || this->HasReceived(index)) {
    return;
  }
  if (index >= this->items.size()) {
    this->items.resize(index + 1, '\0');
  }
  this->items[index] = static_cast<char>(kReceivedBit);
  ++this->received_count;
  this->MoveBody(index, offset);
}

void Job::MoveBody(std::uint32_t index, std::uint64_t offset) {
  // Removes the index from the run that contains it.
  if (auto found = this->item_runs.upper_bound(index);
      found != this->item_runs.begin()) {
    --found;
    const records::ItemRun old = found->second;
    if (index - old.first < old.count) {
      const std::uint32_t before = index - old.first;
      if (before == 0) {
        this->item_runs.erase(found);
      } else {
        found->second.count = before;
      }
      if (before + 1 < old.count) {
        this->item_runs[index + 1] = {.first = index + 1,
                                      .count = old.count - before - 1,
                                      .offset = old.offset};
      }
    }
  }
  if (auto next = this->item_runs.upper_bound(index);
      next != this->item_runs.begin()) {
    auto& previous = std::prev(next)->second;
    if (previous.first + previous.count == index && previous.offset == offset) {
      ++previous.count;
      return;
    }
  }
  this->item_runs[index] = {.first = index, .count = 1, .offset = offset};
}

void Job::CountFailure(std::uint32_t index) {
  if (this->HasReceived(index) && this->FailuresOf(index) < kFailuresMask) {
    ++this->items[index];
  }
}

void Job::MarkFinished(std::uint32_t index) {
  this->items[index] =
      static_cast<char>(ByteAt(this->items, index) | kFinishedBit);
  ++this->finished_count;
}

void Job::Close(JobState closed_state, std::uint64_t offset) {
  this->state = closed_state;
  this->closed_offset = offset;
  // Assigning an empty string would keep the allocated memory.
  std::string().swap(this->items);
  this->item_runs.clear();
  this->result_runs.shrink_to_fit();
}

records::JobSummary Job::ToSummary() const {
  records::JobSummary summary{.job = this->id,
                              .workspace = this->workspace,
                              .request_class = this->request_class,
                              .model = this->model,
                              .due_ms = this->due_ms,
                              .state = static_cast<std::uint8_t>(this->state),
                              .item_count = this->item_count,
                              .received_count = this->received_count,
                              .finished_count = this->finished_count,
                              .failed_count = this->failed_count,
                              .closed_offset = this->closed_offset,
                              .items = this->items,
                              .item_runs = {},
                              .result_runs = this->result_runs};
  for (const auto& [first, run] : this->item_runs) {
    summary.item_runs.push_back(run);
  }
  return summary;
}

Job Job::FromSummary(const records::JobSummary& summary) {
  Job job{.id = summary.job,
          .workspace = summary.workspace,
          .request_class = summary.request_class,
          .model = summary.model,
          .due_ms = summary.due_ms,
          .state = static_cast<JobState>(summary.state),
          .item_count = summary.item_count,
          .received_count = summary.received_count,
          .finished_count = summary.finished_count,
          .failed_count = summary.failed_count,
          .closed_offset = summary.closed_offset,
          .items = summary.items,
          .item_runs = {},
          .result_runs = summary.result_runs};
  for (const auto& run : summary.item_runs) {
    job.item_runs[run.first] = run;
  }
  return job;
}

std::optional<records::ItemBody> FindItemBody(const records::Append& append,
                                              const std::string& job,
                                              std::uint32_t index) {
  const auto find =
      [&](const auto& record) -> std::optional<records::ItemBody> {
    if (!record || record->job != job) {
      return std::nullopt;
    }
    const auto found =
        std::find_if(record->items.begin(), record->items.end(),
                     [index](const auto& item) { return item.index == index; });
    return found == record->items.end() ? std::nullopt : std::optional(*found);
  };
  for (const auto& envelope : append.records) {
    std::optional<records::ItemBody> body;
    if (envelope.type ==
        static_cast<std::uint16_t>(records::RecordType::kJobItems)) {
      body = find(Decode<records::JobItems>(envelope.body));
    } else if (envelope.type ==
               static_cast<std::uint16_t>(records::RecordType::kCarriedItems)) {
      body = find(Decode<records::CarriedItems>(envelope.body));
    }
    if (body) {
      return body;
    }
  }
  return std::nullopt;
}

std::vector<records::ItemResult> ReadResults(const records::Append& append,
                                             const std::string& job,
                                             const records::ResultRun& run) {
  if (run.part >= append.records.size()) {
    return {};
  }
  const auto& envelope = append.records[run.part];
  std::vector<records::ItemResult> stored;
  if (envelope.type ==
      static_cast<std::uint16_t>(records::RecordType::kItemResults)) {
    if (auto record = Decode<records::ItemResults>(envelope.body)) {
      stored = std::move(record->results);
    }
  } else if (auto record = Decode<records::CarriedResults>(envelope.body)) {
    stored = std::move(record->results);
  }
  std::vector<records::ItemResult> results;
  for (std::uint32_t i = 0; i < stored.size(); ++i) {
    const bool is_skipped = std::find(run.skipped.begin(), run.skipped.end(),
                                      i) != run.skipped.end();
    if (stored[i].job == job && !is_skipped) {
      results.push_back(std::move(stored[i]));
    }
  }
  return results;
}

}  // namespace crocus
