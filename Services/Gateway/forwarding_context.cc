#include "Gateway/forwarding_context.h"

namespace crocus {

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string LoadText(const PlacementChoice& choice) {
  return std::to_string(choice.load.online) + "+" +
         std::to_string(choice.load.batch) + "/" + std::to_string(choice.slots);
}

}  // namespace crocus
