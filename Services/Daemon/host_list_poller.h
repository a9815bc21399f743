#ifndef DAEMON_HOST_LIST_POLLER_H_
#define DAEMON_HOST_LIST_POLLER_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "LibCore/result.h"

namespace crocus {

/// Returns whether the platform's host list marks `host` as leaving. Fails if
/// the text is not a host list.
Result<bool> IsHostLeaving(const std::string& text, const std::string& host);

struct HostListPollerOptions {
  /// Base URL of the host list; if it is empty, nothing is polled.
  std::string url;
  std::string host;
  std::chrono::milliseconds interval{5000};
};

/// Polls the platform's host list and reports the state of one host after each
/// successful poll. If the list cannot be read, nothing is reported.
class HostListPoller {
 public:
  HostListPoller(HostListPollerOptions options,
                 std::function<void(bool is_leaving)> on_state);
  ~HostListPoller();
  HostListPoller(const HostListPoller&) = delete;
  HostListPoller& operator=(const HostListPoller&) = delete;

 private:
  void Run();
  void Poll();

  const HostListPollerOptions options;
  const std::function<void(bool)> on_state;
  std::mutex mutex;
  std::condition_variable wake;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace crocus

#endif  // DAEMON_HOST_LIST_POLLER_H_
