#include "LibMessages/frame.h"

#include <sys/resource.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace crocus {

TEST_GROUP(Frame_Decoding){};

// Guards against a message that loses or reorders a field on the wire.
TEST(Frame_Decoding, EncodedMessageDecodesToTheSameValue) {
  const messages::Execute execute{.attempt = "a-1",
                                  .request = "r-1",
                                  .workspace = "ranch",
                                  .kind = messages::WorkKind::kBatch,
                                  .prompt = std::string(3000, 'x'),
                                  .max_tokens = 17,
                                  .repeatable = true,
                                  .epoch = 9};
  const auto decoded = Decode<messages::Execute>(Encode(execute));
  CHECK(decoded.has_value());
  CHECK(*decoded == execute);
}

// Guards against reading past the end of a truncated archive.
TEST(Frame_Decoding, EveryTruncationIsAnError) {
  const std::string bytes = Encode(messages::LoadReport{
      .replicas = {{.endpoint = "proof-models", .models = {"m1", "m2"}}}});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(Decode<messages::LoadReport>(bytes.substr(0, size)));
  }
}

// Guards against a large declared container size for which memory is allocated
// before the remaining bytes are checked.
TEST(Frame_Decoding, ArbitraryBytesNeverThrowOrExhaustMemory) {
  CHECK(rc::check([](const std::string& bytes) {
    const auto decoded = Decode<messages::OfferResults>(bytes);
    RC_ASSERT(!decoded || decoded->results.size() <= bytes.size());
  }));
}

// Guards against a list that takes memory for elements that were declared but
// not sent: 450 bytes for each byte of the frame.
TEST(Frame_Decoding, DeclaredListTakesNoMoreMemoryThanItsBytes) {
  constexpr std::uint32_t kDeclared = 8u << 20;
  std::string bytes = Encode(kDeclared) + std::string(kDeclared, '\xff');
  rlimit before{};
  getrlimit(RLIMIT_AS, &before);
  rlimit limit = before;
  limit.rlim_cur = 1u << 30;
  setrlimit(RLIMIT_AS, &limit);
  const auto decoded = Decode<messages::OfferResults>(bytes);
  setrlimit(RLIMIT_AS, &before);
  CHECK_FALSE(decoded.has_value());
  STRCMP_EQUAL("container size exceeds the message",
               decoded.error().message.c_str());
}

TEST(Frame_Decoding, HeaderWithOversizedBodyIsAnError) {
  std::string header(kFrameHeaderBytes, '\xff');
  CHECK_FALSE(DecodeFrameHeader(header));
}

// Guards against a decoder that fails if a newer version has appended a field
// to a top-level message.
TEST(Frame_Decoding, TrailingBytesOfANewerVersionAreIgnored) {
  const messages::RulesQuery query{.known_version = 4};
  const auto decoded = Decode<messages::RulesQuery>(Encode(query) + "new");
  CHECK(decoded.has_value());
  CHECK(*decoded == query);
}

}  // namespace crocus
