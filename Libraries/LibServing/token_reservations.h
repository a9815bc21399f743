#ifndef LIBSERVING_TOKEN_RESERVATIONS_H_
#define LIBSERVING_TOKEN_RESERVATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibMessages/records.h"

namespace crocus {

/// A reservation counts for this long after a reader has applied it, unless it
/// is deleted or its job's record is applied before. It is three times
/// kReservationUse: for the submission that made it, for one that is decided on
/// with it, and for a record of its job that is still on its way.
inline constexpr Duration kReservationLifetime = std::chrono::seconds(30);
/// Time from sending a reservation during which its host may decide on it and
/// send the job's record. Longer than the calls to the store that a submission
/// takes, of at most 1.5 s each.
inline constexpr Duration kReservationUse = std::chrono::seconds(10);

/// What a reader of the store knows of the time of a record.
struct RecordTimes {
  /// When this reader applied the record.
  TimePoint applied{};
  /// A time before the record was appended, by the reader's clock. The epoch of
  /// the clock if there is none, such as for a record of a snapshot.
  TimePoint appended_after{};

  bool operator==(const RecordTimes&) const = default;
};

/// Reservations of waiting tokens that a reader has applied, and the decision
/// whether each of them fits into its workspace's limit.
///
/// Only the host that appended a reservation acts on the decision. Others must
/// count the reservation if that host may have found that it fits. They mostly
/// find the same, but their reservations expire at other times, and one that
/// started from a snapshot lacks records that were deleted. A reservation is
/// therefore left out of the sum only if it does not fit beside those that
/// every reader counts. With this, the jobs accepted by reservations never have
/// more tokens than the limit.
///
/// Designed for tens of pending reservations; each one is compared with all of
/// them. Not thread-safe.
class TokenReservations {
 public:
  /// An expired reservation whose record can be deleted.
  struct Expired {
    std::string key;
    records::BatchTokenReservation reservation;
  };

  /// Must be called for each record of a snapshot. Some records of jobs that
  /// have been deleted may be missing there and others not, so that a job
  /// counts as open that is not.
  void OnSnapshotRecord(TimePoint now) { this->last_snapshot = now; }

  /// Applies a reservation with the key of its record. `open_tokens` are the
  /// workspace's open tokens on the route at the offset of the record. Later
  /// copies of the record are ignored.
  void Add(const std::string& key,
           const records::BatchTokenReservation& reservation,
           std::uint64_t open_tokens,
           const RecordTimes& times);
  /// Drops the reservation whose record was deleted.
  void Remove(const std::string& key);
  /// Drops all reservations of a job that has been accepted.
  void RemoveJob(const std::string& job);

  /// Whether the reservation fits. None if no reservation with this key is
  /// pending, or if it was not read from the log: what precedes it there may
  /// not precede it in a snapshot.
  std::optional<bool> Fits(const std::string& key) const;

  /// Tokens of the workspace's pending reservations on the route that may be
  /// used.
  std::uint64_t PendingTokens(const std::string& workspace,
                              const std::string& route,
                              TimePoint now) const;

  /// Reservations that were applied kReservationLifetime ago or earlier.
  std::vector<Expired> ExpiredAt(TimePoint now) const;

 private:
  struct Entry {
    records::BatchTokenReservation reservation;
    RecordTimes times;
    /// It fits by this reader's count.
    bool fits = false;
    /// It may fit by the count of the host that appended it.
    bool may_fit = false;
    /// Every reader finds that it may fit.
    bool is_certain = false;
  };

  /// Sum of the tokens of the entries of the workspace and route for which
  /// `is_counted` is true, without those of `excluded_job`. Of several
  /// reservations of one job, the largest counts, since only one copy of a job
  /// is accepted.
  template <typename IsCounted>
  std::uint64_t Sum(const std::string& workspace,
                    const std::string& route,
                    const std::string& excluded_job,
                    IsCounted is_counted) const;

  /// By the keys of the records.
  std::map<std::string, Entry> entries;
  /// When the last record of a snapshot was applied.
  std::optional<TimePoint> last_snapshot;
};

}  // namespace crocus

#endif  // LIBSERVING_TOKEN_RESERVATIONS_H_
