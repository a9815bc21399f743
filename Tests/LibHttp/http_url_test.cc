#include "LibHttp/http_url.h"

#include <CppUTest/TestHarness.h>

namespace crocus {

TEST_GROUP(HttpUrl_AnyText){};

// Guards against calls to another server or path than the operator's.
TEST(HttpUrl_AnyText, PartsAreThoseOfTheUrl) {
  CHECK(ParseHttpUrl("http://10.0.0.7:8080/a/b?c=d") ==
        (HttpUrl{.host = "10.0.0.7",
                 .port = "8080",
                 .authority = "10.0.0.7:8080",
                 .target = "/a/b?c=d"}));
  CHECK(ParseHttpUrl("http://engine-1") ==
        (HttpUrl{.host = "engine-1", .authority = "engine-1"}));
  CHECK(
      ParseHttpUrl("http://[::1]:9/x#y") ==
      (HttpUrl{
          .host = "::1", .port = "9", .authority = "[::1]:9", .target = "/x"}));
  CHECK(
      ParseHttpUrl("http://[fe80::1]?q") ==
      (HttpUrl{.host = "fe80::1", .authority = "[fe80::1]", .target = "/?q"}));
}

// Guards against calls that go elsewhere than intended, or that hold a second
// request.
TEST(HttpUrl_AnyText, OthersAreErrors) {
  for (const std::string text :
       {"", "http://", "http:///x", "http://:80/x", "http://h:/x",
        "https://h/x", "10.0.0.7:8080", "http://h/a b", "http://h/a\r\nX: y",
        "http://h/\x7f", "http://h/\xc3\xa9"}) {
    const auto url = ParseHttpUrl(text);
    CHECK_FALSE(url.has_value());
    CHECK(url.error().code == ErrorCode::kInvalidArgument);
  }
}

}  // namespace crocus
