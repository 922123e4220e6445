#include "Config/Document.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>

#include "Common/Json.h"
#include "Common/NearestName.h"
#include "Config/Folder.h"
#include "Config/Keys.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

enum class UnknownKeys : std::uint8_t { kReport, kIgnore };
enum class Entries : std::uint8_t { kAny, kAtLeastOne };

// Parses and validates the sections of a merged document.
class FleetConfigParser {
 public:
  FleetConfigParser(const MergedDocument& merged, UnknownKeys unknown_keys,
                    std::vector<Problem>* problems)
      : merged_(merged), unknown_keys_(unknown_keys), problems_(problems) {}

  FleetConfig Parse() {
    FleetConfig config;
    ReportUnknown(merged_.root, "", {"pools", "kinds", "workspaces"});
    ParseSection("pools", PoolKeys(), Entries::kAtLeastOne, &config.pools);
    ParseSection("kinds", KindKeys(), Entries::kAtLeastOne, &config.kinds);
    // The last workspace can be withdrawn, an absent section is a mistake.
    ParseSection("workspaces", WorkspaceKeys(), Entries::kAny,
                 &config.workspaces);
    CheckPools(config);
    CheckKinds(config);
    CheckWorkspaces(config);
    return config;
  }

 private:
  void Report(const std::string& path, std::string expected,
              std::string found) {
    problems_->push_back({.file = FileOf(merged_, path),
                          .path = path,
                          .expected = std::move(expected),
                          .found = std::move(found)});
  }

  void ReportUnknown(const json& object, const std::string& path,
                     const std::vector<std::string>& known) {
    if (unknown_keys_ == UnknownKeys::kIgnore) return;
    for (const auto& [key, value] : object.items()) {
      if (std::find(known.begin(), known.end(), key) != known.end()) continue;
      const std::string nearest = common::NearestName(key, known);
      Report(path.empty() ? key : absl::StrCat(path, ".", key),
             nearest.empty() ? "a known key"
                             : absl::StrCat("the known key \"", nearest, "\""),
             absl::StrCat("the unknown key \"", key, "\""));
    }
  }

  template <typename Name, typename Entry>
  void ParseSection(const std::string& section, const Keys<Entry>& keys,
                    Entries number, std::map<Name, Entry>* entries) {
    const bool may_be_empty = number == Entries::kAny;
    const char* expected =
        may_be_empty ? "an object" : "an object with at least one entry";
    const auto it = merged_.root.find(section);
    if (it == merged_.root.end()) return Report(section, expected, "nothing");
    if (!it->is_object() || (it->empty() && !may_be_empty)) {
      return Report(section, expected, it->dump());
    }
    for (const auto& [name, object] : it->items()) {
      const std::string path = absl::StrCat(section, ".", name);
      // Add the entry even if it has errors, so that references to it are not
      // reported as unknown names.
      Entry& entry = (*entries)[Name(name)];
      if (name.empty()) Report(path, "a name", "an empty key");
      if (!object.is_object()) {
        Report(path, "an object", object.dump());
        continue;
      }
      ParseEntry(object, path, keys, &entry);
    }
  }

  template <typename Entry>
  void ParseEntry(const json& object, const std::string& path,
                  const Keys<Entry>& keys, Entry* entry) {
    std::vector<std::string> known;
    for (const Key<Entry>& key : keys) {
      known.push_back(key.name);
      const auto it = object.find(key.name);
      const std::string key_path = absl::StrCat(path, ".", key.name);
      if (it == object.end()) {
        if (key.required) Report(key_path, key.expected, "nothing");
        continue;
      }
      if (!key.read(*it, *entry)) Report(key_path, key.expected, it->dump());
    }
    ReportUnknown(object, path, known);
  }

  void CheckPools(const FleetConfig& config) {
    for (const auto& [name, pool] : config.pools) {
      const std::string path = absl::StrCat("pools.", name.value);
      if (pool.min_slots > pool.initial_slots) {
        Report(absl::StrCat(path, ".min_slots"),
               absl::StrCat("at most initial_slots, ", pool.initial_slots),
               absl::StrCat(pool.min_slots));
      }
      if (pool.initial_slots > pool.max_slots) {
        Report(absl::StrCat(path, ".initial_slots"),
               absl::StrCat("at most max_slots, ", pool.max_slots),
               absl::StrCat(pool.initial_slots));
      }
    }
  }

  void CheckKinds(const FleetConfig& config) {
    std::vector<std::string> pools;
    for (const auto& [name, pool] : config.pools) pools.push_back(name.value);
    for (const auto& [name, kind] : config.kinds) {
      const std::string path = absl::StrCat("kinds.", name.value);
      if (!kind.pool.empty() && config.pools.count(kind.pool) == 0) {
        ReportUnknownName(absl::StrCat(path, ".pool"), "pool", kind.pool.value,
                          pools);
      }
      if (kind.default_deadline > kind.max_deadline) {
        Report(absl::StrCat(path, ".default_deadline_ms"),
               absl::StrCat("at most max_deadline_ms, ",
                            kind.max_deadline.count()),
               absl::StrCat(kind.default_deadline.count()));
      }
    }
  }

