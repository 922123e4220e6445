#include <fmt/chrono.h>
#include <fmt/ostream.h>

#include <chrono>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "CommandTools.h"
#include "Commands.h"
#include "Common/StatusText.h"
#include "Config/Document.h"
#include "Config/Publication.h"
#include "Runtime/CommandLine.h"
#include "Runtime/ConfigHolder.h"
#include "Runtime/ProcessHost.h"

namespace shallotbeam::commands {

namespace {

using nlohmann::json;

// The compare-and-swap is retried with the same value after a lost response.
// The expected revision ensures that at most one attempt takes effect.
constexpr int kPublishAttempts = 3;

const common::Endpoint kDefaultPlatform{"127.0.0.1", 2379};

settings::Setting PlatformOption(common::Endpoint* endpoint) {
  return settings::Address(
      "platform", "address of the platform's key-value service", endpoint);
}

std::string DefaultPublisher() {
  const char* user = std::getenv("USER");  // NOLINT(concurrency-mt-unsafe)
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

std::string FormatNow() {
  const auto now = std::chrono::system_clock::now();
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)));
}

// Reads a configuration folder and prints its problems. Returns nullopt if
// there are any, or if the folder cannot be read.
std::optional<config::ParsedConfig> ReadValidConfig(const std::string& folder,
                                                    const std::string& output,
                                                    const Console& console) {
  auto parsed = config::ReadFolder(folder);
  if (!parsed.ok()) {
    fmt::print(console.err, "{}\n", common::MessageOf(parsed.status()));
    return std::nullopt;
  }
  const auto& problems = parsed->problems;
  if (output == "json") {
    fmt::print(console.out, "{}\n", config::ToJson(problems));
  } else {
    for (const config::Problem& it : problems) {
      fmt::print(console.err, "{}\n", config::ToString(it));
    }
    if (!problems.empty()) {
      fmt::print(console.err, "{} {}\n", problems.size(),
                 problems.size() == 1 ? "problem" : "problems");
    }
  }
  if (!problems.empty()) return std::nullopt;
  return *std::move(parsed);
}

std::string DescribeVersion(const platform_clients::StoredValue& stored) {
  const auto publication = config::ParsePublication(stored.value);
  if (!publication.ok() || publication->publisher.empty()) {
    return fmt::format("version {}", stored.revision);
  }
  return fmt::format("version {}, published by {} at {}", stored.revision,
                     publication->publisher, publication->time);
}

int ReportNoResponse(const Console& console, const std::string& consequence) {
  fmt::print(console.err,
             "{}: the key-value service did not respond; try again later\n",
             consequence);
  return runtime::kExitUnavailable;
}

int ReportConflict(const platform_clients::StoredValue& winner,
                   const std::string& folder, const Console& console) {
  fmt::print(
      console.err,
      "not published: {} is in force instead\n"
      "Your folder \"{}\" is unchanged. Compare it with the output of "
      "\"shallotbeam config show\", merge the differences, and run "
      "\"shallotbeam config publish {} --expect-version {}\".\n",
      winner.revision == 0 ? "no configuration" : DescribeVersion(winner),
      folder, folder, winner.revision);
  return runtime::kExitConflict;
}

int Publish(StoreSession& store, std::uint64_t expected,
            const std::string& value, const std::string& folder,
            const Console& console) {
  platform_clients::SwapResult swap;
  for (int i = 0; i < kPublishAttempts; ++i) {
    swap = store.Swap(runtime::kConfigStoreKey, expected, value);
    if (swap.outcome != platform_clients::SwapOutcome::kUnavailable) break;
  }
  // If an earlier attempt took effect, a retry conflicts with that write.
  const bool is_own_write =
      swap.outcome == platform_clients::SwapOutcome::kConflict &&
      swap.stored.value == value;
  if (is_own_write || swap.outcome == platform_clients::SwapOutcome::kSwapped) {
    fmt::print(console.out, "published version {}\n", swap.stored.revision);
    return runtime::kExitOk;
  }
  if (swap.outcome == platform_clients::SwapOutcome::kConflict) {
    return ReportConflict(swap.stored, folder, console);
  }
  fmt::print(console.err,
             "unknown whether it was published: the key-value service did not "
             "respond\nRun the same command again later; it changes nothing if "
             "the folder is already in force.\n");
  return runtime::kExitUnavailable;
}

}  // namespace

