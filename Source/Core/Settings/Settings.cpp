#include "Settings/Settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "Common/Logging.h"
#include "Common/NearestName.h"
#include "Config/Folder.h"
#include "Transport/Http.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"

namespace shallotbeam::settings {

namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr const char* kExpectedAddress = "an IP address and a port";

// Names of the settings that were assigned a value by a file or the command
// line.
using AssignedNames = std::set<std::string>;

absl::Status SettingError(const std::string& layer, const std::string& key,
                          const std::string& expected,
                          const std::string& found) {
  return absl::InvalidArgumentError(absl::StrCat(
      layer, ": ", key, ": expected ", expected, ", found ", found));
}

std::string FileKey(const std::string& name) {
  return absl::StrReplaceAll(name, {{"-", "_"}});
}

// Assigns the value that a settings file has for a setting.
absl::Status ApplyJson(const Setting& setting, const std::string& layer,
                       const json& value) {
  const bool is_list = setting.repeated && value.is_array();
  const json values = is_list ? value : json::array({value});
  if (setting.clear) setting.clear();
  for (const json& it : values) {
    const bool has_expected_type =
        setting.number ? it.is_number() : it.is_string();
    const std::string text = it.is_string() ? it.get<std::string>() : it.dump();
    if (!has_expected_type || !setting.parse(text)) {
      return SettingError(layer, FileKey(setting.name), setting.expected,
                          it.dump());
    }
  }
  return absl::OkStatus();
}

absl::Status ApplyFile(const Settings& settings, const std::string& path,
                       AssignedNames* assigned) {
  const std::string layer = absl::StrCat("settings file \"", path, "\"");
  std::ifstream stream(path);
  if (!stream) {
    return absl::InvalidArgumentError(absl::StrCat(layer, " can't be read"));
  }
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  std::vector<config::Problem> problems;
  const json root = config::ParseFile(text, path, &problems);
  if (!problems.empty()) {
    return absl::InvalidArgumentError(
        absl::StrCat("settings file ", config::ToString(problems.front())));
  }
  if (!root.is_object()) {
    return SettingError(layer, "document", "an object", root.dump());
  }
  std::map<std::string, const Setting*> by_key;
  std::vector<std::string> known;
  for (const Setting& it : settings) {
    by_key[FileKey(it.name)] = &it;
    known.push_back(FileKey(it.name));
  }
  for (const auto& [key, value] : root.items()) {
    const auto it = by_key.find(key);
    if (it == by_key.end()) {
      const std::string nearest = common::NearestName(key, known);
      return SettingError(layer, key,
                          nearest.empty()
                              ? "a known key"
                              : absl::StrCat("the known key \"", nearest, "\""),
                          "an unknown key");
    }
    absl::Status status = ApplyJson(*it->second, layer, value);
    if (!status.ok()) return status;
    assigned->insert(it->second->name);
  }
  return absl::OkStatus();
}

po::options_description DescribeOptions(const std::string& title,
                                        const Settings& settings) {
  po::options_description options(title);
  options.add_options()("help", "print this help")("version",
                                                   "print the version")(
      "settings", po::value<std::string>(),
      "settings file; the command line takes precedence");
  for (const Setting& it : settings) {
    std::string text = it.description;
    if (!it.unit.empty()) absl::StrAppend(&text, " (", it.unit, ")");
    if (it.repeated) absl::StrAppend(&text, "; may be repeated");
    if (!it.default_value.empty()) {
      absl::StrAppend(&text, " [default ", it.default_value, "]");
    }
    if (it.presence == Presence::kRequired) {
      absl::StrAppend(&text, " [required]");
    }
    options.add_options()(it.name.c_str(),
                          po::value<std::vector<std::string>>(), text.c_str());
  }
  return options;
}

absl::Status ApplyCommandLine(const Settings& settings,
                              const po::variables_map& values,
                              AssignedNames* assigned) {
  for (const Setting& setting : settings) {
    if (values.count(setting.name) == 0) continue;
    const auto& texts = values[setting.name].as<std::vector<std::string>>();
    const std::string key = absl::StrCat("--", setting.name);
    if (texts.size() > 1 && !setting.repeated) {
      return SettingError("command line", key, "one value",
                          absl::StrCat(texts.size(), " values"));
    }
    if (setting.clear) setting.clear();
    for (const std::string& text : texts) {
      if (!setting.parse(text)) {
        return SettingError("command line", key, setting.expected,
                            json(text).dump());
      }
    }
    assigned->insert(setting.name);
  }
  return absl::OkStatus();
}

template <typename Integer>
Setting IntegerSetting(const std::string& name, const std::string& description,
                       Integer low, Integer high,
                       std::function<void(Integer)> store) {
  return {
      .name = name,
      .expected = absl::StrCat("an integer from ", low, " to ", high),
      .description = description,
      .number = true,
      .parse = [low, high, store = std::move(store)](const std::string& text) {
        Integer value = 0;
        if (!absl::SimpleAtoi(text, &value)) return false;
        if (value < low || value > high) return false;
        store(value);
        return true;
      }};
}

}  // namespace

Setting Text(std::string name, std::string description, std::string* target,
             Presence presence) {
  return {.name = std::move(name),
          .expected = "a string that is not empty",
          .default_value = *target,
          .description = std::move(description),
          .presence = presence,
          .parse = [target](const std::string& text) {
            *target = text;
            return !text.empty();
          }};
}

Setting Number(const std::string& name, const std::string& description, int low,
               int high, int* target) {
  Setting setting = IntegerSetting<int>(
      name, description, low, high, [target](int value) { *target = value; });
  setting.default_value = absl::StrCat(*target);
  return setting;
}

