#include "LibServing/dropped_routes.h"

#include <CppUTest/TestHarness.h>

#include "LibMessages/codec.h"

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(DroppedRoutes_OneJob) {
  BatchJobTable job_table;
  DroppedRoutes dropped_routes;
  const RoutingConfig with_route{.version = 1,
                                 .routes = {{.name = "r",
                                             .host = "h",
                                             .prefix = "/b/",
                                             .kind = RequestKind::kBatch}}};
  const RoutingConfig without_route{.version = 2};

  void setup() override {
    const records::BatchJobStored stored{
        .accepted = {.job = "job",
                     .tag = "t",
                     .route = "r",
                     .host = "h",
                     .path = "/b/x",
                     .items = {{.id = "item"}}},
        .bodies = {{}}};
    CHECK_TRUE(
        this->job_table
            .Apply({.key = StoredJobKey("job", "t"), .value = Encode(stored)})
            .has_value());
  }

  /// Updates at that time with a configuration that is known to be the newest
  /// one at `as_of`.
  bool IsDropped(const RoutingConfig& config, std::chrono::seconds time,
                 std::chrono::seconds as_of) {
    this->dropped_routes.Update(this->job_table, config, kStart + as_of,
                                kStart + time);
    return this->dropped_routes.IsDropped("job");
  }
};

// Guards against jobs that stay open for good.
TEST(DroppedRoutes_OneJob, JobIsDroppedAfterAWhile) {
  using std::chrono::seconds;
  CHECK_FALSE(this->IsDropped(this->with_route, seconds(0), seconds(0)));
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(1), seconds(1)));
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(4), seconds(4)));
  CHECK(this->IsDropped(this->without_route, seconds(6), seconds(6)));
}

// Guards against abandoning the items of a route that comes back.
TEST(DroppedRoutes_OneJob, ReturnOfTheRouteStartsTheTimeAnew) {
  using std::chrono::seconds;
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(0), seconds(0)));
  CHECK_FALSE(this->IsDropped(this->with_route, seconds(4), seconds(4)));
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(5), seconds(5)));
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(9), seconds(9)));
}

// Guards against a host that is cut off from the store and abandons the items
// of a route that it does not know yet.
TEST(DroppedRoutes_OneJob, ConfigurationThatMayBeOutdatedDropsNothing) {
  using std::chrono::seconds;
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(1), seconds(1)));
  CHECK_FALSE(this->IsDropped(this->without_route, seconds(60), seconds(1)));
  CHECK(this->IsDropped(this->without_route, seconds(61), seconds(60)));
}

}  // namespace crocus
