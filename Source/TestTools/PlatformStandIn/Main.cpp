#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <memory>
#include <string>

#include "PlatformStandIn/Platform.h"
#include "StandIn/Serve.h"

namespace po = boost::program_options;
namespace testtools = shallotbeam::testtools;

int main(int argc, char** argv) {
  po::options_description options("Options of shallotbeam-platform-stand-in");
  options.add_options()("help", "print this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:2379"),
      "address to listen on");
  return testtools::ServeStandIn(
      argc, argv, options,
      [](boost::asio::io_context& context, const po::variables_map&)
          -> shallotbeam::transport::HttpServer::Handler {
        const auto platform = std::make_shared<testtools::Platform>(context);
        return [platform](const auto& exchange) { platform->Handle(exchange); };
      });
}
