#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <optional>

#include "Commands.h"
#include "Common/StatusText.h"
#include "Config/Document.h"
#include "Platform/EtcdStore.h"
#include "Runtime/CommandLine.h"
#include "Runtime/ConfigHolder.h"
#include "Transport/HttpClient.h"

namespace shallotbeam::commands {

namespace {

namespace po = boost::program_options;

// Runs one asynchronous call of the store to its end.
class StoreSession {
 public:
  explicit StoreSession(const common::Endpoint& endpoint)
      : client_(context_), store_(client_, {.endpoint = endpoint}) {}

  platform::ReadResult Read(const std::string& key) {
    platform::ReadResult result;
    store_.Read(key, [&](const platform::ReadResult& read) { result = read; });
    RunToEnd();
    return result;
  }

  platform::SwapResult Swap(const std::string& key, std::uint64_t revision,
                            const std::string& value) {
    platform::SwapResult result;
    platform::CompareAndSwapReadBack(
        store_, key, revision, value,
        [&](const platform::SwapResult& swap) { result = swap; });
    RunToEnd();
    return result;
  }

 private:
  void RunToEnd() {
    context_.restart();
    context_.run();
  }

  boost::asio::io_context context_;
  transport::HttpClient client_;
  platform::EtcdStore store_;
};

std::optional<config::ParsedConfig> ReadChecked(const std::string& folder) {
  auto parsed = config::ReadFolder(folder);
  if (!parsed.ok()) {
    fmt::print(stderr, "{}\n", common::MessageOf(parsed.status()));
    return std::nullopt;
  }
  for (const config::Problem& it : parsed->problems) {
    fmt::print(stderr, "{}\n", config::ToString(it));
  }
  if (parsed->problems.empty()) return *std::move(parsed);
  fmt::print(stderr, "{} problems\n", parsed->problems.size());
  return std::nullopt;
}

std::optional<common::Endpoint> PlatformOption(const Arguments& arguments) {
  po::options_description options;
  options.add_options()(
      "platform", po::value<std::string>()->default_value("127.0.0.1:2379"));
  const auto values = runtime::ParseArguments(options, arguments);
  if (!values.ok()) {
    fmt::print(stderr, "shallotbeam config: {}\n",
               common::MessageOf(values.status()));
    return std::nullopt;
  }
  const auto endpoint = runtime::EndpointOption(*values, "platform");
  if (endpoint.ok()) return *endpoint;
  fmt::print(stderr, "shallotbeam config: {}\n",
             common::MessageOf(endpoint.status()));
  return std::nullopt;
}

}  // namespace

int ConfigCheck(const Arguments& arguments) {
  if (arguments.size() != 1) {
    fmt::print(stderr, "Usage: shallotbeam config check DIR\n");
    return runtime::kExitUsage;
  }
  if (!ReadChecked(arguments[0])) return runtime::kExitFailure;
  fmt::print("no problems\n");
  return runtime::kExitOk;
}

int ConfigPublish(const Arguments& arguments) {
  if (arguments.empty()) {
    fmt::print(stderr,
               "Usage: shallotbeam config publish DIR [--platform ADDRESS]\n");
    return runtime::kExitUsage;
  }
  const auto endpoint =
      PlatformOption(Arguments(arguments.begin() + 1, arguments.end()));
  if (!endpoint) return runtime::kExitUsage;
  const auto parsed = ReadChecked(arguments[0]);
  if (!parsed) return runtime::kExitFailure;

  StoreSession store(*endpoint);
  const platform::ReadResult current = store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok()) {
    fmt::print(stderr, "{}\n", common::MessageOf(current.status));
    return runtime::kExitFailure;
  }
  const platform::SwapResult swap = store.Swap(
      runtime::kConfigStoreKey, current.stored.revision, parsed->document);
  switch (swap.outcome) {
    case platform::SwapOutcome::kSwapped:
      fmt::print("published version {}\n", swap.stored.revision);
      return runtime::kExitOk;
    case platform::SwapOutcome::kConflict:
      fmt::print(stderr,
                 "not published: version {} was published meanwhile; see "
                 "\"shallotbeam config show\"\n",
                 swap.stored.revision);
      return runtime::kExitFailure;
    case platform::SwapOutcome::kUnavailable:
      break;
  }
  fmt::print(stderr,
             "unknown whether it was published: the store did not answer\n");
  return runtime::kExitFailure;
}

int ConfigShow(const Arguments& arguments) {
  const auto endpoint = PlatformOption(arguments);
  if (!endpoint) return runtime::kExitUsage;
  StoreSession store(*endpoint);
  const platform::ReadResult current = store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok() || current.stored.revision == 0) {
    fmt::print(stderr, "no configuration was read\n");
    return runtime::kExitFailure;
  }
  fmt::print("// version {}\n{}\n", current.stored.revision,
             current.stored.value);
  return runtime::kExitOk;
}

int ConfigStatus(const Arguments& arguments) { return Status(arguments); }

}  // namespace shallotbeam::commands
