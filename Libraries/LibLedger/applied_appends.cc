#include "LibLedger/applied_appends.h"

#include <algorithm>
#include <charconv>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Number of offsets between two removals of expired writers.
constexpr std::uint64_t kSweepOffsets = 4096;

}  // namespace

bool AppliedAppends::Add(const std::string& id, std::uint64_t offset) {
  std::string_view name = id;
  std::uint64_t sequence = 1;
  if (const auto dot = name.rfind('.'); dot != std::string_view::npos) {
    const char* end = name.data() + name.size();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(name.data() + dot + 1, end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      sequence = number;
      name = name.substr(0, dot);
    }
  }
  if (this->newest / kSweepOffsets != offset / kSweepOffsets) {
    std::erase_if(this->writers, [this](const auto& item) {
      return this->IsExpired(item.second);
    });
  }
  this->newest = offset;
  Mark& mark = this->writers[HashBytes(name)];
  if (mark.sequence >= sequence && !this->IsExpired(mark)) {
    return false;
  }
  mark = {.sequence = sequence, .offset = offset};
  return true;
}

std::vector<records::WriterMark> AppliedAppends::marks() const {
  std::vector<records::WriterMark> all;
  for (const auto& [writer, mark] : this->writers) {
    if (!this->IsExpired(mark)) {
      all.push_back(
          {.writer = writer, .sequence = mark.sequence, .offset = mark.offset});
    }
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.writer < b.writer; });
  return all;
}

void AppliedAppends::Restore(const std::vector<records::WriterMark>& marks) {
  this->writers.clear();
  this->newest = 0;
  for (const auto& mark : marks) {
    this->writers[mark.writer] = {.sequence = mark.sequence,
                                  .offset = mark.offset};
    this->newest = std::max(this->newest, mark.offset);
  }
}

}  // namespace crocus
