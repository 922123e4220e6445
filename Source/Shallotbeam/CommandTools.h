#ifndef SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_
#define SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Commands.h"
#include "Platform/EtcdStore.h"
#include "Settings/Settings.h"
#include "Transport/HttpClient.h"
#include "absl/status/statusor.h"

// What the commands share.
namespace shallotbeam::commands {

// The command line of one command.
struct Usage {
  std::string command;  // for example "shallotbeam config check"
  bool takes_folder = false;
  settings::Settings options;
};

// Reads the options, and the folder if the command takes one. Returns the exit
// code if the command ends here: after --help and on wrong usage.
std::optional<int> ReadCommandLine(const Usage& usage, Arguments arguments,
                                   const Console& console, std::string* folder);

// "--output table|json".
settings::Setting OutputOption(std::string* output);

// Calls the store and waits for each answer.
class StoreSession {
 public:
  explicit StoreSession(const common::Endpoint& endpoint);

  platform::ReadResult Read(const std::string& key);
  // Reads back after a lost response. `value` must be unique to this write.
  platform::SwapResult Swap(const std::string& key, std::uint64_t revision,
                            const std::string& value);

 private:
  void RunToEnd();

  boost::asio::io_context context_;
  transport::HttpClient client_;
  platform::EtcdStore store_;
};

// GET /status of a process. Returns kUnavailable without a valid answer.
absl::StatusOr<nlohmann::json> FetchStatus(const common::Endpoint& admin);

// Rows of equal length as left-aligned columns; the first row is the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace shallotbeam::commands

#endif  // SHALLOTBEAM_SHALLOTBEAM_COMMANDTOOLS_H_
