#ifndef LIBEVENTS_EVENT_LOG_H_
#define LIBEVENTS_EVENT_LOG_H_

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

/// Logs one event. Values with spaces or quotes are quoted.
void LogEvent(Event event, std::initializer_list<EventField> fields = {});

}  // namespace crocus

#endif  // LIBEVENTS_EVENT_LOG_H_
