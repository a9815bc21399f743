#include "Gateway/peer_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LibCore/hashing.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibMessages/codec.h"
#include "LibMessages/frame.h"
#include "LibMessages/messages.h"
#include "LibNetwork/peer_address.h"

namespace crocus {

namespace {

/// Interval between reports without a change. They keep the peers' copy of this
/// host's load from expiring.
constexpr Duration kMaximumReportInterval = std::chrono::milliseconds(500);
/// The same while workspaces have limits: a host that is not heard of is taken
/// for one that is cut off.
constexpr Duration kMaximumAllotmentInterval = std::chrono::milliseconds(150);
/// How long hosts that are not heard of are expected to be cut off rather than
/// gone.
constexpr Duration kKnownHostLifetime = std::chrono::seconds(30);
/// Workspaces in a report of allotments that is accepted. The largest one that
/// is sent has `WorkspaceAllotmentsOptions::maximum_entries`.
constexpr std::size_t kMaximumWorkspaceUses = 2048;
constexpr std::uint32_t kMaximumReportedHosts = 100000;
/// Interval between the reports of a zone. Each crosses zones, which is billed.
constexpr Duration kZoneReportInterval = std::chrono::milliseconds(100);

std::uint16_t ClampToUint16(std::uint32_t count) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      count, std::numeric_limits<std::uint16_t>::max()));
}

std::vector<messages::ReplicaOutstanding> ToMessage(
    const std::map<std::string, OutstandingRequests>& loads) {
  std::vector<messages::ReplicaOutstanding> replicas;
  replicas.reserve(loads.size());
  for (const auto& [replica, outstanding] : loads) {
    replicas.push_back({.replica = replica,
                        .online = ClampToUint16(outstanding.online),
                        .batch = ClampToUint16(outstanding.batch)});
  }
  return replicas;
}

/// Zone reports are sent as frames, reports of a host without a frame header.
/// The length in the header tells them apart: a host's report begins with a
/// random number.
bool IsFrameOf(messages::MessageType type, std::string_view bytes) {
  const auto header = DecodeFrameHeader(bytes);
  return header && header->type == type &&
         header->body_bytes + kFrameHeaderBytes == bytes.size();
}

}  // namespace

PeerExchange::PeerExchange(boost::asio::io_context& loop,
                           ReplicaLoads& loads,
                           PeerItems& items,
                           CrashEvidence& crash_evidence,
                           WorkspaceAllotments& allotments)
    : loads(loads),
      items(items),
      crash_evidence(crash_evidence),
      allotments(allotments),
      socket(loop),
      timer(loop),
      zone_timer(loop),
      sender(SystemRandom()),
      random(SystemRandom()) {}

Result<void> PeerExchange::Open(const PeerExchangeOptions& options) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(options.address, error);
  if (!error) {
    this->socket.open(boost::asio::ip::udp::v4(), error);
  }
  if (!error) {
    this->socket.bind({ip, options.port}, error);
  }
  if (error) {
    return Failure(ErrorCode::kUnavailable,
                   "cannot open the peer port: " + error.message());
  }
  this->own_peer_address = options.address + ":" +
                           std::to_string(this->socket.local_endpoint().port());
  this->own_zone = options.availability_zone;
  this->plan.emplace(ReportPlanOptions{.own_address = this->own_peer_address,
                                       .own_zone = this->own_zone});
  this->loads.set_own_source(
      {.availability_zone = this->own_zone, .host = this->own_peer_address});
  this->Receive();
  this->Schedule(kMaximumReportInterval);
  this->ScheduleZoneReport();
  return {};
}

void PeerExchange::Stop() {
  this->is_stopped = true;
  this->timer.cancel();
  this->zone_timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void PeerExchange::AddPeer(const std::string& address,
                           const std::string& zone) {
  const auto parsed = ParsePeerAddress(address);
  if (!parsed || !this->plan->AddPeer(address, zone, BootTimeNow())) {
    return;
  }
  this->endpoints[address] = {parsed->address, parsed->port};
  LogEvent(Event::kPeerChanged,
           {{"address", address}, {"zone", zone}, {"state", "known"}});
  // The peer may have started after the crashes.
  if (this->crash_evidence.size() > 0 &&
      this->plan->IsDirectReceiver(address, BootTimeNow())) {
    this->SendTo(address, this->EncodeCrashEvidence(true));
  }
}

void PeerExchange::OnLoadChange() {
  if (!std::exchange(this->has_unreported_change, true)) {
    const TimePoint now = BootTimeNow();
    this->Schedule(
        std::max(Duration::zero(),
                 this->last_sent + this->plan->DirectInterval(now) - now));
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

void PeerExchange::ScheduleZoneReport() {
  this->zone_timer.expires_after(kZoneReportInterval);
  this->zone_timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      if (this->plan->is_zone_reporter(BootTimeNow())) {
        this->SendZoneReport();
      }
      this->ScheduleZoneReport();
    }
  });
}

void PeerExchange::SendTo(const std::string& address,
                          const std::string& bytes) {
  // A lost report needs no retry: the next one contains the complete state.
  boost::system::error_code ignored;
  this->socket.send_to(boost::asio::buffer(bytes), this->endpoints.at(address),
                       0, ignored);
}

