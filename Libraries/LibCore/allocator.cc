#include "LibCore/allocator.h"

#include <malloc.h>

namespace crocus {

void ReturnLargeBlocksWhenFreed() {
  constexpr int kPagedBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kPagedBytes);
}

}  // namespace crocus
