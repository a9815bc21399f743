#include "Gateway/crash_watch.h"

#include <utility>

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Time after a confirmed crash within which further lost requests of the
/// replica need no check of their own.
constexpr Duration kConfirmedTime = std::chrono::milliseconds(500);

}  // namespace

CrashWatch::CrashWatch(boost::asio::io_context& loop,
                       CrashEvidence& evidence,
                       Duration connect_timeout)
    : loop(loop), evidence(evidence), connect_timeout(connect_timeout) {}

void CrashWatch::OnBrokenAttempt(const std::string& replica,
                                 const boost::asio::ip::tcp::endpoint& address,
                                 const std::vector<std::string>& parts) {
  if (parts.empty()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  std::erase_if(this->crashed, [now](const auto& item) {
    return now - item.second > kConfirmedTime;
  });
  if (this->crashed.contains(replica)) {
    this->Record(replica, {parts});
    return;
  }
  const auto [found, is_new] = this->checks.try_emplace(replica);
  if (!is_new) {
    found->second->requests.push_back(parts);
    return;
  }
  const auto check = std::make_shared<Check>(this->loop);
  found->second = check;
  check->requests.push_back(parts);
  check->timer.expires_after(this->connect_timeout);
  check->timer.async_wait([check](const auto& error) {
    if (!error) {
      boost::system::error_code ignored;
      check->socket.close(ignored);
    }
  });
  check->socket.async_connect(address,
                              [this, check, replica](const auto& error) {
                                check->timer.cancel();
                                this->OnChecked(replica, error);
                              });
}

void CrashWatch::OnChecked(const std::string& replica,
                           const boost::system::error_code& error) {
  const auto found = this->checks.find(replica);
  const auto check = found->second;
  this->checks.erase(found);
  if (error != boost::asio::error::connection_refused) {
    return;
  }
  ++this->crash_count;
  this->crashed[replica] = BootTimeNow();
  this->Record(replica, check->requests);
}

void CrashWatch::Record(const std::string& replica,
                        const std::vector<std::vector<std::string>>& requests) {
  std::vector<std::string> all_parts;
  for (const auto& parts : requests) {
    all_parts.insert(all_parts.end(), parts.begin(), parts.end());
  }
  this->evidence.OnCrash(replica, all_parts, BootTimeNow());
  LogEvent(Event::kReplicaCrashed,
           {{"replica", replica},
            {"requests", std::to_string(requests.size())},
            {"suspects", std::to_string(this->evidence.suspects())}});
  if (this->on_crash) {
    this->on_crash();
  }
}

}  // namespace crocus
