#ifndef GATEWAY_CRASH_WATCH_H_
#define GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/time.h"
#include "LibServing/crash_evidence.h"

namespace crocus {

/// Finds out whether a replica that broke off a response has crashed, by
/// opening a connection: a crashed replica refuses it. A replica that only
/// broke off one response, or whose connections were reset, accepts it; one
/// that is cut off does neither.
class CrashWatch {
 public:
  CrashWatch(boost::asio::io_context& loop,
             CrashEvidence& evidence,
             Duration connect_timeout);

  /// A request with these shared parts has lost its connection to the replica
  /// before its response was complete.
  void OnBrokenAttempt(const std::string& replica,
                       const boost::asio::ip::tcp::endpoint& address,
                       const std::vector<std::string>& parts);

  /// Sets the callback for each confirmed crash.
  void set_on_crash(std::function<void()> callback) {
    this->on_crash = std::move(callback);
  }

  std::uint64_t crashes() const { return this->crash_count; }

 private:
  struct Check {
    explicit Check(boost::asio::io_context& loop) : socket(loop), timer(loop) {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    /// The shared parts of each request that was lost.
    std::vector<std::vector<std::string>> requests;
  };

  void OnChecked(const std::string& replica,
                 const boost::system::error_code& error);
  void Record(const std::string& replica,
              const std::vector<std::vector<std::string>>& requests);

  boost::asio::io_context& loop;
  CrashEvidence& evidence;
  const Duration connect_timeout;
  std::map<std::string, std::shared_ptr<Check>> checks;
  /// Last confirmed crash of each replica; recent ones only.
  std::map<std::string, TimePoint> crashed;
  std::function<void()> on_crash;
  std::uint64_t crash_count = 0;
};

}  // namespace crocus

#endif  // GATEWAY_CRASH_WATCH_H_
