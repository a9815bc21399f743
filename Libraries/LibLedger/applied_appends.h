#ifndef LIBLEDGER_APPLIED_APPENDS_H_
#define LIBLEDGER_APPLIED_APPENDS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibMessages/records.h"

namespace crocus {

/// Detects repeated appends during replay, with bounded memory.
///
/// An id is a writer's unique name, a dot and a number. Number n + 1 is sent
/// only once the outcome of number n is resolved, so an append whose number is
/// not above the highest one applied is a repeat, no matter how far back its
/// first copy is. An id without a number counts as the only append of a writer
/// with that name.
///
/// A writer is removed kRetentionOffsets after its last append. At 400
/// appends/s in this one stream that is 11 minutes, while a client abandons an
/// append after seconds. If an append is repeated later than that, only an
/// ItemFailures record of the current epoch in it has an effect (one more
/// failure is counted); every other record has none when it is applied twice.
class AppliedAppends {
 public:
  static constexpr std::uint64_t kRetentionOffsets = 1u << 18;

  /// Returns true if the append is new. Offsets must increase.
  bool Add(const std::string& id, std::uint64_t offset);

  /// Returns the newest append of each writer, sorted by writer, for a
  /// snapshot.
  std::vector<records::WriterMark> marks() const;
  void Restore(const std::vector<records::WriterMark>& marks);

  bool operator==(const AppliedAppends& other) const {
    return this->marks() == other.marks();
  }

 private:
  struct Mark {
    std::uint64_t sequence = 0;
    std::uint64_t offset = 0;
  };

  bool IsExpired(const Mark& mark) const {
    return mark.offset + kRetentionOffsets < this->newest;
  }

  std::uint64_t newest = 0;
  std::unordered_map<std::uint64_t, Mark> writers;
};

}  // namespace crocus

#endif  // LIBLEDGER_APPLIED_APPENDS_H_
