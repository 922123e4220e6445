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

// The swap is repeated with the same value after a lost response; the revision
// lets at most one of them take effect.
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

// Reads a folder; prints its problems and returns nothing if there are any.
std::optional<config::ParsedConfig> ReadChecked(const std::string& folder,
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

std::string Describe(const platform::StoredValue& stored) {
  const auto publication = config::ParsePublication(stored.value);
  if (!publication.ok() || publication->publisher.empty()) {
    return fmt::format("version {}", stored.revision);
  }
  return fmt::format("version {}, published by {} at {}", stored.revision,
                     publication->publisher, publication->time);
}

int ReportUnread(const Console& console, const std::string& consequence) {
  fmt::print(console.err,
             "{}: the key-value service gave no answer; try again later\n",
             consequence);
  return runtime::kExitUnavailable;
}

int ReportConflict(const platform::StoredValue& winner,
                   const std::string& folder, const Console& console) {
  fmt::print(console.err,
             "not published: {} is in force instead\n"
             "Your folder \"{}\" is unchanged. Compare it with the output of "
             "\"shallotbeam config show\", take over what is missing, and run "
             "\"shallotbeam config publish {} --expect-version {}\".\n",
             winner.revision == 0 ? "no configuration" : Describe(winner),
             folder, folder, winner.revision);
  return runtime::kExitConflict;
}

int Publish(StoreSession& store, std::uint64_t expected,
            const std::string& value, const std::string& folder,
            const Console& console) {
  platform::SwapResult swap;
  for (int i = 0; i < kPublishAttempts; ++i) {
    swap = store.Swap(runtime::kConfigStoreKey, expected, value);
    if (swap.outcome != platform::SwapOutcome::kUnavailable) break;
  }
  // A repeated swap conflicts with the first one if that took effect.
  const bool own = swap.outcome == platform::SwapOutcome::kConflict &&
                   swap.stored.value == value;
  if (own || swap.outcome == platform::SwapOutcome::kSwapped) {
    fmt::print(console.out, "published version {}\n", swap.stored.revision);
    return runtime::kExitOk;
  }
  if (swap.outcome == platform::SwapOutcome::kConflict) {
    return ReportConflict(swap.stored, folder, console);
  }
  fmt::print(console.err,
             "unknown whether it was published: the key-value service gave no "
             "answer\nRun the same command again later; it changes nothing if "
             "the folder is already in force.\n");
  return runtime::kExitUnavailable;
}

}  // namespace

int ConfigCheck(const Arguments& arguments, const Console& console) {
  std::string folder;
  std::string output = "table";
  const auto ended = ReadCommandLine({.command = "shallotbeam config check",
                                      .takes_folder = true,
                                      .options = {OutputOption(&output)}},
                                     arguments, console, &folder);
  if (ended) return *ended;
  if (!ReadChecked(folder, output, console)) return runtime::kExitFailure;
  if (output == "table") fmt::print(console.out, "no problems\n");
  return runtime::kExitOk;
}

int ConfigPublish(const Arguments& arguments, const Console& console) {
  std::string folder;
  common::Endpoint endpoint = kDefaultPlatform;
  std::string publisher = DefaultPublisher();
  std::int64_t expected_version = -1;  // none given
  settings::Setting expect = settings::Number(
      "expect-version",
      "publish only over this version, as printed by config show",
      std::int64_t{0}, std::numeric_limits<std::int64_t>::max(),
      &expected_version);
  expect.default_value.clear();
  const auto ended = ReadCommandLine(
      {.command = "shallotbeam config publish",
       .takes_folder = true,
       .options = {PlatformOption(&endpoint), expect,
                   settings::Text("publisher", "who publishes", &publisher)}},
      arguments, console, &folder);
  if (ended) return *ended;
  const auto parsed = ReadChecked(folder, "table", console);
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
  const platform::ReadResult current = store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok()) return ReportUnread(console, "not published");
  const auto published = config::ParsePublication(current.stored.value);
  if (published.ok() &&
      config::IsSameDocument(published->document, parsed->document)) {
    fmt::print(console.out, "unchanged: {} holds the same document\n",
               Describe(current.stored));
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
  const auto ended = ReadCommandLine(
      {.command = "shallotbeam config show",
       .options = {PlatformOption(&endpoint), OutputOption(&output)}},
      arguments, console, nullptr);
  if (ended) return *ended;
  StoreSession store(endpoint);
  const platform::ReadResult current = store.Read(runtime::kConfigStoreKey);
  if (!current.status.ok()) {
    return ReportUnread(console, "no configuration was read");
  }
  if (current.stored.revision == 0) {
    fmt::print(console.err, "no configuration was published yet\n");
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
  // JSON with comments: the output can be saved and published again.
  fmt::print(console.out, "// {}\n{}\n", Describe(current.stored),
             document.dump(2));
  return runtime::kExitOk;
}

}  // namespace shallotbeam::commands
