#include "LibServing/token_reservations.h"

#include <algorithm>
#include <string_view>

namespace crocus {

template <typename IsCounted>
std::uint64_t TokenReservations::Sum(const std::string& workspace,
                                     const std::string& route,
                                     const std::string& excluded_job,
                                     IsCounted is_counted) const {
  std::map<std::string_view, std::uint64_t> tokens_by_job;
  for (const auto& [key, entry] : this->entries) {
    const auto& reservation = entry.reservation;
    if (reservation.workspace == workspace && reservation.route == route &&
        reservation.job != excluded_job && is_counted(entry)) {
      auto& tokens = tokens_by_job[reservation.job];
      tokens = std::max(tokens, reservation.tokens);
    }
  }
  std::uint64_t sum = 0;
  for (const auto& [job, tokens] : tokens_by_job) {
    sum += tokens;
  }
  return sum;
}

void TokenReservations::Add(const std::string& key,
                            const records::BatchTokenReservation& reservation,
                            std::uint64_t open_tokens,
                            const RecordTimes& times) {
  if (this->entries.contains(key)) {
    return;
  }
  const TimePoint now = times.applied;
  const auto fits_beside = [&](auto is_counted) {
    return open_tokens + reservation.tokens +
               this->Sum(reservation.workspace, reservation.route,
                         reservation.job, is_counted) <=
           reservation.limit;
  };
  const bool is_from_log = times.appended_after != TimePoint{};
  const bool is_state_complete =
      is_from_log && (!this->last_snapshot ||
                      now - *this->last_snapshot >= kReservationLifetime);
  Entry entry{.reservation = reservation, .times = times};
  entry.fits = is_from_log && fits_beside([now](const Entry& other) {
                 return other.may_fit &&
                        now - other.times.applied < kReservationLifetime;
               });
  // A host decides on its own reservation at most kReservationUse after sending
  // it. What is counted here had not expired for any host by then.
  entry.may_fit = !is_state_complete || fits_beside([now](const Entry& other) {
    return other.is_certain && now - other.times.appended_after <
                                   kReservationLifetime - kReservationUse;
  });
  // A reader that is late may have seen others expire that counted for a reader
  // in time.
  entry.is_certain = entry.fits && now - times.appended_after < kReservationUse;
  this->entries.emplace(key, std::move(entry));
}

void TokenReservations::Remove(const std::string& key) {
  this->entries.erase(key);
}

void TokenReservations::RemoveJob(const std::string& job) {
  std::erase_if(this->entries, [&job](const auto& entry) {
    return entry.second.reservation.job == job;
  });
}

std::optional<bool> TokenReservations::Fits(const std::string& key) const {
  const auto found = this->entries.find(key);
  if (found == this->entries.end() ||
      found->second.times.appended_after == TimePoint{}) {
    return std::nullopt;
  }
  return found->second.fits;
}

std::uint64_t TokenReservations::PendingTokens(const std::string& workspace,
                                               const std::string& route,
                                               TimePoint now) const {
  return this->Sum(workspace, route, {}, [now](const Entry& entry) {
    return entry.may_fit && now - entry.times.applied < kReservationLifetime;
  });
}

std::vector<TokenReservations::Expired> TokenReservations::ExpiredAt(
    TimePoint now) const {
  std::vector<Expired> expired;
  for (const auto& [key, entry] : this->entries) {
    if (now - entry.times.applied >= kReservationLifetime) {
      expired.push_back({.key = key, .reservation = entry.reservation});
    }
  }
  return expired;
}

}  // namespace crocus
