#include "LibServing/load_spread.h"

#include <CppUTest/TestHarness.h>

#include <numeric>

namespace crocus {

namespace {

/// A service time of 0.5 s divided by five slots.
constexpr double kWait = 0.1;
constexpr double kOtherZone = 0.004;
constexpr double kOtherRegion = 0.04;

/// The shares of one replica in each zone, given their spare slots.
std::vector<double> Spread(std::int64_t own_zone,
                           std::int64_t other_zone,
                           std::int64_t other_region,
                           double requests) {
  return SpreadRequests({{.spare_slots = own_zone, .wait_per_request = kWait},
                         {.network_cost = kOtherZone,
                          .spare_slots = other_zone,
                          .wait_per_request = kWait},
                         {.network_cost = kOtherRegion,
                          .spare_slots = other_region,
                          .wait_per_request = kWait}},
                        requests);
}

}  // namespace

TEST_GROUP(LoadSpread_ThreeZones){};

// Guards against requests to other zones while the own zone has free slots for
// all of them.
TEST(LoadSpread_ThreeZones, FreeSlotsOfTheOwnZoneAreTakenFirst) {
  const auto shares = Spread(5, 5, 5, 4);
  DOUBLES_EQUAL(4, shares[0], 0.01);
  DOUBLES_EQUAL(0, shares[1], 0.01);
  DOUBLES_EQUAL(0, shares[2], 0.01);
}

// Guards against sending all requests to one replica for its last free slot.
TEST(LoadSpread_ThreeZones, MoreRequestsThanFreeSlotsReachTheNextZones) {
  const auto shares = Spread(1, 2, 5, 4);
  DOUBLES_EQUAL(1, shares[0], 0.01);
  DOUBLES_EQUAL(2, shares[1], 0.01);
  DOUBLES_EQUAL(1, shares[2], 0.01);
}

// Guards against a queue in one zone whose wait exceeds that of the others by
// more than the network cost.
TEST(LoadSpread_ThreeZones, QueuesGrowEvenlyWhenNoSlotIsFree) {
  const auto shares = Spread(0, -2, 0, 4);
  DOUBLES_EQUAL(2, shares[0], 0.01);
  DOUBLES_EQUAL(0, shares[1], 0.01);
  DOUBLES_EQUAL(2, shares[2], 0.01);
}

// Guards against shares whose sum is less or more than the requests.
TEST(LoadSpread_ThreeZones, SharesAddUpToTheRequests) {
  for (const std::int64_t spare : {-9, -1, 0, 1, 7}) {
    for (const double requests : {1.0, 2.5, 40.0}) {
      const auto shares = Spread(spare, 0, 3 - spare, requests);
      DOUBLES_EQUAL(requests,
                    std::accumulate(shares.begin(), shares.end(), 0.0), 0.01);
    }
  }
}

}  // namespace crocus
