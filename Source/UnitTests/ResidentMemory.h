#ifndef SHALLOTBEAM_UNITTESTS_RESIDENTMEMORY_H_
#define SHALLOTBEAM_UNITTESTS_RESIDENTMEMORY_H_

#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace shallotbeam {

// Resident memory of this process in bytes.
inline std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace shallotbeam

#endif  // SHALLOTBEAM_UNITTESTS_RESIDENTMEMORY_H_
