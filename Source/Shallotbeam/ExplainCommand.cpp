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

// Log fields that contain a request id. An agent appends the attempt number to
// the id, for example attempt=1f/2.
constexpr std::array<std::string_view, 3> kIdFields = {
    "id=", "request=", "attempt="};
constexpr char kAttemptSeparator = '/';

// A log line that names the request, or a warning or error that may be related
// to the request.
struct Line {
  std::string time;  // as logged; the text sorts chronologically
  std::string process;
  std::string text;  // from the subsystem field to the end of the line
  bool names_request = false;  // false: a warning or an error
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

// Returns nullopt if the line is not in the log format of this project's
// programs, or neither names the request nor is a warning or an error.
std::optional<Line> ParseLine(const std::string& file, const std::string& text,
                              std::string_view id) {
  constexpr std::string_view kLevel = " level=";
  constexpr std::string_view kSubsystemField = " subsystem=";
  const auto level = text.find(kLevel);
  const auto subsystem = text.find(kSubsystemField);
  if (level == std::string::npos || subsystem == std::string::npos) {
    return std::nullopt;
  }
  // A log collector that merges several processes into one file may write the
  // name of the process before the time.
  const std::vector<std::string> prefix =
      absl::StrSplit(text.substr(0, level), ' ', absl::SkipEmpty());
  const std::string_view severity(text.data() + level + kLevel.size(),
                                  subsystem - level - kLevel.size());
  if (prefix.empty()) return std::nullopt;
  const bool has_process_name = prefix.size() > 1;
  Line line{.time = prefix.back(),
            .process = has_process_name ? prefix[prefix.size() - 2] : file,
            .text = text.substr(subsystem + 1),
            .names_request = NamesRequest(text, id)};
  const bool is_warning_or_error = severity == "warning" || severity == "error";
  if (!line.names_request && !is_warning_or_error) return std::nullopt;
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

// Whether `line` lies between the first and the last line that names the
// request and comes from a process that logged one of these lines.
bool IsContext(const Line& line, const std::vector<Line>& request_lines) {
  const bool during_request = line.time >= request_lines.front().time &&
                              line.time <= request_lines.back().time;
  return during_request &&
         std::any_of(
             request_lines.begin(), request_lines.end(),
             [&line](const Line& it) { return it.process == line.process; });
}

void Print(const std::vector<Line>& lines, std::string_view id,
           const Console& console) {
  std::vector<Line> request_lines;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(request_lines),
               [](const Line& it) { return it.names_request; });
  for (const Line& it : lines) {
    if (!it.names_request && !IsContext(it, request_lines)) continue;
    fmt::print(console.out, "{} {} {}{}\n", it.time, it.process,
               it.names_request ? "" : "(meanwhile) ", it.text);
  }
  fmt::print(console.out, "{} lines name request {}\n", request_lines.size(),
             id);
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
  const auto exit_code = ReadCommandLine(
      {.command = std::string(kCommand) + " FILE...",
       .options = {settings::Text("request", "id of the request", &id)}},
      options, console, nullptr);
  if (exit_code) return *exit_code;
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
  const bool found =
      std::any_of(lines.begin(), lines.end(),
                  [](const Line& it) { return it.names_request; });
  if (!found) {
    fmt::print(console.err, "{}: no line names request {}\n", kCommand, id);
    return runtime::kExitFailure;
  }
  Print(lines, id, console);
  return runtime::kExitOk;
}

}  // namespace shallotbeam::commands
