#include "LibServing/replica_loads.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

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
      loads.set_own_name("host" + std::to_string(host));
      for (std::size_t peer = 0; peer < runs.size(); ++peer) {
        if (peer != host) {
          loads.OnPeerReport("host" + std::to_string(peer),
                             {{"i-1", {.batch = runs[peer]}}}, kStart);
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
  this->loads.OnPeerReport("a", {{"i-1", {.online = 2, .batch = 1}}}, kStart);
  this->loads.OnPeerReport("b", {{"i-1", {.online = 1}}, {"i-2", {.batch = 4}}},
                           kStart + std::chrono::seconds(1));
  CHECK((this->loads.Total("i-1") ==
         OutstandingRequests{.online = 4, .batch = 1}));
  this->loads.OnPeerReport("b", {{"i-2", {.batch = 3}}},
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

}  // namespace crocus
