#include "LibLedger/append_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LibCore/assertions.h"
#include "LibMessages/codec.h"

namespace crocus {

AppendQueue::AppendQueue(AppendQueueOptions options,
                         std::string name,
                         std::uint64_t seed)
    : options(std::move(options)), name(std::move(name)), random(seed) {}

Result<void> AppendQueue::Add(std::uint64_t token,
                              records::Envelope envelope,
                              TimePoint now) {
  if (!this->waiting.empty() &&
      this->bytes + envelope.body.size() > this->options.queue_bytes) {
    return Failure(ErrorCode::kUnavailable, "log: the append queue is full");
  }
  this->bytes += envelope.body.size();
  this->waiting.push_back(
      {.token = token, .envelope = std::move(envelope), .added = now});
  return {};
}

bool AppendQueue::Withdraw(std::uint64_t token) {
  const auto found = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [token](const Entry& entry) { return entry.token == token; });
  if (found == this->waiting.end()) {
    return false;
  }
  this->bytes -= found->envelope.body.size();
  this->waiting.erase(found);
  return true;
}

bool AppendQueue::IsDue(TimePoint now) const {
  if (this->is_flushing ||
      this->waiting.front().added + this->options.delay <= now) {
    return true;
  }
  std::size_t size = 0;
  for (const auto& entry : this->waiting) {
    size += entry.envelope.body.size();
    if (size >= this->options.append_bytes) {
      return true;
    }
  }
  return false;
}

void AppendQueue::BuildAppend() {
  records::Append append{
      .id = this->name + "." + std::to_string(this->next_sequence++),
      .writer = this->options.writer,
      .records = {}};
  std::size_t size = 0;
  while (!this->waiting.empty()) {
    auto& entry = this->waiting.front();
    size += entry.envelope.body.size();
    if (!append.records.empty() && size > this->options.append_bytes) {
      break;
    }
    append.records.push_back(entry.envelope);
    this->sent.push_back(std::move(entry));
    this->waiting.pop_front();
  }
  this->id = append.id;
  this->data = Encode(append);
}

AppendStep AppendQueue::Next(TimePoint now) {
  if (this->is_empty()) {
    this->is_flushing = false;
    return {};
  }
  if (now < this->not_before) {
    return {.until = this->not_before};
  }
  if (this->state == State::kResolving) {
    return {.kind = AppendStep::Kind::kRead,
            .from = this->read_from,
            .limit = this->options.page_records};
  }
  VERIFY(this->state == State::kIdle);
  if (this->position == 0) {
    // A read past the end returns the offset of the next append.
    return {.kind = AppendStep::Kind::kRead,
            .from = std::numeric_limits<std::uint64_t>::max(),
            .limit = 1};
  }
  if (this->sent.empty()) {
    if (!this->IsDue(now)) {
      return {.until = this->waiting.front().added + this->options.delay};
    }
    this->BuildAppend();
  }
  this->state = State::kAppending;
  return {.kind = AppendStep::Kind::kAppend, .data = this->data};
}

std::vector<AppendedEntry> AppendQueue::OnAppend(
    const Result<std::uint64_t>& outcome,
    TimePoint now) {
  VERIFY(this->state == State::kAppending);
  if (outcome) {
    return this->Resolve(*outcome);
  }
  this->BackOff(now);
  if (outcome.error().verdict == Verdict::kNotRun &&
      !this->has_unknown_outcome) {
    this->state = State::kIdle;
    while (!this->sent.empty()) {
      this->waiting.push_front(std::move(this->sent.back()));
      this->sent.pop_back();
    }
    return {};
  }
  this->has_unknown_outcome = true;
  this->state = State::kResolving;
  this->read_from = this->position;
  this->reads_without_match = 0;
  return {};
}

std::vector<AppendedEntry> AppendQueue::OnRead(const Result<LogPage>& page,
                                               TimePoint now) {
  if (!page) {
    this->BackOff(now);
    return {};
  }
  this->failures = 0;
  if (this->state == State::kIdle) {
    this->position = page->next;
    return {};
  }
  VERIFY(this->state == State::kResolving);
  for (const auto& record : page->records) {
    const auto append = Decode<records::Append>(record.data);
    if (append && append->id == this->id) {
      return this->Resolve(record.offset);
    }
    this->read_from = record.offset + 1;
  }
  if (this->read_from < page->next && !page->records.empty()) {
    return {};
  }
  // The append may become visible late, so the next pass starts again from the
  // known position.
  this->read_from = this->position;
  this->not_before = now + this->options.resolve_delay;
  if (++this->reads_without_match >= this->options.resolve_reads) {
    this->state = State::kIdle;
  }
  return {};
}

std::vector<AppendedEntry> AppendQueue::Resolve(std::uint64_t offset) {
  std::vector<AppendedEntry> resolved;
  for (const auto& entry : this->sent) {
    resolved.push_back({.token = entry.token, .offset = offset});
    this->bytes -= entry.envelope.body.size();
  }
  this->sent.clear();
  this->data.clear();
  this->position = std::max(this->position, offset + 1);
  this->state = State::kIdle;
  this->has_unknown_outcome = false;
  this->failures = 0;
  this->not_before = {};
  return resolved;
}

void AppendQueue::BackOff(TimePoint now) {
  constexpr std::uint32_t kMaximumShift = 16;
  const auto maximum_delay =
      std::min(this->options.maximum_retry_delay,
               this->options.first_retry_delay *
                   (1 << std::min(this->failures, kMaximumShift)));
  ++this->failures;
  // Half of the delay is random, so that writers do not retry in step.
  const auto half = maximum_delay.count() / 2;
  this->not_before =
      now + Duration(half + static_cast<Duration::rep>(
                                this->random.Below(static_cast<std::uint64_t>(
                                    maximum_delay.count() - half + 1))));
}

std::vector<std::uint64_t> AppendQueue::tokens() const {
  std::vector<std::uint64_t> all;
  for (const auto* list : {&this->sent, &this->waiting}) {
    for (const auto& entry : *list) {
      all.push_back(entry.token);
    }
  }
  return all;
}

bool AppendQueue::MayBeInLog(std::uint64_t token) const {
  return std::any_of(
      this->sent.begin(), this->sent.end(),
      [token](const Entry& entry) { return entry.token == token; });
}

}  // namespace crocus
