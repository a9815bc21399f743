#include "Entry/attempt_stream.h"

#include "LibCore/hashing.h"

namespace crocus {

bool AttemptStream::AddChunk(const messages::TokenChunk& chunk) {
  // TCP preserves the order, so a chunk that does not continue the text is a
  // duplicate.
  if (chunk.first_index != this->tokens || this->end) {
    return false;
  }
  this->received += chunk.text;
  this->tokens += chunk.count;
  return true;
}

void AttemptStream::SetDone(const messages::AttemptDone& done) {
  if (!this->end) {
    this->end = done;
  }
}

bool AttemptStream::IsComplete() const {
  return this->end && this->end->complete &&
         this->end->token_count == this->tokens &&
         this->end->checksum == HashBytes(this->received);
}

}  // namespace crocus