Setting Number(const std::string& name, const std::string& description,
               std::int64_t low, std::int64_t high, std::int64_t* target) {
  Setting setting = IntegerSetting<std::int64_t>(
      name, description, low, high,
      [target](std::int64_t value) { *target = value; });
  setting.default_value = absl::StrCat(*target);
  return setting;
}

Setting Milliseconds(const std::string& name, const std::string& description,
                     std::chrono::milliseconds low,
                     std::chrono::milliseconds high,
                     std::chrono::milliseconds* target) {
  Setting setting =
      IntegerSetting<std::int64_t>(name, description, low.count(), high.count(),
                                   [target](std::int64_t value) {
                                     *target = std::chrono::milliseconds(value);
                                   });
  setting.default_value = absl::StrCat(target->count());
  setting.unit = "milliseconds";
  return setting;
}

Setting Seconds(const std::string& name, const std::string& description,
                std::chrono::milliseconds low, std::chrono::milliseconds high,
                std::chrono::milliseconds* target) {
  using DecimalSeconds = std::chrono::duration<double>;
  const auto text_of = [](std::chrono::milliseconds time) {
    return absl::StrCat(DecimalSeconds(time).count());
  };
  return {.name = name,
          .expected = absl::StrCat("seconds from ", text_of(low), " to ",
                                   text_of(high)),
          .default_value = text_of(*target),
          .unit = "seconds",
          .description = description,
          .number = true,
          .parse = [low, high, target](const std::string& text) {
            double value = 0;
            if (!absl::SimpleAtod(text, &value)) return false;
            const DecimalSeconds time(value);
            // NaN compares false, so this form of the check rejects it.
            if (!(time >= low && time <= high)) return false;
            *target =
                std::chrono::duration_cast<std::chrono::milliseconds>(time);
            return true;
          }};
}

Setting Address(std::string name, std::string description,
                common::Endpoint* target, Presence presence) {
  return {
      .name = std::move(name),
      .expected = kExpectedAddress,
      .default_value = target->address.empty() ? "" : common::ToString(*target),
      .description = std::move(description),
      .presence = presence,
      .parse = [target](const std::string& text) {
        const auto endpoint = transport::ParseEndpoint(text);
        if (endpoint) *target = *endpoint;
        return endpoint.has_value();
      }};
}

Setting Addresses(std::string name, std::string description,
                  std::vector<common::Endpoint>* target, Presence presence) {
  return {.name = std::move(name),
          .expected = kExpectedAddress,
          .description = std::move(description),
          .presence = presence,
          .repeated = true,
          .parse =
              [target](const std::string& text) {
                const auto endpoint = transport::ParseEndpoint(text);
                if (endpoint) target->push_back(*endpoint);
                return endpoint.has_value();
              },
          .clear = [target] { target->clear(); }};
}

Setting Choice(std::string name, std::string description,
               const std::vector<std::string>& choices, std::string* target) {
  return {.name = std::move(name),
          .expected = absl::StrJoin(choices, " or "),
          .default_value = *target,
          .description = std::move(description),
          .parse = [target, choices](const std::string& text) {
            *target = text;
            return std::find(choices.begin(), choices.end(), text) !=
                   choices.end();
          }};
}

Setting LogLevels(std::string name, std::string description,
                  std::string* target) {
  return {.name = std::move(name),
          .expected = "levels such as info,routing=debug",
          .default_value = *target,
          .description = std::move(description),
          .parse = [target](const std::string& text) {
            *target = text;
            return !text.empty() && common::CheckLogLevels(text).ok();
          }};
}

absl::Status Read(const Settings& settings,
                  const std::vector<std::string>& arguments) {
  po::variables_map values;
  // Boost.Program_options reports invalid arguments by exceptions.
  try {
    // Guessing would accept abbreviated option names, which can become
    // ambiguous when a later release adds options.
    const int style = po::command_line_style::default_style &
                      ~po::command_line_style::allow_guessing;
    po::store(po::command_line_parser(arguments)
                  .options(DescribeOptions("", settings))
                  .style(style)
                  .run(),
              values);
  } catch (const po::error& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("command line: ", error.what()));
  }
  AssignedNames assigned;
  if (values.count("settings") != 0) {
    absl::Status file =
        ApplyFile(settings, values["settings"].as<std::string>(), &assigned);
    if (!file.ok()) return file;
  }
  absl::Status line = ApplyCommandLine(settings, values, &assigned);
  if (!line.ok()) return line;
  for (const Setting& it : settings) {
    if (it.presence == Presence::kOptional || assigned.count(it.name) != 0) {
      continue;
    }
    return SettingError("command line or settings file",
                        absl::StrCat("--", it.name), it.expected, "nothing");
  }
  return absl::OkStatus();
}

std::string Help(const std::string& program, const Settings& settings) {
  std::ostringstream stream;
  stream << DescribeOptions(absl::StrCat("Options of ", program), settings);
  return stream.str();
}

std::string ReferenceTable(const Settings& settings) {
  std::string table =
      "| option | key in a file | expected | default | unit | meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const Setting& it : settings) {
    std::string default_value;
    if (it.presence == Presence::kRequired) default_value = "required";
    if (!it.default_value.empty()) {
      default_value = absl::StrCat("`", it.default_value, "`");
    }
    absl::StrAppend(&table, "| `--", it.name, "` | `", FileKey(it.name), "` | ",
                    it.repeated ? "a list; each " : "", it.expected, " | ",
                    default_value, " | ", it.unit, " | ", it.description,
                    " |\n");
  }
  return table;
}

}  // namespace shallotbeam::settings
