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

/// Starts logging to standard error, one line per event. Events with a
/// severity below `minimum` are dropped.
void StartEventLog(Severity minimum);

/// Starts logging to standard output without blocking when its reader is slow.
/// Lines above `lines_per_second`, and lines that do not fit into the pipe's
/// buffer, are dropped; a later log_lines_dropped event contains their number.
void StartRateLimitedEventLog(Severity minimum, std::uint32_t lines_per_second);

/// Logs one event. Values that are empty or contain white space, quotes or
/// equals signs are quoted.
void LogEvent(Event event, std::initializer_list<EventField> fields = {});

}  // namespace crocus

#endif  // LIBEVENTS_EVENT_LOG_H_
