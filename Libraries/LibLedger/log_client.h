#ifndef LIBLEDGER_LOG_CLIENT_H_
#define LIBLEDGER_LOG_CLIENT_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/result.h"

namespace crocus {

struct LogRecord {
  /// Offsets of a stream start at 1 and increase by 1.
  std::uint64_t offset = 0;
  std::string data;

  bool operator==(const LogRecord&) const = default;
};

/// Records in offset order, and the range that the log keeps.
struct LogPage {
  /// Offset of the oldest record that is kept.
  std::uint64_t first = 1;
  /// Offset of the next append.
  std::uint64_t next = 1;
  std::vector<LogRecord> records;

  bool operator==(const LogPage&) const = default;
};

/// The platform's append-only log.
///
/// Append returns the record's offset; a failure's verdict states whether the
/// record may have been appended. Read returns records from `from` on, or from
/// the oldest kept one if `from` was trimmed.
template <typename T>
concept LogClient = requires(T& client,
                             const std::string& stream,
                             const std::string& data,
                             std::uint64_t from,
                             std::uint32_t limit) {
  { client.Append(stream, data) } -> std::same_as<Result<std::uint64_t>>;
  { client.Read(stream, from, limit) } -> std::same_as<Result<LogPage>>;
};

}  // namespace crocus

#endif  // LIBLEDGER_LOG_CLIENT_H_
