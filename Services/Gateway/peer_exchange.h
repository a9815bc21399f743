#ifndef GATEWAY_PEER_EXCHANGE_H_
#define GATEWAY_PEER_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/random.h"
#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibServing/crash_evidence.h"
#include "LibServing/peer_items.h"
#include "LibServing/repeated_update.h"
#include "LibServing/replica_loads.h"
#include "LibServing/report_plan.h"
#include "LibServing/report_source.h"
#include "LibServing/workspace_allotments.h"

namespace crocus {

/// Identity of this gateway among its peers.
struct PeerExchangeOptions {
  /// IP address and UDP port; port 0 lets the kernel choose.
  std::string address;
  std::uint16_t port = 0;
  std::string availability_zone;
};

/// Exchanges reports of what each gateway has running at each replica, so that
/// each host places requests by the load from all hosts, and of the requests of
/// workspaces with limits. ReportPlan decides who receives which report.
class PeerExchange {
 public:
  PeerExchange(boost::asio::io_context& loop,
               ReplicaLoads& loads,
               PeerItems& items,
               CrashEvidence& crash_evidence,
               WorkspaceAllotments& allotments);

  /// Fails with kUnavailable if the port cannot be opened.
  Result<void> Open(const PeerExchangeOptions& options);
  void Stop();

  /// Adds another gateway by its address, IP:port, and its availability zone,
  /// which is empty if it is not known. This host's own address is skipped.
  void AddPeer(const std::string& address, const std::string& zone);

  /// Schedules a report, which is sent after the minimum interval at the
  /// latest.
  void OnLoadChange();

  /// Number of running gateways, this one included.
  std::size_t running_hosts() const {
    return this->plan ? this->plan->RunningHosts(BootTimeNow()) : 1;
  }

  /// Sets the callback for each accepted report of a peer.
  void set_on_report(std::function<void()> callback) {
    this->on_report = std::move(callback);
  }

  /// Sets the callback that adds the batch items of this host to a report.
  void set_add_items(
      std::function<void(messages::OutstandingReport&)> callback) {
    this->add_items = std::move(callback);
  }

  const std::string& own_address() const { return this->own_peer_address; }

 private:
  /// Sender and sequence number of the last accepted report of a source. A
  /// report of the same sender whose number is not higher is ignored.
  struct LastReport {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
  };

  void Receive();
  void OnDatagram(std::string_view bytes);
  void OnHostReport(const std::string& address, std::string_view bytes);
  void OnZoneReport(const std::string& address, std::string_view bytes);
  /// Returns true, and notes the report, if it is newer than the last one of
  /// that source.
  bool AcceptReport(const ReportSource& source,
                    std::uint64_t report_sender,
                    std::uint64_t report_sequence);
  void RejectReport(const std::string& address, const std::string& reason);
  /// Passes a received report to the load table and the item table.
  void ApplyReport(const ReportSource& source,
                   const std::vector<messages::ReplicaOutstanding>& replicas,
                   const std::vector<std::uint64_t>& running_items,
                   std::int64_t next_due_ms);
  messages::OutstandingReport MakeHostReport();
  void SendReports();
  void SendZoneReport();
  /// Sends the evidence on crashes to that share of the receivers, drawn at
  /// random.
  void SendCrashEvidence(const std::vector<std::string>& receivers,
                         bool is_relayed,
                         double share);
  /// The evidence on crashes as a frame. `is_relayed` is false if the receiver
  /// passes it on within its zone.
  std::string EncodeCrashEvidence(bool is_relayed) const;
  void OnCrashReport(const std::string& address, std::string_view bytes);
  /// Sends the use of workspaces with limits at this host, or in its zone.
  void SendAllotments(const std::vector<std::string>& receivers,
                      bool is_zone_report);
  void OnAllotmentReport(const std::string& address, std::string_view bytes);
  void SendTo(const std::string& address, const std::string& bytes);
  void Schedule(Duration delay);
  void ScheduleZoneReport();

  ReplicaLoads& loads;
  PeerItems& items;
  CrashEvidence& crash_evidence;
  WorkspaceAllotments& allotments;
  /// When the evidence is sent to the receivers of this host's reports, and to
  /// those of its zone's.
  RepeatedUpdate direct_evidence;
  RepeatedUpdate zone_evidence;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer zone_timer;
  /// Identifies this process in its reports; drawn at random at its start.
  const std::uint64_t sender;
  Random random;
  std::uint64_t sequence = 0;
  std::string own_peer_address;
  std::string own_zone;
  std::optional<ReportPlan> plan;
  std::map<std::string, boost::asio::ip::udp::endpoint> endpoints;
  std::map<ReportSource, LastReport> last_reports;
  /// Source and bytes of the last received datagram.
  boost::asio::ip::udp::endpoint source;
  std::array<char, 65536> buffer{};
  std::function<void()> on_report;
  std::function<void(messages::OutstandingReport&)> add_items;
  TimePoint last_sent{};
  TimePoint allotments_sent{};
  bool has_unreported_change = false;
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // GATEWAY_PEER_EXCHANGE_H_
