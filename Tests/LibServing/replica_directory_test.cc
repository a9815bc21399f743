#include "LibServing/replica_directory.h"

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ReplicaRecord Record(const std::string& id, bool is_draining = false) {
  return {.id = id,
          .endpoint = "model",
          .address = "127.0.0.1:1",
          .availability_zone = "z",
          .slots = 4,
          .is_draining = is_draining};
}

}  // namespace

TEST_GROUP(ReplicaDirectory_TwoReplicas) {
  ReplicaDirectory directory;

  void setup() override {
    this->directory.Update(Record("a"));
    this->directory.Update(Record("b"));
  }
};

// Guards against requests to replicas that are draining.
TEST(ReplicaDirectory_TwoReplicas, DrainingReplicaIsNotAvailable) {
  this->directory.Update(Record("a", true));
  CHECK_EQUAL(1U, this->directory.Available("model").size());
  CHECK_TRUE(this->directory.Available("other").empty());
}

// Guards against requests to deregistered replicas while the registry is
// available.
TEST(ReplicaDirectory_TwoReplicas, RemovedReplicaIsUnavailableAtOnce) {
  this->directory.Remove("a", kStart);
  CHECK_TRUE(this->directory.Find("a") == nullptr);
}

// Guards against removing live replicas whose entries expired while the
// registry was unavailable, and against keeping replicas that have failed.
TEST(ReplicaDirectory_TwoReplicas, ExpiredReplicaStaysForTheGracePeriodOnly) {
  this->directory.OnRegistryUnavailable(kStart);
  this->directory.OnRegistryRecovered(kStart + milliseconds(5000));
  this->directory.RetainOnly({"a"}, kStart + milliseconds(5010));
  CHECK_EQUAL(2U, this->directory.Available("model").size());
  CHECK_TRUE(
      this->directory.RemoveExpired(kStart + milliseconds(6900)).empty());
  CHECK_EQUAL(
      1U, this->directory.RemoveExpired(kStart + milliseconds(7000)).size());
  CHECK_TRUE(this->directory.Find("b") == nullptr);
}

// Guards against removing a replica that has registered again in time.
TEST(ReplicaDirectory_TwoReplicas, ReplicaThatRegistersAgainIsKept) {
  this->directory.OnRegistryUnavailable(kStart);
  this->directory.OnRegistryRecovered(kStart + milliseconds(5000));
  this->directory.Remove("b", kStart + milliseconds(5010));
  this->directory.Update(Record("b"));
  CHECK_TRUE(
      this->directory.RemoveExpired(kStart + milliseconds(9000)).empty());
  CHECK_EQUAL(2U, this->directory.Available("model").size());
}

}  // namespace crocus
