#include "virtual_log.h"

#include <algorithm>

namespace crocus {

namespace {

constexpr Duration kClientTimeout = std::chrono::seconds(1);
constexpr std::uint64_t kLongestLateMilliseconds = 3000;
constexpr std::uint64_t kLongestDelayMicroseconds = 4000;

}  // namespace

Duration VirtualLog::Delay() {
  return Duration(500 + this->random.Below(kLongestDelayMicroseconds)) +
         this->current_faults.extra_delay;
}

std::uint64_t VirtualLog::TakeEffect(const std::string& stream,
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
  if (this->random.Chance(faults.late)) {
    if (this->random.Chance(0.5)) {
      const Duration late = std::chrono::milliseconds(
          this->random.Below(kLongestLateMilliseconds));
      this->loop.After(
          late, [this, stream, data] { this->TakeEffect(stream, data); });
    }
    this->loop.Post(node, kClientTimeout, [reply, unknown] {
      reply(Result<std::uint64_t>(unknown));
    });
    return;
  }
  const bool is_refused = faults.is_out || this->random.Chance(faults.refused);
  const bool is_lost = this->random.Chance(faults.lost_reply);
  this->loop.After(this->Delay(),
                   [=, this, &node, incarnation = node.incarnation] {
                     Result<std::uint64_t> outcome =
                         Failure(ErrorCode::kUnavailable, "log: unavailable");
                     if (!is_refused) {
                       outcome = this->TakeEffect(stream, data);
                     }
                     if (!is_refused && is_lost) {
                       outcome = unknown;
                     }
                     this->loop.Post(node, incarnation, this->Delay(),
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
  this->loop.After(
      this->Delay(), [=, this, &node, incarnation = node.incarnation] {
        Result<LogPage> outcome =
            Failure(ErrorCode::kUnavailable, "log: unavailable");
        if (!this->current_faults.is_out) {
          outcome = this->MakePage(this->streams[stream], from, limit);
        }
        this->loop.Post(node, incarnation, this->Delay(),
                        [reply, outcome] { reply(outcome); });
      });
}

void VirtualLog::Trim(const std::string& stream, std::uint64_t first) {
  auto& state = this->streams[stream];
  state.first = std::max(
      state.first, std::min<std::uint64_t>(first, state.records.size() + 1));
}

}  // namespace crocus
