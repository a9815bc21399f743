#ifndef LIBPLATFORM_ENGINE_CLIENT_H_
#define LIBPLATFORM_ENGINE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "LibCore/result.h"
#include "LibPlatform/token_reader.h"

namespace crocus {

struct EngineCall {
  std::string request_id;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  /// Index of the first token to receive; above 0 if a stream is resumed.
  std::uint32_t resume_from = 0;
  std::chrono::seconds timeout{3600};
};

/// How a stream ended that has not failed.
enum class EngineOutcome { kComplete, kCancelled };

struct EngineCommandCall {
  std::string action;
  std::string argument;
  std::uint64_t fencing = 0;
};

/// Client of one replica: a model engine or a plain service. docs/platform.md
/// describes the protocols. Thread-safe.
class EngineClient {
 public:
  explicit EngineClient(std::string base_url) : base_url(std::move(base_url)) {}

  /// Runs a stream to its end. If the engine has responded, a failure's verdict
  /// is kRan if it rejected the prompt, else kMayHaveRun.
  Result<EngineOutcome> Complete(const EngineCall& call,
                                 const TokenHandler& on_token) const;

  /// Calls a plain service and returns the text of its response.
  Result<std::string> CallService(const EngineCall& call) const;

  /// Cancels a running or waiting stream. Returns false if the engine has no
  /// such stream, for example because its request has not arrived yet.
  Result<bool> Cancel(const std::string& request_id) const;

  /// Sends a command to the engine. Fails with kConflict if the engine refuses
  /// the fencing number.
  Result<void> SendCommand(const EngineCommandCall& call) const;

 private:
  std::string base_url;
};

}  // namespace crocus

#endif  // LIBPLATFORM_ENGINE_CLIENT_H_
