#include "LibServing/stream_progress.h"

namespace crocus {

void StreamProgress::BeginResponse(bool is_resumed) {
  this->must_continue = is_resumed;
}

EventDecision StreamProgress::Decide(const StreamEvent& event) {
  if (event.is_malformed) {
    return EventDecision::kMalformed;
  }
  if (!event.id) {
    if (!this->must_continue) {
      return EventDecision::kForward;
    }
    // A comment is no part of the stream; data without an id may be anything.
    return event.has_data ? EventDecision::kMalformed : EventDecision::kDrop;
  }
  if (this->last_event_id && *event.id <= *this->last_event_id) {
    return EventDecision::kDrop;
  }
  if (this->must_continue && this->last_event_id &&
      *event.id != *this->last_event_id + 1) {
    return EventDecision::kMalformed;
  }
  this->must_continue = false;
  this->last_event_id = event.id;
  return EventDecision::kForward;
}

}  // namespace crocus
