#include "CommandTools.h"

#include <fmt/ostream.h>

#include <algorithm>
#include <utility>

#include "Common/StatusText.h"
#include "Runtime/CommandLine.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::commands {

namespace {

// Longer than a router's timeout: an operator can wait for a slow store.
constexpr common::Duration kStoreTimeout = std::chrono::seconds(5);
constexpr common::Duration kStatusTimeout = std::chrono::seconds(2);

}  // namespace

std::optional<int> ReadCommandLine(const Usage& usage, Arguments arguments,
                                   const Console& console,
                                   std::string* folder) {
  const auto help = std::find(arguments.begin(), arguments.end(), "--help");
  if (help != arguments.end()) {
    fmt::print(console.out, "Usage: {} {}[OPTIONS]\n{}", usage.command,
               usage.takes_folder ? "DIR " : "",
               settings::Help(usage.command, usage.options));
    return runtime::kExitOk;
  }
  if (usage.takes_folder) {
    if (arguments.empty() || arguments.front().rfind("--", 0) == 0) {
      fmt::print(console.err,
                 "{0}: expected a folder\nUsage: {0} DIR [OPTIONS]\n",
                 usage.command);
      return runtime::kExitUsage;
    }
    *folder = arguments.front();
    arguments.erase(arguments.begin());
  }
  const absl::Status status = settings::Read(usage.options, arguments);
  if (status.ok()) return std::nullopt;
  fmt::print(console.err, "{}: {}\n", usage.command, common::MessageOf(status));
  return runtime::kExitUsage;
}

settings::Setting OutputOption(std::string* output) {
  return settings::Choice("output", "form of the output", {"table", "json"},
                          output);
}

StoreSession::StoreSession(const common::Endpoint& endpoint)
    : client_(context_),
      store_(client_, {.endpoint = endpoint, .timeout = kStoreTimeout}) {}

platform_clients::ReadResult StoreSession::Read(const std::string& key) {
  platform_clients::ReadResult result;
  store_.Read(key,
              [&](const platform_clients::ReadResult& read) { result = read; });
  RunUntilIdle();
  return result;
}

platform_clients::SwapResult StoreSession::Swap(const std::string& key,
                                                std::uint64_t revision,
                                                const std::string& value) {
  platform_clients::SwapResult result;
  platform_clients::CompareAndSwapReadBack(
      store_, key, revision, value,
      [&](const platform_clients::SwapResult& swap) { result = swap; });
  RunUntilIdle();
  return result;
}

void StoreSession::RunUntilIdle() {
  context_.restart();
  context_.run();
}

absl::StatusOr<nlohmann::json> FetchStatus(const common::Endpoint& admin) {
  boost::asio::io_context context;
  transport::HttpClient client(context);
  transport::HttpResponse response{.status = 0};
  client.Fetch(admin, {.method = "GET", .target = "/status"}, kStatusTimeout,
               [&](transport::CallEnd, const transport::HttpResponse& it) {
                 response = it;
               });
  context.run();
  auto status = nlohmann::json::parse(response.body, nullptr,
                                      /*allow_exceptions=*/false);
  if (response.status != 200 || !status.is_object()) {
    return absl::UnavailableError(
        absl::StrCat("no status from ", common::ToString(admin)));
  }
  return status;
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string table;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    table += line + "\n";
  }
  return table;
}

}  // namespace shallotbeam::commands
