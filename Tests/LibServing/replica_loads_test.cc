#include "LibServing/replica_loads.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

ReportSource Host(std::size_t number) {
  return {.availability_zone = "z" + std::to_string(number % 3),
          .host = "host" + std::to_string(number)};
}

}  // namespace

TEST_GROUP(ReplicaLoads_SeveralHosts){};

// Guards against every host ending a batch run when only one slot is needed.
TEST(ReplicaLoads_SeveralHosts, SharesOfTheExcessAddUpToIt) {
  const std::vector<std::uint32_t> runs = {1, 0, 1, 3, 1, 2};
  constexpr std::uint32_t kTotal = 8;
  for (std::uint32_t excess = 0; excess <= kTotal + 2; ++excess) {
    std::uint32_t ended = 0;
    for (std::size_t host = 0; host < runs.size(); ++host) {
      ReplicaLoads loads;
      loads.set_own_source(Host(host));
      for (std::size_t peer = 0; peer < runs.size(); ++peer) {
        if (peer != host) {
          loads.OnPeerReport(Host(peer), {{"i-1", {.batch = runs[peer]}}},
                             kStart);
        }
      }
      for (std::uint32_t run = 0; run < runs[host]; ++run) {
        loads.OnSent("i-1", WorkClass::kBatch);
      }
      ended += loads.OwnShareOfExcess(excess, "i-1");
    }
    CHECK_EQUAL(std::min(excess, kTotal), ended);
  }
}

TEST_GROUP(ReplicaLoads_PeerReports) {
  ReplicaLoads loads;
};

// Guards against totals that drift from the reports when reports are replaced,
// become empty or expire.
TEST(ReplicaLoads_PeerReports, TotalIsTheSumOfTheNewestReports) {
  this->loads.OnSent("i-1", WorkClass::kOnline);
  this->loads.OnPeerReport({"", "a"}, {{"i-1", {.online = 2, .batch = 1}}},
                           kStart);
  this->loads.OnPeerReport({"", "b"},
                           {{"i-1", {.online = 1}}, {"i-2", {.batch = 4}}},
                           kStart + std::chrono::seconds(1));
  CHECK((this->loads.Total("i-1") ==
         OutstandingRequests{.online = 4, .batch = 1}));
  this->loads.OnPeerReport({"", "b"}, {{"i-2", {.batch = 3}}},
                           kStart + std::chrono::seconds(1));
  CHECK((this->loads.Total("i-1") ==
         OutstandingRequests{.online = 3, .batch = 1}));
  CHECK((this->loads.Total("i-2") == OutstandingRequests{.batch = 3}));
  this->loads.DropExpiredReports(kStart + std::chrono::seconds(2));
  CHECK((this->loads.Total("i-1") == OutstandingRequests{.online = 1}));
  CHECK((this->loads.Total("i-2") == OutstandingRequests{.batch = 3}));
  this->loads.DropExpiredReports(kStart + std::chrono::seconds(3));
  CHECK((this->loads.Total("i-2") == OutstandingRequests{}));
}

// Guards against requests that count twice while hosts change from reports of
// their own to the report of their zone.
TEST(ReplicaLoads_PeerReports, ZoneReportReplacesThoseOfItsHosts) {
  this->loads.set_own_source(Host(0));
  this->loads.OnPeerReport(Host(1), {{"i-1", {.online = 2}}}, kStart);
  this->loads.OnPeerReport(Host(2), {{"i-1", {.online = 1}}}, kStart);
  const ReportSource zone{.availability_zone = Host(1).availability_zone,
                          .host = {}};
  this->loads.OnPeerReport(zone, {{"i-1", {.online = 5}}}, kStart);
  CHECK((this->loads.Total("i-1") == OutstandingRequests{.online = 6}));
  this->loads.OnPeerReport(Host(4), {{"i-1", {.online = 9}}}, kStart);
  CHECK((this->loads.Total("i-1") == OutstandingRequests{.online = 6}));
  this->loads.DropExpiredReports(kStart + std::chrono::seconds(2));
  this->loads.OnPeerReport(Host(4), {{"i-1", {.online = 9}}}, kStart);
  CHECK((this->loads.Total("i-1") == OutstandingRequests{.online = 9}));
}

// Guards against excess batch runs that are ended twice or not at all when
// hosts of other zones are known only by their sums.
TEST(ReplicaLoads_SeveralHosts, SharesAddUpWithZoneReports) {
  const std::vector<std::uint32_t> runs = {1, 0, 1, 3, 1, 2, 0, 2};
  constexpr std::uint32_t kTotal = 10;
  for (std::uint32_t excess = 0; excess <= kTotal + 2; ++excess) {
    std::uint32_t ended = 0;
    for (std::size_t host = 0; host < runs.size(); ++host) {
      ReplicaLoads loads;
      loads.set_own_source(Host(host));
      std::map<std::string, std::uint32_t> other_zones;
      for (std::size_t peer = 0; peer < runs.size(); ++peer) {
        if (peer % 3 != host % 3) {
          other_zones[Host(peer).availability_zone] += runs[peer];
        } else if (peer != host) {
          loads.OnPeerReport(Host(peer), {{"i-1", {.batch = runs[peer]}}},
                             kStart);
        }
      }
      for (const auto& [zone, batch] : other_zones) {
        loads.OnPeerReport({.availability_zone = zone, .host = {}},
                           {{"i-1", {.batch = batch}}}, kStart);
      }
      for (std::uint32_t run = 0; run < runs[host]; ++run) {
        loads.OnSent("i-1", WorkClass::kBatch);
      }
      ended += loads.OwnShareOfExcess(excess, "i-1");
    }
    CHECK_EQUAL(std::min(excess, kTotal), ended);
  }
}

}  // namespace crocus
