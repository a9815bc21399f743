#ifndef LIBLEDGER_REQUEST_LEDGER_H_
#define LIBLEDGER_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibMessages/records.h"

namespace crocus {

struct RequestLedgerOptions {
  /// A request is kept until this many appends follow its last record. The
  /// limit counts appends instead of time, so that every process evicts a
  /// request at the same offset, independent of clocks.
  std::uint64_t kept_appends = 240000;
  /// Results without an intent that are kept; the oldest are evicted first.
  std::size_t results_without_intent = 1000000;

  bool operator==(const RequestLedgerOptions&) const = default;
};

enum class RequestState {
  /// An intent is in the log and no result: the request may have run.
  kIntended,
  kFinished,
};

/// State of a request according to the log.
struct LoggedRequest {
  RequestState state = RequestState::kIntended;
  /// Offset of the append with the intent or, once the request is finished, the
  /// result.
  std::uint64_t offset = 0;
  std::uint64_t digest = 0;
  /// Owner of the valid intent, while the state is kIntended.
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  std::string attempt;

  bool operator==(const LoggedRequest&) const = default;
};

/// Deterministic replay of the stream `requests`.
///
/// The first intent of a request is valid; later ones change nothing until a
/// result with the verdict kNotRun and the valid intent's attempt releases the
/// request. The first other result is final. Whether a record is valid depends
/// on the order of the records alone, so a repeated append has no effect and no
/// append ids are kept. Result texts stay in the log; the ledger keeps their
/// offsets.
class RequestLedger {
 public:
  explicit RequestLedger(RequestLedgerOptions options) : options(options) {}

  /// Applies the append at `offset`; offsets must increase. A gap means that
  /// the head of the log was trimmed. Appends that cannot be decoded change
  /// nothing.
  void Apply(std::uint64_t offset, std::string_view data);

  std::optional<LoggedRequest> Find(const std::string& request) const;

  /// Offset after the last applied append; 0 before the first.
  std::uint64_t next_offset() const { return this->next; }
  /// Offset at which a new replay must start to keep the same requests.
  static std::uint64_t StartOffset(const RequestLedgerOptions& options,
                                   std::uint64_t first,
                                   std::uint64_t next);
  std::size_t size() const { return this->requests.size(); }

 private:
  /// 128-bit hash of the request id. Callers choose part of the id, and its
  /// length must not affect the memory that an entry takes.
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  struct Intent {
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    std::string attempt;
  };
  struct RequestEntry {
    std::uint64_t offset = 0;
    std::uint64_t digest = 0;
    bool is_without_intent = false;
    /// Null once the request is finished.
    std::unique_ptr<Intent> intent;
  };

  static Key KeyOf(const std::string& request);
  void OnIntent(std::uint64_t offset, const records::RequestIntent& intent);
  void OnResult(std::uint64_t offset, const records::RequestResult& result);
  void EvictExpired();

  const RequestLedgerOptions options;
  std::uint64_t next = 0;
  std::map<Key, RequestEntry> requests;
  /// Keys in the order of their offsets. A key is skipped if its request has a
  /// newer offset.
  std::deque<std::pair<std::uint64_t, Key>> order;
  std::deque<std::pair<std::uint64_t, Key>> order_without_intent;
};

/// Returns the result of `request` from the append `data`, if it contains one.
std::optional<records::RequestResult> FindRequestResult(
    std::string_view data,
    const std::string& request);

/// Prefix that the ids of all attempts of one intent share.
std::string AttemptIdPrefix(const std::string& attempt);

}  // namespace crocus

#endif  // LIBLEDGER_REQUEST_LEDGER_H_
