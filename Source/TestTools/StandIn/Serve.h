#ifndef SHALLOTBEAM_TESTTOOLS_STANDIN_SERVE_H_
#define SHALLOTBEAM_TESTTOOLS_STANDIN_SERVE_H_

#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <functional>

#include "Transport/HttpServer.h"

namespace shallotbeam::testtools {

using MakeHandler = std::function<transport::HttpServer::Handler(
    boost::asio::io_context&, const boost::program_options::variables_map&)>;

// Implements main() of a stand-in. Parses the arguments according to `options`,
// which must contain --help and --listen, and serves HTTP until the process is
// terminated. The handler runs on a single thread. Returns an exit code from
// Runtime/CommandLine.h.
int ServeStandIn(int argc, char** argv,
                 const boost::program_options::options_description& options,
                 const MakeHandler& make_handler);

}  // namespace shallotbeam::testtools

#endif  // SHALLOTBEAM_TESTTOOLS_STANDIN_SERVE_H_
