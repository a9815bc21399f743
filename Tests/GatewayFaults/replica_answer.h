#ifndef TESTS_GATEWAY_FAULTS_REPLICA_ANSWER_H_
#define TESTS_GATEWAY_FAULTS_REPLICA_ANSWER_H_

#include <string>
#include <string_view>
#include <vector>

#include "PlatformStandin/gateway_fleet.h"
#include "platform/names.h"

namespace crocus {

/// A header field with its line end.
inline std::string Field(std::string_view name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

/// The body of a sound response.
inline const std::string kEvents = "id: 0\ndata: d0\n\nid: 1\ndata: d1\n\n";

/// The head of a sound response to the request of that id. `framing` is the
/// field of the framing; it is neither first nor last.
inline std::string SoundHead(const std::string& id,
                             const std::string& framing) {
  return "HTTP/1.1 200 OK\r\n" + Field(platform::header::kAttemptId, id) +
         framing + Field(platform::header::kSignature, "s") +
         Field("Content-Type", "text/event-stream") + "\r\n";
}

/// Waits until all items of the job "job" are listed, and checks that each has
/// the whole text of a sound response.
void CheckTextsAreWhole(GatewayFleet& fleet,
                        const std::vector<std::string>& items);

}  // namespace crocus

#endif  // TESTS_GATEWAY_FAULTS_REPLICA_ANSWER_H_
