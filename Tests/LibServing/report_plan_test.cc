#include "LibServing/report_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr int kZones = 6;
/// Datagrams per second that a host may send and receive each, whatever the
/// size of the fleet.
constexpr int kMaximumDatagrams = 1000;
constexpr int kZoneReportsPerSecond = 10;

std::string Address(int host) {
  return "10.0.0." + std::to_string(host) + ":7000";
}

std::string Zone(int host) {
  return "z" + std::to_string(host % kZones);
}

}  // namespace

TEST_GROUP(ReportPlan_Fleet) {
  std::vector<ReportPlan> plans;

  void Build(int hosts) {
    this->plans.clear();
    for (int host = 0; host < hosts; ++host) {
      ReportPlan plan({.own_address = Address(host), .own_zone = Zone(host)});
      for (int peer = 0; peer < hosts; ++peer) {
        plan.AddPeer(Address(peer), Zone(peer), kStart);
      }
      this->plans.push_back(plan);
    }
  }
};

// Guards against zone reports in small fleets, whose delay costs accuracy.
TEST(ReportPlan_Fleet, SmallFleetReportsToAllPeers) {
  this->Build(18);
  CHECK_EQUAL(17, this->plans[3].TakeDirectReceivers(kStart).size());
  CHECK_FALSE(this->plans[3].is_zone_reporter(kStart));
}

// Guards against traffic of a host that grows with the fleet, and against zones
// that have no reporter or several.
TEST(ReportPlan_Fleet, TrafficOfAHostIsBoundedInLargeFleets) {
  for (const int hosts : {30, 100, 300, 418}) {
    this->Build(hosts);
    std::map<std::string, int> received;
    std::map<std::string, std::set<int>> reporters;
    for (int host = 0; host < hosts; ++host) {
      ReportPlan& plan = this->plans[host];
      const double per_second = 1 / ToSeconds(plan.DirectInterval(kStart));
      const auto receivers = plan.TakeDirectReceivers(kStart);
      CHECK(static_cast<double>(receivers.size()) * per_second <=
            kMaximumDatagrams);
      for (const auto& receiver : receivers) {
        received[receiver] += static_cast<int>(per_second);
      }
      if (plan.is_zone_reporter(kStart)) {
        reporters[Zone(host)].insert(host);
        for (int sequence = 0; sequence < kZoneReportsPerSecond; ++sequence) {
          const auto relays = plan.ZoneReportReceivers(sequence, kStart);
          CHECK_EQUAL(kZones - 1, relays.size());
          for (const auto& relay : relays) {
            ++received[relay];
          }
        }
      }
    }
    CHECK_EQUAL(kZones, reporters.size());
    for (const auto& [zone, hosts_of_zone] : reporters) {
      CHECK_EQUAL(1, hosts_of_zone.size());
    }
    for (const auto& [address, count] : received) {
      CHECK(count <= kMaximumDatagrams);
    }
  }
}

// Guards against a zone without reports after the loss of its reporter.
TEST(ReportPlan_Fleet, AnotherHostReportsAfterTheLossOfTheReporter) {
  this->Build(60);
  int reporter = 0;
  while (!this->plans[reporter].is_zone_reporter(kStart)) {
    ++reporter;
  }
  const TimePoint later = kStart + std::chrono::seconds(2);
  int successors = 0;
  for (int host = 0; host < 60; ++host) {
    if (host == reporter || Zone(host) != Zone(reporter)) {
      continue;
    }
    for (int peer = 0; peer < 60; ++peer) {
      if (peer != reporter) {
        this->plans[host].OnReport(Address(peer), later);
      }
    }
    successors += this->plans[host].is_zone_reporter(later) ? 1 : 0;
  }
  CHECK_EQUAL(1, successors);
}

// Guards against lost reports between hosts of different versions: an earlier
// version does not announce its zone and does not know zone reports.
TEST(ReportPlan_Fleet, PeerWithoutAZoneGetsDirectReports) {
  this->Build(60);
  this->plans[0].AddPeer("10.0.1.1:7000", "", kStart);
  const auto receivers = this->plans[0].TakeDirectReceivers(kStart);
  CHECK(std::find(receivers.begin(), receivers.end(), "10.0.1.1:7000") !=
        receivers.end());
}

}  // namespace crocus
