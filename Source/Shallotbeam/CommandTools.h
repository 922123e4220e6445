#ifndef SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_
#define SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Commands.h"
#include "PlatformClients/EtcdStore.h"
#include "Settings/Settings.h"
#include "Transport/HttpClient.h"
#include "absl/status/statusor.h"

// Helpers shared by the commands.
namespace shallotbeam::commands {

// Describes the command line of one command.
struct Usage {
  std::string command;  // for example "shallotbeam config check"
  bool takes_folder = false;
  settings::Settings options;
};

// Parses the options, and the folder if the command takes one. Returns an exit
// code if the command must stop: after --help or on invalid arguments.
std::optional<int> ReadCommandLine(const Usage& usage, Arguments arguments,
                                   const Console& console, std::string* folder);

// The option "--output table|json".
settings::Setting OutputOption(std::string* output);

// Calls the store and blocks until it responds or the call times out.
class StoreSession {
 public:
  explicit StoreSession(const common::Endpoint& endpoint);

  platform_clients::ReadResult Read(const std::string& key);
  // Compare-and-swap. If the response is lost, reads the key back to find out
  // whether the write took effect, so `value` must be unique to this write.
  platform_clients::SwapResult Swap(const std::string& key,
                                    std::uint64_t revision,
                                    const std::string& value);

 private:
  void RunUntilIdle();

  boost::asio::io_context context_;
  transport::HttpClient client_;
  platform_clients::EtcdStore store_;
};

// GET /status of a process. Returns kUnavailable if there is no valid response.
absl::StatusOr<nlohmann::json> FetchStatus(const common::Endpoint& admin);

// Formats rows of equal length as left-aligned columns. The first row is the
// heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace shallotbeam::commands

#endif  // SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_
