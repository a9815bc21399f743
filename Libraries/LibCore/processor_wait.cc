#include "LibCore/processor_wait.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace crocus {

namespace {

/// File of the calling thread. Its figures are the time on a processor and the
/// time without one, in nanoseconds, and the number of times that the thread
/// got a processor.
constexpr const char* kFile = "/proc/thread-self/schedstat";

}  // namespace

Result<Duration> ReadProcessorWait() {
  const auto fail = [](const std::string& reason) {
    return Failure(ErrorCode::kUnavailable, kFile + (": " + reason));
  };
  const int file = open(kFile, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return fail(std::strerror(errno));
  }
  std::array<char, 80> buffer{};
  const ssize_t bytes = read(file, buffer.data(), buffer.size());
  close(file);
  const std::string_view text(buffer.data(), bytes > 0 ? bytes : 0);
  std::int64_t wait = 0;
  const auto space = text.find(' ');
  if (space == std::string_view::npos ||
      std::from_chars(text.data() + space + 1, text.data() + text.size(), wait)
              .ec != std::errc()) {
    return fail("no time without a processor");
  }
  return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(wait));
}

Result<Duration> ProcessorWaitSince(const Result<Duration>& earlier) {
  TRY_ASSIGN(const Duration before, earlier);
  TRY_ASSIGN(const Duration now, ReadProcessorWait());
  return now - before;
}

}  // namespace crocus
