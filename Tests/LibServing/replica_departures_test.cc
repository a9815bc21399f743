#include "LibServing/replica_departures.h"

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const ReplicaBoot kBoot{.id = "i-1",
                        .started_ms = 1000,
                        .address = "127.0.0.1:1"};
const ReplicaBoot kNextBoot{.id = "i-1",
                            .started_ms = 2000,
                            .address = "127.0.0.1:1"};

}  // namespace

TEST_GROUP(ReplicaDepartures_OneReplica) {
  ReplicaDepartures departures;

  void setup() override {
    CHECK(this->departures.OnAnnounced(kBoot, kStart));
  }
};

// Guards against requests to a replica that the registry lists as ready,
// although it has announced that it leaves.
TEST(ReplicaDepartures_OneReplica, AnnouncementHoldsWhileTheBootIsRegistered) {
  CHECK(this->departures.IsLeaving(kBoot));
  CHECK(this->departures.OnRegistered(kBoot, kStart + seconds(3)).empty());
  CHECK(this->departures.Expire(kStart + seconds(59)).empty());
  CHECK(this->departures.IsLeaving(kBoot));
}

// Guards against treating a replica as leaving that has started again under the
// id of one that has left.
TEST(ReplicaDepartures_OneReplica, NewBootIsNotLeaving) {
  CHECK_FALSE(this->departures.IsLeaving(kNextBoot));
  const auto ended =
      this->departures.OnRegistered(kNextBoot, kStart + seconds(4));
  CHECK_EQUAL(1U, ended.size());
  CHECK(ended[0] ==
        (EndedDeparture{
            .replica = "i-1", .reason = "new boot", .age = seconds(4)}));
  CHECK_EQUAL(0U, this->departures.size());
}

// Guards against an endpoint that stays without replicas because they announce
// wrongly that they leave.
TEST(ReplicaDepartures_OneReplica, BeliefEndsAfterTheLongestDeparture) {
  CHECK_FALSE(this->departures.OnAnnounced(kBoot, kStart + seconds(30)));
  CHECK(this->departures.Expire(kStart + seconds(89)).empty());
  CHECK_EQUAL(1U, this->departures.Expire(kStart + seconds(90)).size());
  CHECK_FALSE(this->departures.IsLeaving(kBoot));
}

// Guards against a second boot that leaves and is taken for the first one.
TEST(ReplicaDepartures_OneReplica, EachBootAnnouncesForItself) {
  CHECK(this->departures.OnAnnounced(kNextBoot, kStart + seconds(10)));
  CHECK(this->departures.IsLeaving(kNextBoot));
  CHECK_FALSE(this->departures.IsLeaving(kBoot));
}

}  // namespace crocus
