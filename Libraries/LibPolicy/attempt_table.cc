#include "LibPolicy/attempt_table.h"

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Approximate memory of a held result besides its text, with ids and names of
/// typical length.
constexpr std::size_t kHeldOverheadBytes = 1300;

std::size_t BytesOf(const messages::HeldResult& result) {
  return result.text.size() + kHeldOverheadBytes;
}

}  // namespace

BeginOutcome AttemptTable::Begin(const std::string& attempt,
                                 bool may_hold,
                                 TimePoint now,
                                 std::size_t prompt_bytes) {
  const auto found = this->entries.find(attempt);
  if (found == this->entries.end()) {
    const std::uint64_t fingerprint = HashBytes(attempt);
    if (this->refusals.contains(fingerprint)) {
      return BeginOutcome::kRevoked;
    }
    if (!this->HasCapacity(may_hold)) {
      return this->RecordRefusal(fingerprint, now)
                 ? BeginOutcome::kFull
                 : BeginOutcome::kFullUnrecorded;
    }
    const std::size_t reserved_bytes =
        may_hold ? prompt_bytes + kHeldOverheadBytes : 0;
    this->entries[attempt] = {.state = State::kQueued,
                              .changed_at = now,
                              .reserved_bytes = reserved_bytes};
    if (may_hold) {
      ++this->unfinished;
      this->bytes_unfinished += reserved_bytes;
    }
    return BeginOutcome::kStart;
  }
  switch (found->second.state) {
    case State::kQueued:
    case State::kRunning:
      return BeginOutcome::kActive;
    case State::kFinished:
      return BeginOutcome::kFinished;
    case State::kRevoked:
      return BeginOutcome::kRevoked;
  }
  return BeginOutcome::kActive;
}

bool AttemptTable::HasCapacity(bool may_hold) const {
  if (this->entries.size() >= this->options.maximum_attempts) {
    return false;
  }
  if (!may_hold) {
    return true;
  }
  const std::size_t bytes = this->unfinished < this->options.running_attempts
                                ? this->bytes_held
                                : this->bytes_held + this->bytes_unfinished;
  return bytes < this->options.maximum_held_bytes;
}

bool AttemptTable::RecordRefusal(std::uint64_t fingerprint, TimePoint now) {
  if (this->refusals.size() >= this->options.maximum_attempts) {
    return false;
  }
  this->refusals[fingerprint] = now;
  this->refusal_order.push_back(fingerprint);
  return true;
}

bool AttemptTable::MarkRunning(const std::string& attempt) {
  const auto found = this->entries.find(attempt);
  if (found == this->entries.end() || found->second.state == State::kRevoked) {
    return false;
  }
  VERIFY(found->second.state != State::kFinished);
  found->second.state = State::kRunning;
  return true;
}

void AttemptTable::End(Entries::iterator entry,
                       State state,
                       Verdict verdict,
                       TimePoint now) {
  if (const std::size_t reserved = entry->second.reserved_bytes; reserved > 0) {
    --this->unfinished;
    this->bytes_unfinished -= reserved;
  }
  entry->second = {.state = state, .verdict = verdict, .changed_at = now};
  this->ended.push_back(entry);
}

void AttemptTable::Hold(const messages::HeldResult& result, TimePoint now) {
  const auto [entry, is_new] = this->held.try_emplace(
      result.done.attempt, Held{.result = result, .last_offered = now});
  VERIFY(is_new);
  // The log needs only the ids and the answer, so the prompt is dropped.
  entry->second.result.execute.prompt.clear();
  this->bytes_held += BytesOf(result);
}

void AttemptTable::Finish(const messages::HeldResult& result,
                          bool hold,
                          TimePoint now) {
  const auto entry = this->entries.find(result.done.attempt);
  VERIFY(entry != this->entries.end());
  const State state = entry->second.state;
  VERIFY(state != State::kFinished);
  VERIFY((state == State::kRunning) ==
         (result.done.verdict != Verdict::kNotRun));
  if (state != State::kRevoked) {
    this->End(entry,
              state == State::kRunning ? State::kFinished : State::kRevoked,
              result.done.verdict, now);
  }
  if (hold) {
    this->Hold(result, now);
  }
}

Verdict AttemptTable::Revoke(const std::string& attempt, TimePoint now) {
  auto found = this->entries.find(attempt);
  if (found == this->entries.end()) {
    if (this->refusals.contains(HashBytes(attempt))) {
      return Verdict::kNotRun;
    }
    if (this->entries.size() >= this->options.maximum_attempts) {
      return this->RecordRefusal(HashBytes(attempt), now)
                 ? Verdict::kNotRun
                 : Verdict::kMayHaveRun;
    }
    found = this->entries.try_emplace(attempt).first;
  }
  switch (found->second.state) {
    case State::kQueued:
      this->End(found, State::kRevoked, Verdict::kNotRun, now);
      return Verdict::kNotRun;
    case State::kRunning:
      return Verdict::kMayHaveRun;
    case State::kFinished:
    case State::kRevoked:
      return found->second.verdict;
  }
  return Verdict::kMayHaveRun;
}

const messages::HeldResult* AttemptTable::FindHeld(
    const std::string& attempt) const {
  const auto found = this->held.find(attempt);
  return found == this->held.end() ? nullptr : &found->second.result;
}

void AttemptTable::Confirm(const std::vector<std::string>& attempts) {
  for (const auto& attempt : attempts) {
    if (const auto found = this->held.find(attempt);
        found != this->held.end()) {
      this->bytes_held -= BytesOf(found->second.result);
      this->held.erase(found);
    }
  }
}

std::vector<messages::HeldResult> AttemptTable::UnconfirmedResults() const {
  std::vector<messages::HeldResult> results;
  results.reserve(this->held.size());
  for (const auto& [attempt, entry] : this->held) {
    results.push_back(entry.result);
  }
  return results;
}

std::vector<messages::HeldResult> AttemptTable::TakeDueOffers(
    TimePoint now,
    Duration interval,
    std::size_t limit) {
  std::vector<messages::HeldResult> results;
  for (auto& [attempt, entry] : this->held) {
    if (results.size() == limit) {
      break;
    }
    if (entry.last_offered + interval <= now) {
      entry.last_offered = now;
      results.push_back(entry.result);
    }
  }
  return results;
}

void AttemptTable::Expire(TimePoint now) {
  const TimePoint horizon = now - this->options.retention;
  while (!this->ended.empty() &&
         this->ended.front()->second.changed_at < horizon) {
    const auto entry = this->ended.front();
    this->ended.pop_front();
    if (this->held.contains(entry->first)) {
      // The result is still offered, so the attempt must stay in the table.
      entry->second.changed_at = now;
      this->ended.push_back(entry);
    } else {
      this->entries.erase(entry);
    }
  }
  while (!this->refusal_order.empty() &&
         this->refusals.at(this->refusal_order.front()) < horizon) {
    this->refusals.erase(this->refusal_order.front());
    this->refusal_order.pop_front();
  }
}

}  // namespace crocus