  void CheckWorkspaces(const FleetConfig& config) {
    std::vector<std::string> kinds;
    for (const auto& [name, kind] : config.kinds) kinds.push_back(name.value);
    for (const auto& [name, workspace] : config.workspaces) {
      CheckCredential(name, workspace);
      for (const common::KindName& kind : workspace.kinds) {
        if (config.kinds.count(kind) != 0) continue;
        ReportUnknownName(absl::StrCat("workspaces.", name.value, ".kinds"),
                          "kind", kind.value, kinds);
      }
    }
  }

  // Only where operators check a configuration. A process refuses the requests
  // of such a workspace, and serves the others.
  void CheckCredential(const common::WorkspaceName& name,
                       const WorkspaceConfig& workspace) {
    if (unknown_keys_ == UnknownKeys::kIgnore) return;
    const std::string path =
        absl::StrCat("workspaces.", name.value, ".credential_sha256");
    const bool given =
        merged_.root["workspaces"][name.value].contains("credential_sha256");
    if (workspace.open && given) {
      Report(path, "nothing, as the workspace is open", "a credential");
    } else if (!workspace.open && !given) {
      Report(path, "64 hexadecimal digits, or \"open\": true", "nothing");
    }
  }

  void ReportUnknownName(const std::string& path, const std::string& what,
                         const std::string& name,
                         const std::vector<std::string>& known) {
    const std::string nearest = common::NearestName(name, known);
    Report(path,
           nearest.empty()
               ? absl::StrCat("a known ", what)
               : absl::StrCat("a known ", what, " such as \"", nearest, "\""),
           absl::StrCat("\"", name, "\""));
  }

  const MergedDocument& merged_;
  UnknownKeys unknown_keys_;
  std::vector<Problem>* problems_;
};

}  // namespace

absl::StatusOr<ParsedConfig> ReadFolder(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  std::error_code ec;
  for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
    const auto extension = it.path().extension();
    if (extension == ".json" || extension == ".jsonc") {
      files.push_back(it.path());
    }
  }
  if (ec) {
    return absl::NotFoundError(
        absl::StrCat("folder \"", folder, "\": ", ec.message()));
  }
  if (files.empty()) {
    return absl::NotFoundError(
        absl::StrCat("no .json or .jsonc file in folder \"", folder, "\""));
  }
  std::sort(files.begin(), files.end());

  ParsedConfig parsed;
  MergedDocument merged;
  for (const auto& file : files) {
    const std::string name = file.filename().string();
    std::ifstream stream(file);
    if (!stream) {
      return absl::NotFoundError(
          absl::StrCat("file \"", file.string(), "\" can't be read"));
    }
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    const json content = ParseFile(text, name, &parsed.problems);
    if (content.is_null()) continue;
    Merge(content, name, &merged, &parsed.problems);
  }
  parsed.config =
      FleetConfigParser(merged, UnknownKeys::kReport, &parsed.problems).Parse();
  parsed.document = merged.root.dump();
  return parsed;
}

absl::StatusOr<FleetConfig> ParseDocument(std::string_view document) {
  MergedDocument merged;
  merged.root = common::ParseJson(document);
  if (merged.root.is_discarded() || !merged.root.is_object()) {
    return absl::InvalidArgumentError(
        "configuration document is not a JSON object");
  }
  // A published value contains the document as a member; see
  // Config/Publication.h.
  const auto embedded = merged.root.find("document");
  if (embedded != merged.root.end()) {
    if (!embedded->is_object()) {
      return absl::InvalidArgumentError(
          "member \"document\" of the published value is not a JSON object");
    }
    merged.root = json(*embedded);
  }
  merged.file_of_path[""] = "document";
  std::vector<Problem> problems;
  FleetConfig config =
      FleetConfigParser(merged, UnknownKeys::kIgnore, &problems).Parse();
  if (!problems.empty()) {
    return absl::InvalidArgumentError(ToString(problems.front()));
  }
  return config;
}

std::string ToString(const Problem& problem) {
  std::string location = problem.file;
  if (problem.line > 0) absl::StrAppend(&location, ":", problem.line);
  if (!problem.path.empty()) absl::StrAppend(&location, ": ", problem.path);
  return absl::StrCat(location, ": expected ", problem.expected, ", found ",
                      problem.found);
}

std::string ToJson(const std::vector<Problem>& problems) {
  json list = json::array();
  for (const Problem& it : problems) {
    list.push_back({{"file", it.file},
                    {"path", it.path},
                    {"expected", it.expected},
                    {"found", it.found}});
    if (it.line > 0) list.back()["line"] = it.line;
  }
  return list.dump(2);
}

}  // namespace shallotbeam::config