messages::OutstandingReport PeerExchange::MakeHostReport() {
  messages::OutstandingReport report{
      .sender = this->sender,
      .sequence = ++this->sequence,
      .replicas = ToMessage(this->loads.OwnLoads())};
  if (this->add_items) {
    this->add_items(report);
  }
  return report;
}

void PeerExchange::SendReports() {
  this->has_unreported_change = false;
  this->last_sent = BootTimeNow();
  const std::string bytes = Encode(this->MakeHostReport());
  const auto receivers = this->plan->TakeDirectReceivers(this->last_sent);
  for (const auto& address : receivers) {
    this->SendTo(address, bytes);
  }
  this->SendCrashEvidence(
      receivers, true,
      this->direct_evidence.TakeShare(this->crash_evidence.own_changes(),
                                      !this->crash_evidence.blocked().empty(),
                                      receivers.size(), this->last_sent));
  this->SendAllotments(receivers, false);
  this->Schedule(this->allotments.has_limits()
                     ? std::max(kMaximumAllotmentInterval,
                                this->plan->DirectInterval(this->last_sent))
                     : kMaximumReportInterval);
}

void PeerExchange::SendZoneReport() {
  const TimePoint now = BootTimeNow();
  const auto own = this->MakeHostReport();
  messages::ZoneReport report{.sender = this->sender,
                              .sequence = own.sequence,
                              .availability_zone = this->own_zone,
                              .replicas = ToMessage(this->loads.ZoneLoads()),
                              .items = own.items,
                              .next_due_ms = own.next_due_ms,
                              .members = {HashBytes(this->own_peer_address)}};
  const auto mates_items = this->items.ItemsInZone(this->own_zone, now);
  report.items.insert(report.items.end(), mates_items.begin(),
                      mates_items.end());
  if (const auto due = this->items.EarliestDue(now, this->own_zone);
      due && (report.next_due_ms == 0 || *due < report.next_due_ms)) {
    report.next_due_ms = *due;
  }
  for (const auto& mate : this->plan->ZoneMates(now)) {
    report.members.push_back(HashBytes(mate));
  }
  const std::string bytes = EncodeFrame(MakeFrame(report));
  const auto receivers = this->plan->ZoneReportReceivers(report.sequence, now);
  for (const auto& address : receivers) {
    this->SendTo(address, bytes);
  }
  this->SendCrashEvidence(
      receivers, false,
      this->zone_evidence.TakeShare(this->crash_evidence.changes_known(),
                                    !this->crash_evidence.blocked().empty(),
                                    receivers.size(), now));
  this->SendAllotments(receivers, true);
}

void PeerExchange::SendAllotments(const std::vector<std::string>& receivers,
                                  bool is_zone_report) {
  if (!this->allotments.has_limits()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  this->allotments.set_known_hosts(
      this->plan->HostsWithin(kKnownHostLifetime, now));
  messages::AllotmentReport report{
      .sender = this->sender, .sequence = ++this->sequence, .hosts = 1};
  if (is_zone_report) {
    report.availability_zone = this->own_zone;
    report.hosts +=
        static_cast<std::uint32_t>(this->plan->ZoneMates(now).size());
    report.uses = this->allotments.ZoneReport(now);
  } else {
    report.uses = this->allotments.Report(now);
    // An empty report only tells that this host is not cut off. It may come a
    // little before the interval, which the timer exceeds.
    if (report.uses.empty() &&
        now - this->allotments_sent < kMaximumAllotmentInterval * 9 / 10) {
      return;
    }
    this->allotments_sent = now;
  }
  const std::string bytes = EncodeFrame(MakeFrame(report));
  for (const auto& address : receivers) {
    this->SendTo(address, bytes);
  }
}

void PeerExchange::OnAllotmentReport(const std::string& address,
                                     std::string_view bytes) {
  auto report = Decode<messages::AllotmentReport>(bytes);
  if (!report) {
    this->RejectReport(address, report.error().message);
    return;
  }
  if (report->uses.size() > kMaximumWorkspaceUses ||
      report->hosts > kMaximumReportedHosts) {
    this->RejectReport(address, "allotment report out of bounds");
    return;
  }
  // Hosts become known by their load reports or by the store.
  if (this->endpoints.count(address) == 0 || !this->allotments.has_limits()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (report->availability_zone.empty()) {
    this->allotments.OnPeerReport(
        {.availability_zone = this->plan->ZoneOf(address), .host = address},
        report->sender, report->sequence, 1, report->uses, now);
    return;
  }
  if (report->availability_zone == this->own_zone ||
      !this->allotments.OnPeerReport(
          {.availability_zone = report->availability_zone, .host = {}},
          report->sender, report->sequence, report->hosts, report->uses, now)) {
    return;
  }
  if (!std::exchange(report->is_relayed, true)) {
    const std::string relayed = EncodeFrame(MakeFrame(*report));
    for (const auto& mate : this->plan->ZoneMates(now)) {
      this->SendTo(mate, relayed);
    }
  }
}

void PeerExchange::SendCrashEvidence(const std::vector<std::string>& receivers,
                                     bool is_relayed,
                                     double share) {
  if (share == 0) {
    return;
  }
  const std::string evidence = this->EncodeCrashEvidence(is_relayed);
  for (const auto& address : receivers) {
    if (this->random.Chance(share)) {
      this->SendTo(address, evidence);
    }
  }
}

std::string PeerExchange::EncodeCrashEvidence(bool is_relayed) const {
  return EncodeFrame(MakeFrame(messages::CrashReport{
      .availability_zone = this->own_zone,
      .is_relayed = is_relayed,
      .parts = this->crash_evidence.Report(BootTimeNow())}));
}

void PeerExchange::OnCrashReport(const std::string& address,
                                 std::string_view bytes) {
  auto report = Decode<messages::CrashReport>(bytes);
  if (!report) {
    this->RejectReport(address, report.error().message);
    return;
  }
  const TimePoint now = BootTimeNow();
  const std::uint64_t known_before = this->crash_evidence.changes_known();
  this->crash_evidence.Merge(report->parts, now);
  const bool is_news = this->crash_evidence.changes_known() != known_before;
  if (is_news && !report->is_relayed &&
      report->availability_zone != this->own_zone) {
    this->SendCrashEvidence(this->plan->ZoneMates(now), true, 1);
  }
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
          this->OnDatagram(std::string_view(this->buffer.data(), bytes));
        }
        this->Receive();
      });
}

