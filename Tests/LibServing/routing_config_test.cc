#include "LibServing/routing_config.h"

#include <CppUTest/TestHarness.h>

namespace crocus {

TEST_GROUP(RoutingConfig_NestedPrefixes) {
  const RoutingConfig config{
      .version = 3,
      .routes = {{.name = "outer", .host = "h", .prefix = "/a/"},
                 {.name = "inner", .host = "h", .prefix = "/a/b/"},
                 {.name = "other", .host = "k", .prefix = "/a/b/c/"}}};
};

// Guards against sending requests of a route with a longer prefix to a route
// with a shorter one.
TEST(RoutingConfig_NestedPrefixes, LongestPrefixOfTheHostIsChosen) {
  STRCMP_EQUAL("inner", this->config.FindRoute("h", "/a/b/c/d")->name.c_str());
  STRCMP_EQUAL("outer", this->config.FindRoute("h", "/a/bc")->name.c_str());
}

// Guards against matching a part of a path segment.
TEST(RoutingConfig_NestedPrefixes, UnknownPathOrHostHasNoRoute) {
  CHECK_TRUE(this->config.FindRoute("h", "/b/") == nullptr);
  CHECK_TRUE(this->config.FindRoute("x", "/a/b/") == nullptr);
  CHECK_TRUE(this->config.FindRoute("h", "/a") == nullptr);
}

TEST_GROUP(PickEndpoint_WeightedShares){};

// Guards against endpoints that receive more or fewer requests than their
// weight.
TEST(PickEndpoint_WeightedShares, PointFallsIntoTheShareOfItsWeight) {
  const Route route{.shares = {{.endpoint = "a", .weight = 90},
                               {.endpoint = "b", .weight = 10}}};
  STRCMP_EQUAL("a", PickEndpoint(route, 0.0).c_str());
  STRCMP_EQUAL("a", PickEndpoint(route, 0.899).c_str());
  STRCMP_EQUAL("b", PickEndpoint(route, 0.901).c_str());
  STRCMP_EQUAL("", PickEndpoint(Route{}, 0.5).c_str());
}

}  // namespace crocus
