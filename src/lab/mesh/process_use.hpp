#pragma once

/// What the kernel tells of a process and of this machine (proc(5), getrlimit(2)).

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace rackroute::lab::mesh {

struct ProcessUse {
  double cpuSeconds = 0;  // user and system time since its start
  double rssMb = 0;
  double peakMb = 0;
  std::size_t descriptors = 0;
};

/// All zero where the process is gone.
ProcessUse useOf(pid_t id);

double machineMemoryMb();

/// Raises this process's limit of descriptors as far as it may; returns the limit that is in force then.
std::uint64_t raiseDescriptorLimit();

}  // namespace rackroute::lab::mesh
