#include "LibCore/stop_signal.h"

#include <csignal>
#include <cstdio>
#include <fstream>

#include <pthread.h>

namespace crocus {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A write to a socket that the peer has closed must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
}

void UnblockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

std::string WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  return received == SIGINT ? "SIGINT" : "SIGTERM";
}

bool WriteFileAtomically(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  {
    std::ofstream stream(temporary, std::ios::trunc);
    stream << text;
    if (!stream.good()) {
      return false;
    }
  }
  return std::rename(temporary.c_str(), path.c_str()) == 0;
}

}  // namespace crocus
