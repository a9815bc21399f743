#ifndef LIBCORE_PROCESSOR_WAIT_H_
#define LIBCORE_PROCESSOR_WAIT_H_

#include "LibCore/result.h"
#include "LibCore/time.h"

namespace crocus {

/// Returns the time since the start of the calling thread in which it was ready
/// to run and had no processor, as stated by /proc/thread-self/schedstat.
/// Sleeps and waits for locks are not part of it. A call takes about 5 us.
/// Fails if the kernel does not state the time.
Result<Duration> ReadProcessorWait();

/// Returns the time by which the figure of the calling thread has grown since
/// an earlier read in the same thread.
Result<Duration> ProcessorWaitSince(const Result<Duration>& earlier);

}  // namespace crocus

#endif  // LIBCORE_PROCESSOR_WAIT_H_
