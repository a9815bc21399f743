#ifndef LIBCORE_STOP_SIGNAL_H_
#define LIBCORE_STOP_SIGNAL_H_

#include <chrono>
#include <string>

namespace crocus {

/// Blocks SIGTERM and SIGINT so that WaitForStopSignal receives them. Called
/// in main before any thread starts; also ignores SIGPIPE.
void BlockStopSignals();

/// Undoes BlockStopSignals for a program whose event loop takes the signals.
void UnblockStopSignals();

/// Waits until the process is told to stop; returns the signal's name.
std::string WaitForStopSignal();

/// Writes `text` to `path` so that a reader sees all of it or nothing.
/// Returns false if the file cannot be written.
bool WriteFileAtomically(const std::string& path, const std::string& text);

}  // namespace crocus

#endif  // LIBCORE_STOP_SIGNAL_H_
