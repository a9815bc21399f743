#ifndef ENTRY_ATTEMPT_STREAM_H_
#define ENTRY_ATTEMPT_STREAM_H_

#include <optional>
#include <string>

#include "LibMessages/messages.h"

namespace crocus {

/// Collects the answer of one attempt. A chunk is accepted only if its token
/// index continues the text. Not thread-safe.
class AttemptStream {
 public:
  /// Returns false for a chunk that does not continue the text; it is dropped.
  bool AddChunk(const messages::TokenChunk& chunk);
  void SetDone(const messages::AttemptDone& done);

  /// The attempt's end, if it was received.
  const std::optional<messages::AttemptDone>& done() const { return this->end; }

  /// True if the answer is complete: its token count and checksum match those
  /// of the attempt's end.
  bool IsComplete() const;

  /// All text received so far.
  const std::string& text() const { return this->received; }
  std::uint32_t token_count() const { return this->tokens; }

 private:
  std::string received;
  std::uint32_t tokens = 0;
  std::optional<messages::AttemptDone> end;
};

}  // namespace crocus

#endif  // ENTRY_ATTEMPT_STREAM_H_
