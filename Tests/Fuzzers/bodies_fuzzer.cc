#include <cstddef>
#include <cstdint>
#include <string>

#include "Entry/batch_input.h"
#include "Entry/online_requests.h"
#include "LibCore/assertions.h"
#include "LibHttp/json_response.h"
#include "LibPlatform/token_reader.h"

namespace crocus {

namespace {

void TryBody(const std::string& text) {
  HttpRequest request{.body = text};
  request.headers["x-patience-ms"] = text.substr(0, 12);
  static_cast<void>(ParseOnlineRequest(request));
  static_cast<void>(ParseBatch(request));
  request.headers.clear();
  if (const auto parsed = ParseOnlineRequest(request)) {
    VERIFY(!parsed->model.empty() && parsed->max_tokens > 0);
    // The entry copies texts of the caller into its response.
    static_cast<void>(JsonResponse(200, {{"model", parsed->model}}));
  }
}

/// Reads the text as an engine's stream in two parts, and as one event of such
/// a stream.
void TryStream(const std::string& text) {
  const TokenHandler on_token = [](std::uint32_t, const std::string&) {
    return true;
  };
  TokenReader reader(on_token);
  const std::size_t half = text.size() / 2;
  if (reader.Add(text.substr(0, half))) {
    reader.Add(text.substr(half));
  }
  TokenReader wrapped(on_token);
  wrapped.Add("data: " + text + "\n\n");
}

}  // namespace

}  // namespace crocus

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  crocus::TryBody(text);
  crocus::TryStream(text);
  return 0;
}
