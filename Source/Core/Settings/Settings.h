#ifndef SHALLOTBEAM_CORE_SETTINGS_SETTINGS_H_
#define SHALLOTBEAM_CORE_SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/Types.h"
#include "absl/status/status.h"

// Settings of one process, read in layers: defaults, a settings file (JSON with
// comments), and the command line. A later layer overrides an earlier one.
namespace shallotbeam::settings {

enum class Presence : std::uint8_t {
  kOptional,  // has a default or may be empty
  kRequired,
};

// One setting, with the type and range of its value. On the command line
// "data-centre" is --data-centre; in a settings file it is "data_centre".
struct Setting {
  std::string name;
  std::string expected;       // type and range, for messages
  std::string default_value;  // default value; empty if there is none
  std::string unit;
  std::string description;
  Presence presence = Presence::kOptional;
  bool number = false;    // written as a number in a settings file
  bool repeated = false;  // a list in a settings file
  // Stores one value; returns false if it has the wrong type or range.
  std::function<bool(const std::string& text)> parse;
  // Removes the values of earlier layers from a repeated setting. Called before
  // a layer assigns the setting.
  std::function<void()> clear;
};

using Settings = std::vector<Setting>;

// Constructors of settings. `target` holds the default, receives the value and
// must outlive the setting.
Setting Text(std::string name, std::string description, std::string* target,
             Presence presence = Presence::kOptional);
template <typename Tag>
Setting Text(std::string name, std::string description,
             common::Name<Tag>* target,
             Presence presence = Presence::kOptional) {
  return Text(std::move(name), std::move(description), &target->value,
              presence);
}
Setting Number(const std::string& name, const std::string& description, int low,
               int high, int* target);
Setting Number(const std::string& name, const std::string& description,
               std::int64_t low, std::int64_t high, std::int64_t* target);
Setting Milliseconds(const std::string& name, const std::string& description,
                     std::chrono::milliseconds low,
                     std::chrono::milliseconds high,
                     std::chrono::milliseconds* target);

// Like Milliseconds(), but the value is written in seconds and may have
// decimals.
Setting Seconds(const std::string& name, const std::string& description,
                std::chrono::milliseconds low, std::chrono::milliseconds high,
                std::chrono::milliseconds* target);
Setting Address(std::string name, std::string description,
                common::Endpoint* target,
                Presence presence = Presence::kOptional);
Setting Addresses(std::string name, std::string description,
                  std::vector<common::Endpoint>* target,
                  Presence presence = Presence::kOptional);
// A setting whose value must be one of `choices`.
Setting Choice(std::string name, std::string description,
               const std::vector<std::string>& choices, std::string* target);
Setting LogLevels(std::string name, std::string description,
                  std::string* target);

// Reads the settings file named by --settings, if any, and the command line.
// Returns kInvalidArgument with the layer, the key, the expected value and the
// value found.
absl::Status Read(const Settings& settings,
                  const std::vector<std::string>& arguments);

// Returns the options as text for --help.
std::string Help(const std::string& program, const Settings& settings);

// Returns the settings as a Markdown table for docs/configuration.md.
std::string ReferenceTable(const Settings& settings);

}  // namespace shallotbeam::settings

#endif  // SHALLOTBEAM_CORE_SETTINGS_SETTINGS_H_