int ConfigCheck(const Arguments& arguments, const Console& console) {
  std::string folder;
  std::string output = "table";
  const auto exit_code = ReadCommandLine({.command = "shallotbeam config check",
                                          .takes_folder = true,
                                          .options = {OutputOption(&output)}},
                                         arguments, console, &folder);
  if (exit_code) return *exit_code;
  if (!ReadValidConfig(folder, output, console)) return runtime::kExitFailure;
  if (output == "table") fmt::print(console.out, "no problems\n");
  return runtime::kExitOk;
}

int ConfigPublish(const Arguments& arguments, const Console& console) {
  std::string folder;
  common::Endpoint endpoint = kDefaultPlatform;
  std::string publisher = DefaultPublisher();
  std::int64_t expected_version = -1;  // -1: the option was not given
  settings::Setting expect_version_option = settings::Number(
      "expect-version",
      "publish only if this version, as printed by config show, is in force",
      std::int64_t{0}, std::numeric_limits<std::int64_t>::max(),
      &expected_version);
  expect_version_option.default_value.clear();
  const auto exit_code = ReadCommandLine(
      {.command = "shallotbeam config publish",
       .takes_folder = true,
       .options = {PlatformOption(&endpoint), expect_version_option,
                   settings::Text("publisher", "name of the publisher",
                                  &publisher)}},
      arguments, console, &folder);
  if (exit_code) return *exit_code;
  const auto parsed = ReadValidConfig(folder, "table", console);
  if (!parsed) return runtime::kExitFailure;

  const std::string value = config::FormatPublication(
      {.publisher = publisher,
       .id = common::ToString(runtime::GenerateIncarnation()),
       .time = FormatNow(),
       .document = parsed->document});
  if (value.size() > config::kMaxPublishedBytes) {
    fmt::print(console.err,
               "not published: expected at most {} bytes, found {}\n",
               config::kMaxPublishedBytes, value.size());
    return runtime::kExitFailure;
  }
  StoreSession store(endpoint);
  const platform_clients::ReadResult current =
      store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok()) return ReportNoResponse(console, "not published");
  const auto published = config::ParsePublication(current.stored.value);
  if (published.ok() &&
      config::IsSameDocument(published->document, parsed->document)) {
    fmt::print(console.out, "unchanged: {} holds the same document\n",
               DescribeVersion(current.stored));
    return runtime::kExitOk;
  }
  const bool outdated =
      expected_version >= 0 &&
      static_cast<std::uint64_t>(expected_version) != current.stored.revision;
  if (outdated) return ReportConflict(current.stored, folder, console);
  return Publish(store, current.stored.revision, value, folder, console);
}

int ConfigShow(const Arguments& arguments, const Console& console) {
  common::Endpoint endpoint = kDefaultPlatform;
  std::string output = "table";
  const auto exit_code = ReadCommandLine(
      {.command = "shallotbeam config show",
       .options = {PlatformOption(&endpoint), OutputOption(&output)}},
      arguments, console, nullptr);
  if (exit_code) return *exit_code;
  StoreSession store(endpoint);
  const platform_clients::ReadResult current =
      store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok()) {
    return ReportNoResponse(console, "no configuration was read");
  }
  if (current.stored.revision == 0) {
    fmt::print(console.err, "no configuration has been published yet\n");
    return runtime::kExitFailure;
  }
  const auto published = config::ParsePublication(current.stored.value);
  if (!published.ok()) {
    fmt::print(console.err, "version {}: {}\n", current.stored.revision,
               common::MessageOf(published.status()));
    return runtime::kExitFailure;
  }
  const json document = json::parse(published->document);
  if (output == "json") {
    const json shown = {{"version", current.stored.revision},
                        {"publisher", published->publisher},
                        {"id", published->id},
                        {"time", published->time},
                        {"document", document}};
    fmt::print(console.out, "{}\n", shown.dump(2));
    return runtime::kExitOk;
  }
  // The heading is a comment, so the output is JSON with comments, which can be
  // saved as a file and published again.
  fmt::print(console.out, "// {}\n{}\n", DescribeVersion(current.stored),
             document.dump(2));
  return runtime::kExitOk;
}

}  // namespace shallotbeam::commands
