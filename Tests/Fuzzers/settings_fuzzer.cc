#include <cstddef>
#include <cstdint>
#include <string>

#include "LibCore/assertions.h"
#include "LibSettings/settings.h"

namespace crocus {

namespace {

void TrySettings(const std::string& text) {
  const auto document = ParseIni("f", text);
  if (!document) {
    VERIFY(document.error().message.rfind("f:", 0) == 0);
    return;
  }
  const auto check = [](const auto& settings) {
    VERIFY(settings.has_value() ||
           settings.error().message.find("f:") != std::string::npos);
  };
  check(ParseEntrySettings(*document));
  check(ParseDaemonSettings(*document));
}

}  // namespace

}  // namespace crocus

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  crocus::TrySettings({reinterpret_cast<const char*>(data), size});
  return 0;
}
