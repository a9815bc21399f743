#include <CppUTest/TestHarness.h>

#include "PlatformStandin/gateway_fleet.h"

namespace crocus {

namespace {

/// Number of replicas that fill three pages of the stand-in's snapshot.
constexpr std::uint32_t kReplicas = 1200;
/// Number of snapshot pages that a gateway reads at its start: three of the
/// replicas, one of the configuration and one of the batch jobs.
constexpr std::uint64_t kPages = 5;

}  // namespace

TEST_GROUP(Gateway_ManyReplicas) {
  GatewayFleet fleet;

  void setup() override {
    for (std::uint32_t i = 0; i < kReplicas; ++i) {
      // Nothing listens on this port; the replicas are only registered.
      this->fleet.RegisterReplica("i-" + std::to_string(i), "model", 1,
                                  "ready");
    }
  }

  void Start() {
    this->fleet.StartGateway("gateway", this->fleet.store.port());
  }

  /// Pages of the topics that a gateway reads as a whole at its start.
  std::uint64_t SnapshotPages() const {
    const auto& store = this->fleet.store;
    return store.pages("keyed.op") + store.pages("keyed.servers") +
           store.pages("keyed.crocus") - store.pages("keyed.crocus.");
  }

  bool BecomesReady() {
    return this->fleet.RunUntil(
        [this] { return this->fleet.IsReady("gateway"); },
        std::chrono::seconds(20));
  }
};

// Guards against hosts that never become ready because each page of the
// snapshot takes longer than the first timeout. This happens when all hosts
// have failed and read their snapshots at the same time.
TEST(Gateway_ManyReplicas, SlowPagesAreWaitedFor) {
  this->fleet.store.set_faults({.delay = std::chrono::milliseconds(1700)});
  this->Start();
  CHECK(this->BecomesReady());
}

// Guards against restarting a long snapshot after each failed page, which keeps
// an overloaded store overloaded.
TEST(Gateway_ManyReplicas, SnapshotContinuesAfterAFailedPage) {
  this->fleet.store.set_faults({.delay = std::chrono::milliseconds(200)});
  this->Start();
  CHECK(this->fleet.RunUntil(
      [this] { return this->SnapshotPages() >= kPages - 1; }));
  this->fleet.store.set_faults({.error_status = 503});
  this->fleet.RunFor(std::chrono::milliseconds(700));
  this->fleet.store.set_faults({});
  CHECK(this->BecomesReady());
  CHECK_EQUAL(kPages, this->SnapshotPages());
}

}  // namespace crocus
