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

/// Shortest time between reports; changes in between share one.
constexpr Duration kReportPause = std::chrono::milliseconds(50);
/// Reports without a change, so that peers do not take this host to be gone.
constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// A peer that is silent for this long gets a report now and then only.
constexpr Duration kSilentAfter = std::chrono::seconds(5);
constexpr Duration kSilentInterval = std::chrono::seconds(2);

std::uint16_t Clamp16(std::uint32_t count) {
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
  this->own =
      address + ":" + std::to_string(this->socket.local_endpoint().port());
  this->Receive();
  this->Schedule(kReportInterval);
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
  if (!parsed || address == this->own || this->peers.contains(address)) {
    return;
  }
  LogEvent(Event::kPeerChanged, {{"address", address}, {"state", "known"}});
  this->peers[address] = {.endpoint = {parsed->address, parsed->port},
                          .heard = BootTimeNow()};
}

void PeerExchange::OnLoadChange() {
  if (!std::exchange(this->has_change, true)) {
    const Duration since = BootTimeNow() - this->last_sent;
    this->Schedule(std::max(Duration::zero(), kReportPause - since));
  }
}

void PeerExchange::Schedule(Duration pause) {
  if (this->is_stopped) {
    return;
  }
  this->timer.expires_after(pause);
  this->timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      this->SendReports();
    }
  });
}

void PeerExchange::SendReports() {
  this->has_change = false;
  this->last_sent = BootTimeNow();
  messages::OutstandingReport report{.sender = this->sender,
                                     .sequence = ++this->sequence};
  for (const auto& [replica, outstanding] : this->loads.OwnLoads()) {
    report.replicas.push_back({.replica = replica,
                               .online = Clamp16(outstanding.online),
                               .batch = Clamp16(outstanding.batch)});
  }
  if (this->add_items) {
    this->add_items(report);
  }
  const std::string bytes = Encode(report);
  for (auto& [address, peer] : this->peers) {
    if (this->last_sent - peer.heard > kSilentAfter &&
        this->last_sent - peer.sent < kSilentInterval) {
      continue;
    }
    peer.sent = this->last_sent;
    // A report that is lost is made up for by the next one.
    boost::system::error_code ignored;
    this->socket.send_to(boost::asio::buffer(bytes), peer.endpoint, 0, ignored);
  }
  this->Schedule(kReportInterval);
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
  peer.heard = BootTimeNow();
  std::map<std::string, OutstandingRequests> outstanding;
  for (const auto& replica : report->replicas) {
    outstanding[replica.replica] = {.online = replica.online,
                                    .batch = replica.batch};
  }
  this->items.OnReport(address, {report->items.begin(), report->items.end()},
                       report->next_due_ms, peer.heard);
  this->loads.OnPeerReport(address, std::move(outstanding), peer.heard);
  if (this->on_report) {
    this->on_report();
  }
}

}  // namespace crocus
