#include <cstddef>
#include <cstdint>
#include <string_view>

#include "LibCore/assertions.h"
#include "LibMessages/frame.h"

namespace crocus {

namespace {

/// Checks that a decoded message is unchanged after it is encoded and decoded
/// again.
template <typename Message>
void TryMessage(std::string_view body) {
  const auto message = Decode<Message>(body);
  if (!message) {
    return;
  }
  const auto again = Decode<Message>(Encode(*message));
  VERIFY(again.has_value());
  VERIFY(*again == *message);
}

template <typename... Messages>
void TryMessages(messages::MessageType type, std::string_view body) {
  ((type == Messages::kType ? TryMessage<Messages>(body) : void()), ...);
}

void TryBody(messages::MessageType type, std::string_view body) {
  using namespace messages;
  TryMessages<Hello, Execute, TokenChunk, AttemptDone, Revoke, RevokeReply,
              LoadReport, RulesPush, RulesQuery, ConfirmResults, OfferResults,
              LeavingNotice, EngineCommand, EngineCommandReply, Heartbeat,
              PartitionQuery, PartitionReply, Drain>(type, body);
}

void TryFrame(std::string_view bytes) {
  if (const auto header = DecodeFrameHeader(bytes)) {
    VERIFY(header->body_bytes <= kMaximumFrameBytes);
    TryBody(header->type, bytes.substr(kFrameHeaderBytes));
  }
  // Few random headers are valid, so the bytes are also decoded as a type and a
  // body.
  if (!bytes.empty()) {
    TryBody(static_cast<messages::MessageType>(bytes.front()), bytes.substr(1));
  }
}

}  // namespace

}  // namespace crocus

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  crocus::TryFrame({reinterpret_cast<const char*>(data), size});
  return 0;
}
