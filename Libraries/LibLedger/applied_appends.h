#ifndef LIBLEDGER_APPLIED_APPENDS_H_
#define LIBLEDGER_APPLIED_APPENDS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibMessages/records.h"

namespace crocus {

/// Finds repeated appends on replay with bounded memory.
///
/// An id is a writer's unique name, a dot and a number. A writer sends number
/// n + 1 only once the outcome of n is settled, so an append whose number is
/// not above the highest one seen is a repeat, however far back its first copy
/// is. An id without a number counts as the only append of a writer of that
/// name.
///
/// A writer is forgotten kRetentionOffsets after its last append. At 400
/// appends/s in this one stream that is 11 minutes, while a client gives an
/// append up after seconds. Behind that, only a repeated ItemFailures record of
/// the current epoch would have an effect (one more failure counted); every
/// other record has none when it is applied twice.
class AppliedAppends {
 public:
  static constexpr std::uint64_t kRetentionOffsets = 1u << 18;

  /// Returns true if the append is new. Offsets must go up.
  bool Add(const std::string& id, std::uint64_t offset);

  /// Sorted, for a snapshot.
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
