#include "LibPlatform/token_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace crocus {

TEST_GROUP(TokenReader_EndlessStream) {
  const TokenHandler on_token = [](std::uint32_t, const std::string&) {
    return true;
  };
  TokenReader reader{this->on_token};
};

// Guards against memory that grows with an event that never ends.
TEST(TokenReader_EndlessStream, EventWithoutEndStopsTheStream) {
  constexpr int kParts = 1024;
  int accepted = 0;
  while (accepted < kParts && this->reader.Add(std::string(4096, 'x'))) {
    ++accepted;
  }
  CHECK(accepted < kParts);
  CHECK_FALSE(this->reader.is_complete());
  CHECK_FALSE(this->reader.is_cancelled());
}

// Guards against stopping a stream for the length of all its events.
TEST(TokenReader_EndlessStream, ManyShortEventsAreAccepted) {
  for (int i = 0; i < 100000; ++i) {
    CHECK(this->reader.Add("data: {\"index\":1,\"text\":\"x\"}\n\n"));
  }
}

}  // namespace crocus
