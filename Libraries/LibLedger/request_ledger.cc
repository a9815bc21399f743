#include "LibLedger/request_ledger.h"

#include <algorithm>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"
#include "LibMessages/codec.h"

namespace crocus {

namespace {

/// Seed that makes the second half of a key independent of the first.
constexpr std::uint64_t kSecondSeed = 0x9e3779b97f4a7c15;

template <typename Record>
constexpr std::uint16_t kTypeOf = static_cast<std::uint16_t>(Record::kType);

}  // namespace

void RequestLedger::Apply(std::uint64_t offset, std::string_view data) {
  VERIFY(offset >= this->next);
  this->next = offset + 1;
  const auto append = Decode<records::Append>(data);
  if (append) {
    for (const auto& envelope : append->records) {
      if (envelope.type == kTypeOf<records::RequestIntent>) {
        if (const auto intent = Decode<records::RequestIntent>(envelope.body)) {
          this->OnIntent(offset, *intent);
        }
      } else if (envelope.type == kTypeOf<records::RequestResult>) {
        if (const auto result = Decode<records::RequestResult>(envelope.body)) {
          this->OnResult(offset, *result);
        }
      }
    }
  }
  this->EvictExpired();
}

std::optional<LoggedRequest> RequestLedger::Find(
    const std::string& request) const {
  const auto found = this->requests.find(KeyOf(request));
  if (found == this->requests.end()) {
    return std::nullopt;
  }
  const RequestEntry& entry = found->second;
  LoggedRequest logged{.state = RequestState::kFinished,
                       .offset = entry.offset,
                       .digest = entry.digest};
  if (entry.intent != nullptr) {
    logged.state = RequestState::kIntended;
    logged.owner = entry.intent->owner;
    logged.owner_incarnation = entry.intent->owner_incarnation;
    logged.attempt = entry.intent->attempt;
  }
  return logged;
}

std::uint64_t RequestLedger::StartOffset(const RequestLedgerOptions& options,
                                         std::uint64_t first,
                                         std::uint64_t next) {
  const std::uint64_t start =
      next > options.kept_appends ? next - options.kept_appends : 1;
  return std::max(first, start);
}

RequestLedger::Key RequestLedger::KeyOf(const std::string& request) {
  return {HashBytes(request), HashBytes(request, kSecondSeed)};
}

void RequestLedger::OnIntent(std::uint64_t offset,
                             const records::RequestIntent& intent) {
  const Key key = KeyOf(intent.request);
  if (this->requests.contains(key)) {
    return;
  }
  this->requests[key] = {.offset = offset,
                         .digest = intent.digest,
                         .is_without_intent = false,
                         .intent = std::make_unique<Intent>(Intent{
                             .owner = intent.owner,
                             .owner_incarnation = intent.owner_incarnation,
                             .attempt = intent.attempt})};
  this->order.emplace_back(offset, key);
}

void RequestLedger::OnResult(std::uint64_t offset,
                             const records::RequestResult& result) {
  const Key key = KeyOf(result.request);
  const auto found = this->requests.find(key);
  const bool is_intended =
      found != this->requests.end() && found->second.intent != nullptr;
  if (result.verdict == Verdict::kNotRun) {
    if (is_intended && found->second.intent->attempt == result.attempt) {
      this->requests.erase(found);
    }
    return;
  }
  if (found != this->requests.end() && !is_intended) {
    return;
  }
  const bool is_without_intent = !is_intended && result.attempt.empty();
  this->requests[key] = {.offset = offset,
                         .digest = result.digest,
                         .is_without_intent = is_without_intent,
                         .intent = nullptr};
  this->order.emplace_back(offset, key);
  if (is_without_intent) {
    this->order_without_intent.emplace_back(offset, key);
  }
}

void RequestLedger::EvictExpired() {
  const auto evict_first = [this](auto& queue) {
    const auto [offset, key] = queue.front();
    queue.pop_front();
    if (const auto found = this->requests.find(key);
        found != this->requests.end() && found->second.offset == offset) {
      this->requests.erase(found);
    }
  };
  while (!this->order.empty() &&
         this->order.front().first + this->options.kept_appends < this->next) {
    evict_first(this->order);
  }
  // A request that must run only once could run again without its intent, so
  // only results without an intent are evicted early.
  while (this->order_without_intent.size() >
         this->options.results_without_intent) {
    evict_first(this->order_without_intent);
  }
  while (!this->order_without_intent.empty() && !this->order.empty() &&
         this->order_without_intent.front().first < this->order.front().first) {
    this->order_without_intent.pop_front();
  }
}

std::optional<records::RequestResult> FindRequestResult(
    std::string_view data,
    const std::string& request) {
  const auto append = Decode<records::Append>(data);
  if (!append) {
    return std::nullopt;
  }
  for (const auto& envelope : append->records) {
    if (envelope.type != kTypeOf<records::RequestResult>) {
      continue;
    }
    auto result = Decode<records::RequestResult>(envelope.body);
    if (result && result->request == request &&
        result->verdict != Verdict::kNotRun) {
      return std::move(*result);
    }
  }
  return std::nullopt;
}

std::string AttemptIdPrefix(const std::string& attempt) {
  return attempt.substr(0, attempt.rfind('.'));
}

}  // namespace crocus
