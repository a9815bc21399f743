#ifndef LIBSERVING_STREAM_PROGRESS_H_
#define LIBSERVING_STREAM_PROGRESS_H_

#include <cstdint>
#include <optional>

#include "LibServing/event_stream_parser.h"

namespace crocus {

enum class EventDecision {
  kForward,
  /// The caller has the event already, or does not need it.
  kDrop,
  /// The bytes are no event, or do not go on where the stream has stopped. No
  /// further bytes of the response may be used.
  kMalformed,
};

/// What the caller of a stream has received, which may come from the responses
/// of several replicas. Decides which events of a response go on from there.
class StreamProgress {
 public:
  /// `last_event` is the id of the last event that the caller has from an
  /// earlier request.
  explicit StreamProgress(std::optional<std::uint64_t> last_event)
      : last_event_id(last_event) {}

  /// Begins the response of a replica. With `is_resumed`, the caller has part
  /// of the response of an earlier one.
  void BeginResponse(bool is_resumed);

  EventDecision Decide(const StreamEvent& event);

  /// Whether the stream may end here as complete, as far as its events show. A
  /// resumed response without a further event may be anything.
  bool may_end() const { return !this->must_continue; }

  std::optional<std::uint64_t> last_event() const {
    return this->last_event_id;
  }

 private:
  std::optional<std::uint64_t> last_event_id;
  /// True until a resumed response has an event that goes on where the stream
  /// has stopped.
  bool must_continue = false;
};

}  // namespace crocus

#endif  // LIBSERVING_STREAM_PROGRESS_H_
