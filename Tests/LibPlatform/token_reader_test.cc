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

TEST_GROUP(TokenReader_ErrorInTheStream) {
  int tokens = 0;
  const TokenHandler on_token = [this](std::uint32_t, const std::string&) {
    ++this->tokens;
    return true;
  };
  TokenReader reader{this->on_token};
};

// Guards against an error of the engine that counts as a token without text.
TEST(TokenReader_ErrorInTheStream, ObjectThatIsNoTokenStopsTheStream) {
  for (const std::string object :
       {R"({"error":"overloaded"})", R"({"index":1})", R"({"text":"a"})",
        R"({"index":"1","text":"a"})", R"({"index":1,"text":7})"}) {
    CHECK_FALSE(this->reader.Add("data: " + object + "\n\n"));
  }
  CHECK_EQUAL(0, this->tokens);
  CHECK_FALSE(this->reader.is_complete());
}

}  // namespace crocus
