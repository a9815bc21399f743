#ifndef LIBCORE_ALLOCATOR_H_
#define LIBCORE_ALLOCATOR_H_

namespace crocus {

/// Gives large blocks, such as the bodies of requests, pages of their own,
/// which return to the kernel when the blocks are freed. By default the
/// threshold rises to the largest block that was freed, up to 32 MB, and the
/// memory of the process stays at its peak. Called once at the start of a
/// program.
void ReturnLargeBlocksWhenFreed();

}  // namespace crocus

#endif  // LIBCORE_ALLOCATOR_H_
