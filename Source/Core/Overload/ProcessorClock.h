#ifndef SHALLOTBEAM_CORE_OVERLOAD_PROCESSORCLOCK_H_
#define SHALLOTBEAM_CORE_OVERLOAD_PROCESSORCLOCK_H_

#include "Common/Clock.h"

namespace shallotbeam::overload {

// Source of the processor time that this process has used since its start.
class ProcessorClock {
 public:
  virtual ~ProcessorClock() = default;
  virtual common::Duration Used() const = 0;
};

class ProcessClock : public ProcessorClock {
 public:
  common::Duration Used() const override;
};

}  // namespace shallotbeam::overload

#endif  // SHALLOTBEAM_CORE_OVERLOAD_PROCESSORCLOCK_H_
