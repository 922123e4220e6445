#ifndef SHALLOTBEAM_UNITTESTS_PROPERTY_H_
#define SHALLOTBEAM_UNITTESTS_PROPERTY_H_

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

namespace shallotbeam::test {

// Checks a RapidCheck property inside a Boost test case. On failure RapidCheck
// prints the seed and the smallest failing case.
template <typename Property>
void CheckProperty(const std::string& description, Property&& property) {
  BOOST_CHECK(rc::check(description, std::forward<Property>(property)));
}

}  // namespace shallotbeam::test

#endif  // SHALLOTBEAM_UNITTESTS_PROPERTY_H_
