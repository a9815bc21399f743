#ifndef LIBEVENTS_EVENT_LOG_H_
#define LIBEVENTS_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "LibEvents/event_catalogue.h"

namespace crocus {

using EventField = std::pair<std::string_view, std::string>;

/// Starts logging to standard error, one line an event. Events below
/// `minimum` are dropped.
void StartEventLog(Severity minimum);

/// Starts logging to standard output without ever waiting for its reader: at
/// most `lines_per_second` lines, and none that the pipe has no room for. What
/// is dropped is counted in a later line (log_lines_dropped).
void StartRateLimitedEventLog(Severity minimum, std::uint32_t lines_per_second);

/// Logs one event. Values with spaces or quotes are quoted.
void LogEvent(Event event, std::initializer_list<EventField> fields = {});

}  // namespace crocus

#endif  // LIBEVENTS_EVENT_LOG_H_
