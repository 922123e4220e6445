// Included first by every file of a build with sanitizers: with them, GCC takes
// an empty optional of Boost.Beast's parser for an uninitialised one.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#include <boost/beast/http/basic_parser.hpp>
#pragma GCC diagnostic pop
#endif
