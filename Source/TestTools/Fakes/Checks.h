#ifndef SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_
#define SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_

#include <string>
#include <vector>

#include "Fakes/Fleet.h"

namespace shallotbeam::fakes {

// Checks the invariants of section 1.1 of the design that hold under every
// fault. Returns one line per violation. Call this after all deadlines have
// passed.
std::vector<std::string> CheckInvariants(const Fleet& fleet);

// Checks what holds only without partitions and frozen processes: a bounded
// difference in service between workspaces that wait at the same time, no slot
// idle while requests wait, and answers in time. Returns one line per
// violation.
std::vector<std::string> CheckUndisturbed(const Fleet& fleet);

// Returns the largest change of the difference in weighted service between two
// workspaces within a period in which both had waiting requests throughout.
double LargestServiceGap(const Fleet& fleet, const std::string& a,
                         const std::string& b);

// Returns the allowed value of LargestServiceGap(): the weighted cost of the
// largest request plus the service that one unit of weight receives in 2 s.
double AllowedServiceGap(const Fleet& fleet, const std::string& a,
                         const std::string& b);

// Returns the longest period in which a slot was idle while requests waited.
common::Duration LongestIdleSlotTime(const Fleet& fleet);

}  // namespace shallotbeam::fakes

#endif  // SHALLOTBEAM_TESTTOOLS_FAKES_CHECKS_H_
