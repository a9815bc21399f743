#include "LibEvents/event_log.h"

#include <unistd.h>

#include <atomic>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include "LibEvents/rate_limited_line_backend.h"

namespace crocus {

namespace {

std::atomic<Severity> minimum_severity{Severity::kError};

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void WriteValue(std::ostream& stream, std::string_view value) {
  if (!NeedsQuotes(value)) {
    stream << value;
    return;
  }
  stream << '"';
  for (const char character : value) {
    if (character == '\n') {
      stream << "\\n";
    } else if (character == '\r') {
      stream << "\\r";
    } else if (character == '"' || character == '\\') {
      stream << '\\' << character;
    } else {
      stream << character;
    }
  }
  stream << '"';
}

std::string Timestamp() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::ostringstream out;
  out << std::string_view(text, length) << '.' << std::setfill('0')
      << std::setw(6) << now.tv_nsec / 1000 << 'Z';
  return out.str();
}

}  // namespace

void StartEventLog(Severity minimum) {
  namespace sinks = boost::log::sinks;
  using Backend = sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<sinks::synchronous_sink<Backend>>(backend);
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sink);
  minimum_severity = minimum;
}

void StartRateLimitedEventLog(Severity minimum,
                              std::uint32_t lines_per_second) {
  namespace sinks = boost::log::sinks;
  auto sink =
      boost::make_shared<sinks::synchronous_sink<RateLimitedLineBackend>>(
          boost::make_shared<RateLimitedLineBackend>(STDOUT_FILENO,
                                                     lines_per_second));
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sink);
  minimum_severity = minimum;
}

void LogEvent(Event event, std::initializer_list<EventField> fields) {
  const Severity severity = EventSeverity(event);
  if (severity < minimum_severity.load(std::memory_order_relaxed)) {
    return;
  }
  std::ostringstream line;
  line << Timestamp() << ' ' << SeverityName(severity) << ' '
       << static_cast<std::uint32_t>(event) << ' ' << EventName(event);
  for (const auto& [key, value] : fields) {
    line << ' ' << key << '=';
    WriteValue(line, value);
  }
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << line.str();
}

}  // namespace crocus
