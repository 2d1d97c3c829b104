#pragma once

#include <cstddef>

namespace shallotcove::testbench {

/// CPU time used by the calling thread, in seconds.
double threadCpuSeconds();

/// Heap bytes that the process has allocated and not yet freed, as mallinfo2() reports them.
std::size_t allocatedBytes();

} // namespace shallotcove::testbench
