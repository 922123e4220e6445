#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_

#include <string>
#include <vector>

#include "Fakes/Fleet.h"

namespace shallotbeam::fakes {

// The invariants of section 1.1 of the design that hold under every fault.
// Returns one line per violation. To be called when every deadline has passed.
std::vector<std::string> CheckAlways(const Fleet& fleet);

// Holds without partitions and frozen processes: service of workspaces that
// wait at the same time, no slot idle while work waits, answers in time.
std::vector<std::string> CheckUndisturbed(const Fleet& fleet);

// Largest difference of service per weight that two workspaces received in a
// period in which both were waiting throughout.
double WidestGap(const Fleet& fleet, const std::string& a,
                 const std::string& b);

// One largest request plus what one share earns in 2 s.
double AllowedGap(const Fleet& fleet, const std::string& a,
                  const std::string& b);

// Longest period in which a slot was idle while work waited.
common::Duration LongestIdle(const Fleet& fleet);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_