void PeerExchange::OnDatagram(std::string_view bytes) {
  const std::string address = this->source.address().to_string() + ":" +
                              std::to_string(this->source.port());
  if (IsFrameOf(messages::ZoneReport::kType, bytes)) {
    this->OnZoneReport(address, bytes.substr(kFrameHeaderBytes));
  } else if (IsFrameOf(messages::CrashReport::kType, bytes)) {
    this->OnCrashReport(address, bytes.substr(kFrameHeaderBytes));
  } else if (IsFrameOf(messages::AllotmentReport::kType, bytes)) {
    this->OnAllotmentReport(address, bytes.substr(kFrameHeaderBytes));
  } else {
    this->OnHostReport(address, bytes);
  }
}

void PeerExchange::RejectReport(const std::string& address,
                                const std::string& reason) {
  LogEvent(Event::kPeerReportRejected, {{"peer", address}, {"reason", reason}});
}

bool PeerExchange::AcceptReport(const ReportSource& report_source,
                                std::uint64_t report_sender,
                                std::uint64_t report_sequence) {
  LastReport& last = this->last_reports[report_source];
  if (report_sender == last.sender && report_sequence <= last.sequence) {
    return false;
  }
  last = {.sender = report_sender, .sequence = report_sequence};
  return true;
}

void PeerExchange::OnHostReport(const std::string& address,
                                std::string_view bytes) {
  const auto report = Decode<messages::OutstandingReport>(bytes);
  if (!report) {
    this->RejectReport(address, report.error().message);
    return;
  }
  if (address == this->own_peer_address) {
    return;
  }
  this->AddPeer(address, "");
  const ReportSource host{.availability_zone = this->plan->ZoneOf(address),
                          .host = address};
  if (this->AcceptReport(host, report->sender, report->sequence)) {
    this->plan->OnReport(address, BootTimeNow());
    this->ApplyReport(host, report->replicas, report->items,
                      report->next_due_ms);
  }
}

void PeerExchange::OnZoneReport(const std::string& address,
                                std::string_view bytes) {
  auto report = Decode<messages::ZoneReport>(bytes);
  if (!report) {
    this->RejectReport(address, report.error().message);
    return;
  }
  const ReportSource zone{.availability_zone = report->availability_zone,
                          .host = {}};
  if (zone.availability_zone.empty() ||
      zone.availability_zone == this->own_zone ||
      !this->AcceptReport(zone, report->sender, report->sequence)) {
    return;
  }
  const TimePoint now = BootTimeNow();
  for (const auto member : report->members) {
    this->plan->OnMember(member, now);
  }
  this->ApplyReport(zone, report->replicas, report->items, report->next_due_ms);
  if (!std::exchange(report->is_relayed, true)) {
    const std::string relayed = EncodeFrame(MakeFrame(*report));
    for (const auto& mate : this->plan->ZoneMates(now)) {
      this->SendTo(mate, relayed);
    }
  }
}

void PeerExchange::ApplyReport(
    const ReportSource& report_source,
    const std::vector<messages::ReplicaOutstanding>& replicas,
    const std::vector<std::uint64_t>& running_items,
    std::int64_t next_due_ms) {
  const TimePoint now = BootTimeNow();
  std::map<std::string, OutstandingRequests> outstanding;
  for (const auto& replica : replicas) {
    outstanding[replica.replica] = {.online = replica.online,
                                    .batch = replica.batch};
  }
  this->items.OnReport(report_source,
                       {running_items.begin(), running_items.end()},
                       next_due_ms, now);
  this->loads.OnPeerReport(report_source, std::move(outstanding), now);
  if (this->on_report) {
    this->on_report();
  }
}

}  // namespace crocus
