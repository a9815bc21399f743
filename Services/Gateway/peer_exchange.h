#ifndef GATEWAY_PEER_EXCHANGE_H_
#define GATEWAY_PEER_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibServing/peer_items.h"
#include "LibServing/replica_loads.h"

namespace crocus {

/// Sends the other gateways reports of what this host has running at each
/// replica, and receives theirs, so that each host places requests by the load
/// from all hosts.
class PeerExchange {
 public:
  PeerExchange(boost::asio::io_context& loop,
               ReplicaLoads& loads,
               PeerItems& items);

  /// Fails with kUnavailable if the port cannot be opened.
  Result<void> Open(const std::string& address, std::uint16_t port);
  void Stop();

  /// Adds another gateway by its address, IP:port. This host's own is skipped.
  void AddPeer(const std::string& address);

  /// Schedules a report, which is sent after the minimum interval at the
  /// latest.
  void OnLoadChange();

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
  struct Peer {
    boost::asio::ip::udp::endpoint endpoint;
    TimePoint last_report_received{};
    TimePoint last_report_sent{};
    /// Sender and sequence number of its last accepted report. A report of the
    /// same sender whose number is not higher is ignored.
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
  };

  void Receive();
  void OnDatagram(std::size_t bytes);
  void SendReports();
  void Schedule(Duration delay);

  ReplicaLoads& loads;
  PeerItems& items;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  /// Identifies this process in its reports; drawn at random at its start.
  const std::uint64_t sender;
  std::uint64_t sequence = 0;
  std::string own_peer_address;
  /// By their addresses.
  std::map<std::string, Peer> peers;
  /// Source and bytes of the last received datagram.
  boost::asio::ip::udp::endpoint source;
  std::array<char, 65536> buffer{};
  std::function<void()> on_report;
  std::function<void(messages::OutstandingReport&)> add_items;
  TimePoint last_sent{};
  bool has_unreported_change = false;
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // GATEWAY_PEER_EXCHANGE_H_
