#include "Gateway/peer_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibMessages/codec.h"
#include "LibMessages/messages.h"
#include "LibNetwork/peer_address.h"

namespace crocus {

namespace {

/// Minimum interval between reports; changes in between share one.
constexpr Duration kMinimumReportInterval = std::chrono::milliseconds(50);
/// Interval between reports without a change. They keep the peers' copy of this
/// host's load from expiring.
constexpr Duration kMaximumReportInterval = std::chrono::milliseconds(500);
/// A peer whose last report is older than this gets reports at
/// kIdlePeerReportInterval only.
constexpr Duration kIdlePeerThreshold = std::chrono::seconds(5);
constexpr Duration kIdlePeerReportInterval = std::chrono::seconds(2);

std::uint16_t ClampToUint16(std::uint32_t count) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      count, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

PeerExchange::PeerExchange(boost::asio::io_context& loop,
                           ReplicaLoads& loads,
                           PeerItems& items)
    : loads(loads),
      items(items),
      socket(loop),
      timer(loop),
      sender(SystemRandom()) {}

Result<void> PeerExchange::Open(const std::string& address,
                                std::uint16_t port) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  if (!error) {
    this->socket.open(boost::asio::ip::udp::v4(), error);
  }
  if (!error) {
    this->socket.bind({ip, port}, error);
  }
  if (error) {
    return Failure(ErrorCode::kUnavailable,
                   "cannot open the peer port: " + error.message());
  }
  this->own_peer_address =
      address + ":" + std::to_string(this->socket.local_endpoint().port());
  this->Receive();
  this->Schedule(kMaximumReportInterval);
  return {};
}

void PeerExchange::Stop() {
  this->is_stopped = true;
  this->timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void PeerExchange::AddPeer(const std::string& address) {
  const auto parsed = ParsePeerAddress(address);
  if (!parsed || address == this->own_peer_address ||
      this->peers.contains(address)) {
    return;
  }
  LogEvent(Event::kPeerChanged, {{"address", address}, {"state", "known"}});
  this->peers[address] = {.endpoint = {parsed->address, parsed->port},
                          .last_report_received = BootTimeNow()};
}

void PeerExchange::OnLoadChange() {
  if (!std::exchange(this->has_unreported_change, true)) {
    const Duration since = BootTimeNow() - this->last_sent;
    this->Schedule(std::max(Duration::zero(), kMinimumReportInterval - since));
  }
}

void PeerExchange::Schedule(Duration delay) {
  if (this->is_stopped) {
    return;
  }
  this->timer.expires_after(delay);
  this->timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      this->SendReports();
    }
  });
}

void PeerExchange::SendReports() {
  this->has_unreported_change = false;
  this->last_sent = BootTimeNow();
  messages::OutstandingReport report{.sender = this->sender,
                                     .sequence = ++this->sequence};
  for (const auto& [replica, outstanding] : this->loads.OwnLoads()) {
    report.replicas.push_back({.replica = replica,
                               .online = ClampToUint16(outstanding.online),
                               .batch = ClampToUint16(outstanding.batch)});
  }
  if (this->add_items) {
    this->add_items(report);
  }
  const std::string bytes = Encode(report);
  for (auto& [address, peer] : this->peers) {
    if (this->last_sent - peer.last_report_received > kIdlePeerThreshold &&
        this->last_sent - peer.last_report_sent < kIdlePeerReportInterval) {
      continue;
    }
    peer.last_report_sent = this->last_sent;
    // A lost report needs no retry: the next one contains the complete state.
    boost::system::error_code ignored;
    this->socket.send_to(boost::asio::buffer(bytes), peer.endpoint, 0, ignored);
  }
  this->Schedule(kMaximumReportInterval);
}

void PeerExchange::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->source,
      [this](const auto& error, std::size_t bytes) {
        if (this->is_stopped ||
            error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          this->OnDatagram(bytes);
        }
        this->Receive();
      });
}

void PeerExchange::OnDatagram(std::size_t bytes) {
  const std::string address = this->source.address().to_string() + ":" +
                              std::to_string(this->source.port());
  const auto report = Decode<messages::OutstandingReport>(
      std::string_view(this->buffer.data(), bytes));
  if (!report) {
    LogEvent(Event::kPeerReportRejected,
             {{"peer", address}, {"reason", report.error().message}});
    return;
  }
  this->AddPeer(address);
  const auto found = this->peers.find(address);
  if (found == this->peers.end()) {
    return;
  }
  Peer& peer = found->second;
  if (report->sender == peer.sender && report->sequence <= peer.sequence) {
    return;
  }
  peer.sender = report->sender;
  peer.sequence = report->sequence;
  peer.last_report_received = BootTimeNow();
  std::map<std::string, OutstandingRequests> outstanding;
  for (const auto& replica : report->replicas) {
    outstanding[replica.replica] = {.online = replica.online,
                                    .batch = replica.batch};
  }
  this->items.OnReport(address, {report->items.begin(), report->items.end()},
                       report->next_due_ms, peer.last_report_received);
  this->loads.OnPeerReport(address, std::move(outstanding),
                           peer.last_report_received);
  if (this->on_report) {
    this->on_report();
  }
}

}  // namespace crocus
