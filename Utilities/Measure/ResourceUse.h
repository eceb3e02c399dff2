#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Measure {

/// Returns the heap memory that this process has allocated, in bytes, as reported by the allocator.
std::size_t heapBytesInUse();

/// Returns the processor time used by the calling thread.
Base::nanoseconds threadProcessorTime();

/// Returns the resident memory of this process in bytes.
std::size_t residentBytes();

}
