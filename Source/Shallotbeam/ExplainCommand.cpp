#include <fmt/ostream.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "CommandTools.h"
#include "Commands.h"
#include "Runtime/CommandLine.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace shallotbeam::commands {

namespace {

constexpr std::string_view kCommand = "shallotbeam explain";

// Fields that hold the id of a request. An agent appends the number of the
// attempt to it.
constexpr std::array<std::string_view, 3> kIdFields = {
    "id=", "request=", "attempt="};
constexpr char kAttemptSeparator = '/';

// A line that may matter to the request.
struct Line {
  std::string time;  // as written, which sorts by time
  std::string process;
  std::string text;  // from the subsystem on
  bool own = false;  // of the request; otherwise a warning or an error
};

bool NamesRequest(std::string_view text, std::string_view id) {
  for (const absl::string_view field :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ' ')) {
    for (const std::string_view name : kIdFields) {
      if (!absl::StartsWith(field, {name.data(), name.size()})) continue;
      const auto value = field.substr(name.size());
      const bool whole =
          value.size() == id.size() ||
          (value.size() > id.size() && value[id.size()] == kAttemptSeparator);
      if (whole && absl::StartsWith(value, {id.data(), id.size()})) return true;
    }
  }
  return false;
}

// Absent if the line was not written by one of the programs.
std::optional<Line> ParseLine(const std::string& file, const std::string& text,
                              std::string_view id) {
  constexpr std::string_view kLevel = " level=";
  constexpr std::string_view kSubsystem = " subsystem=";
  const auto level = text.find(kLevel);
  const auto subsystem = text.find(kSubsystem);
  if (level == std::string::npos || subsystem == std::string::npos) {
    return std::nullopt;
  }
  // What collects the logs of several processes in one file may put the name of
  // the process before the time.
  const std::vector<std::string> before =
      absl::StrSplit(text.substr(0, level), ' ', absl::SkipEmpty());
  const std::string_view severity(text.data() + level + kLevel.size(),
                                  subsystem - level - kLevel.size());
  if (before.empty()) return std::nullopt;
  const bool named = before.size() > 1;
  Line line{.time = before.back(),
            .process = named ? before[before.size() - 2] : file,
            .text = text.substr(subsystem + 1),
            .own = NamesRequest(text, id)};
  const bool serious = severity == "warning" || severity == "error";
  if (!line.own && !serious) return std::nullopt;
  return line;
}

// Returns false if the file can't be read.
bool ReadLines(const std::filesystem::path& path, std::string_view id,
               std::vector<Line>* lines) {
  std::ifstream file(path);
  if (!file) return false;
  for (std::string text; std::getline(file, text);) {
    auto line = ParseLine(path.stem().string(), text, id);
    if (line) lines->push_back(std::move(*line));
  }
  return true;
}

// Warnings of the processes that decided on the request, while it was open.
bool IsContext(const Line& line, const std::vector<Line>& own) {
  const bool in_time =
      line.time >= own.front().time && line.time <= own.back().time;
  return in_time &&
         std::any_of(own.begin(), own.end(), [&line](const Line& it) {
           return it.process == line.process;
         });
}

void Print(const std::vector<Line>& lines, std::string_view id,
           const Console& console) {
  std::vector<Line> own;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
               [](const Line& it) { return it.own; });
  for (const Line& it : lines) {
    if (!it.own && !IsContext(it, own)) continue;
    fmt::print(console.out, "{} {} {}{}\n", it.time, it.process,
               it.own ? "" : "(meanwhile) ", it.text);
  }
  fmt::print(console.out, "{} lines name request {}\n", own.size(), id);
}

}  // namespace

int Explain(const Arguments& arguments, const Console& console) {
  Arguments options = arguments;
  std::vector<std::string> files;
  while (!options.empty() && !absl::StartsWith(options.front(), "--")) {
    files.push_back(options.front());
    options.erase(options.begin());
  }
  std::string id;
  const auto done = ReadCommandLine(
      {.command = std::string(kCommand) + " FILE...",
       .options = {settings::Text("request", "id of the request", &id)}},
      options, console, nullptr);
  if (done) return *done;
  if (files.empty() || id.empty()) {
    fmt::print(console.err,
               "{0}: expected files and --request\n"
               "Usage: {0} FILE... --request ID\n",
               kCommand);
    return runtime::kExitUsage;
  }
  std::vector<Line> lines;
  for (const std::string& it : files) {
    if (ReadLines(it, id, &lines)) continue;
    fmt::print(console.err, "{}: cannot read {}\n", kCommand, it);
    return runtime::kExitFailure;
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  const bool found = std::any_of(lines.begin(), lines.end(),
                                 [](const Line& it) { return it.own; });
  if (!found) {
    fmt::print(console.err, "{}: no line names request {}\n", kCommand, id);
    return runtime::kExitFailure;
  }
  Print(lines, id, console);
  return runtime::kExitOk;
}

}  // namespace shallotbeam::commands
