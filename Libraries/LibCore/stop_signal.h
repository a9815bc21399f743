#ifndef LIBCORE_STOP_SIGNAL_H_
#define LIBCORE_STOP_SIGNAL_H_

#include <chrono>
#include <string>

namespace crocus {

/// Blocks SIGTERM and SIGINT so that WaitForStopSignal receives them, and
/// ignores SIGPIPE. Must be called in main before any thread starts, since
/// threads inherit the signal mask.
void BlockStopSignals();

/// Unblocks SIGTERM and SIGINT, for a program whose event loop handles them.
void UnblockStopSignals();

/// Waits for SIGTERM or SIGINT and returns the signal's name.
std::string WaitForStopSignal();

/// Replaces the file at `path` atomically, so that a reader never sees a part
/// of `text`. Returns false if the file cannot be written.
bool WriteFileAtomically(const std::string& path, const std::string& text);

}  // namespace crocus

#endif  // LIBCORE_STOP_SIGNAL_H_
