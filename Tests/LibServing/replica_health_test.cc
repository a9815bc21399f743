#include "LibServing/replica_health.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<std::string> Names(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("r" + std::to_string(i));
  }
  return names;
}

}  // namespace

TEST_GROUP(ReplicaHealth_NineReplicas) {
  ReplicaHealth health;
  const std::vector<std::string> names = Names(9);
};

// Guards against a replica that answers its health check and fails part of its
// requests, seen by no host alone.
TEST(ReplicaHealth_NineReplicas, FailuresOfAllHostsMakeTheReplicaSuspected) {
  this->health.OnFailure("r3", kStart);
  CHECK_TRUE(this->health.Evaluate(this->names, kStart).empty());
  this->health.OnPeerReport("a", {{"r3", 1}}, kStart);
  this->health.OnPeerReport("b", {{"r3", 1}, {"r4", 1}}, kStart);
  CHECK_EQUAL(1U, this->health.Evaluate(this->names, kStart).size());
  CHECK_TRUE(this->health.IsSuspected("r3", kStart));
  CHECK_FALSE(this->health.IsSuspected("r4", kStart));
}

// Guards against suspecting replicas for what fails everywhere, such as
// requests that no replica can serve.
TEST(ReplicaHealth_NineReplicas, FailuresEverywhereSuspectNone) {
  for (const auto& name : this->names) {
    for (int i = 0; i < 5; ++i) {
      this->health.OnFailure(name, kStart);
    }
  }
  CHECK_TRUE(this->health.Evaluate(this->names, kStart).empty());
}

// Guards against a replica that never comes back, and one that is asked as
// often as before although it fails again.
TEST(ReplicaHealth_NineReplicas, SuspicionEndsAndDoublesIfItFailsAgain) {
  const auto fail = [this](TimePoint now) {
    for (int i = 0; i < 3; ++i) {
      this->health.OnFailure("r1", now);
    }
    this->health.Evaluate(this->names, now);
  };
  fail(kStart);
  const TimePoint back = kStart + std::chrono::seconds(5);
  CHECK_FALSE(this->health.IsSuspected("r1", back));
  fail(back);
  CHECK_TRUE(this->health.IsSuspected("r1", back + std::chrono::seconds(7)));
  CHECK_FALSE(this->health.IsSuspected("r1", back + std::chrono::seconds(8)));
}

TEST_GROUP(ReplicaHealth_AnyFailures){};

// Guards against suspecting so many replicas that the others are overloaded.
TEST(ReplicaHealth_AnyFailures, SuspectedShareIsBounded) {
  CHECK(rc::check([] {
    ReplicaHealth health;
    const auto names = Names(*rc::gen::inRange(1, 20));
    TimePoint now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
      const auto failures = *rc::gen::inRange(0, 8);
      const auto& name = names[static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(names.size())))];
      for (int i = 0; i < failures; ++i) {
        health.OnFailure(name, now);
      }
      health.Evaluate(names, now);
      std::size_t suspected = 0;
      for (const auto& each : names) {
        suspected += health.IsSuspected(each, now) ? 1 : 0;
      }
      RC_ASSERT(static_cast<double>(suspected) <=
                0.34 * static_cast<double>(names.size()));
    }
  }));
}

}  // namespace crocus
