#include "process_usage.hpp"

#include <ctime>
#include <malloc.h>

namespace shallotcove::testbench {

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 usage = mallinfo2();
    return usage.uordblks + usage.hblkhd;
}

} // namespace shallotcove::testbench
