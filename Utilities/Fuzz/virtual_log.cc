#include "virtual_log.h"

#include <algorithm>

namespace crocus {

namespace {

constexpr Duration kClientTimeout = std::chrono::seconds(1);
constexpr std::uint64_t kMaximumLateAppendMilliseconds = 3000;
constexpr std::uint64_t kDelayRangeMicroseconds = 4000;

}  // namespace

Duration VirtualLog::RandomDelay() {
  return Duration(500 + this->random.Below(kDelayRangeMicroseconds)) +
         this->current_faults.extra_delay;
}

std::uint64_t VirtualLog::ApplyAppend(const std::string& stream,
                                      const std::string& data) {
  auto& records = this->streams[stream].records;
  records.push_back({.offset = records.size() + 1, .data = data});
  ++this->appends;
  this->observer(stream, records.back());
  return records.back().offset;
}

void VirtualLog::Append(const NodeState& node,
                        const std::string& stream,
                        const std::string& data,
                        AppendReply reply) {
  const auto& faults = this->current_faults;
  const auto unknown =
      Failure(ErrorCode::kTimeout, "log: timeout", Verdict::kMayHaveRun);
  if (this->random.Chance(faults.timeout_chance)) {
    if (this->random.Chance(0.5)) {
      const Duration late = std::chrono::milliseconds(
          this->random.Below(kMaximumLateAppendMilliseconds));
      this->loop.ScheduleAfter(
          late, [this, stream, data] { this->ApplyAppend(stream, data); });
    }
    this->loop.Post(node, kClientTimeout, [reply, unknown] {
      reply(Result<std::uint64_t>(unknown));
    });
    return;
  }
  const bool is_refused =
      faults.is_unavailable || this->random.Chance(faults.refusal_chance);
  const bool is_lost = this->random.Chance(faults.lost_reply_chance);
  this->loop.ScheduleAfter(
      this->RandomDelay(), [=, this, &node, incarnation = node.incarnation] {
        Result<std::uint64_t> outcome =
            Failure(ErrorCode::kUnavailable, "log: unavailable");
        if (!is_refused) {
          outcome = this->ApplyAppend(stream, data);
        }
        if (!is_refused && is_lost) {
          outcome = unknown;
        }
        this->loop.Post(node, incarnation, this->RandomDelay(),
                        [reply, outcome] { reply(outcome); });
      });
}

LogPage VirtualLog::MakePage(const Stream& stream,
                             std::uint64_t from,
                             std::uint32_t limit) const {
  const std::uint64_t next = stream.records.size() + 1;
  LogPage page{
      .first = std::min(stream.first, next), .next = next, .records = {}};
  const std::uint64_t begin = std::max(from, page.first);
  for (std::uint64_t offset = begin;
       offset < next && page.records.size() < limit; ++offset) {
    page.records.push_back(stream.records[offset - 1]);
  }
  return page;
}

void VirtualLog::Read(const NodeState& node,
                      const std::string& stream,
                      std::uint64_t from,
                      std::uint32_t limit,
                      ReadReply reply) {
  this->loop.ScheduleAfter(
      this->RandomDelay(), [=, this, &node, incarnation = node.incarnation] {
        Result<LogPage> outcome =
            Failure(ErrorCode::kUnavailable, "log: unavailable");
        if (!this->current_faults.is_unavailable) {
          outcome = this->MakePage(this->streams[stream], from, limit);
        }
        this->loop.Post(node, incarnation, this->RandomDelay(),
                        [reply, outcome] { reply(outcome); });
      });
}

void VirtualLog::Trim(const std::string& stream, std::uint64_t first) {
  auto& state = this->streams[stream];
  state.first = std::max(
      state.first, std::min<std::uint64_t>(first, state.records.size() + 1));
}

}  // namespace crocus
