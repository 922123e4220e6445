#define BOOST_TEST_MODULE shallotbeam
#include <boost/test/unit_test.hpp>
