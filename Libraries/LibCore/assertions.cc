#include "LibCore/assertions.h"

#include <cstdlib>
#include <iostream>

namespace crocus {

void AbortOnInvariantViolation(std::string_view condition,
                               std::string_view file,
                               int line) {
  std::cerr << file << ":" << line << ": invariant violated: " << condition
            << std::endl;
  std::abort();
}

}  // namespace crocus
