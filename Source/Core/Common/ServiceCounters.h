#ifndef SHALLOTBEAM_CORE_COMMON_SERVICECOUNTERS_H_
#define SHALLOTBEAM_CORE_COMMON_SERVICECOUNTERS_H_

namespace shallotbeam::common {

// What a workspace asked for and received, in tokens of service.
struct ServiceCounters {
  double requested = 0;
  double served = 0;
};

}  // namespace shallotbeam::common

#endif  // SHALLOTBEAM_CORE_COMMON_SERVICECOUNTERS_H_
