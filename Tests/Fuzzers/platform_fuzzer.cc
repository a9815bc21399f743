// Runs all decoders of bytes that a gateway receives from the platform, from
// callers and from its peers. Each must return a value or an error.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibMessages/codec.h"
#include "LibMessages/messages.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/event_stream_parser.h"
#include "platform/batch_wire.h"
#include "platform/config_decoder.h"
#include "platform/replica_decoder.h"
#include "platform/request_headers.h"
#include "platform/store_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace crocus;
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)platform::DecodeConfig(text);
  (void)platform::DecodeReplica("id", text);
  (void)platform::DecodePage(text, 7);
  (void)platform::DecodeNewest(text);
  (void)platform::DecodeAppendReply(text);
  (void)platform::DecodeAssignment(text, "topic");
  (void)platform::DecodeSubmission(text);
  (void)platform::DecodeBatchCall({.method = "GET", .target = text});
  HeaderFields fields;
  fields.Add("X-Crocussaddle-Token-Count", text);
  fields.Add("X-Crocussaddle-Prompt-Prefix", text);
  (void)platform::DecodeRequestMetadata(fields);
  (void)Decode<messages::OutstandingReport>(text);
  EventStreamParser stream;
  (void)stream.Feed(text);
  BatchJobTable job_table;
  for (const std::string kind : {"job", "done", "fail", "part", "end"}) {
    (void)job_table.Apply({.key = kind + "/j/0/t", .value = text});
  }
  return 0;
}
