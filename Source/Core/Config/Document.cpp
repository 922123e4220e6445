#include "Config/Document.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

// Collects typed values out of one JSON object and notes what is wrong.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string file, std::string path,
               std::vector<Problem>* problems)
      : object_(object),
        file_(std::move(file)),
        path_(std::move(path)),
        problems_(problems) {}

  void Read(const std::string& key, int low, int high, int* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    const bool fits = it->is_number_integer() &&
                      it->get<std::int64_t>() >= low &&
                      it->get<std::int64_t>() <= high;
    if (!fits) {
      Report(key, absl::StrCat("an integer from ", low, " to ", high), *it);
      return;
    }
    *value = it->get<int>();
  }

  void Read(const std::string& key, std::size_t* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0) {
      Report(key, "a number of bytes above 0", *it);
      return;
    }
    *value = it->get<std::size_t>();
  }

  void Read(const std::string& key, std::chrono::milliseconds* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0) {
      Report(key, "a number of milliseconds above 0", *it);
      return;
    }
    *value = std::chrono::milliseconds(it->get<std::int64_t>());
  }

  void Read(const std::string& key, double* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    if (!it->is_number() || it->get<double>() <= 0) {
      Report(key, "a number above 0", *it);
      return;
    }
    *value = it->get<double>();
  }

  void Read(const std::string& key, bool* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    if (!it->is_boolean()) {
      Report(key, "true or false", *it);
      return;
    }
    *value = it->get<bool>();
  }

  void Read(const std::string& key, std::string* value) {
    const json* it = Find(key);
    if (it == nullptr) return;
    if (!it->is_string()) {
      Report(key, "a string", *it);
      return;
    }
    *value = it->get<std::string>();
  }

  const json* Find(const std::string& key) {
    const auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
  }

  void Report(const std::string& key, std::string expected, const json& found) {
    problems_->push_back({.file = file_,
                          .path = absl::StrCat(path_, ".", key),
                          .expected = std::move(expected),
                          .found = found.dump()});
  }

 private:
  const json& object_;
  std::string file_;
  std::string path_;
  std::vector<Problem>* problems_;
};

PoolConfig ReadPool(ObjectReader reader) {
  PoolConfig pool;
  std::string type = "model";
  reader.Read("type", &type);
  if (type != "model" && type != "plain") {
    reader.Report("type", "\"model\" or \"plain\"", type);
  }
  pool.type = type == "plain" ? PoolType::kPlain : PoolType::kModel;
  reader.Read("initial_slots", 1, 100'000, &pool.initial_slots);
  reader.Read("min_slots", 1, 100'000, &pool.min_slots);
  reader.Read("max_slots", 1, 100'000, &pool.max_slots);
  reader.Read("prefetch", 0, 1000, &pool.prefetch);
  return pool;
}

KindConfig ReadKind(ObjectReader reader) {
  KindConfig kind;
  reader.Read("pool", &kind.pool.value);
  std::string urgency = "normal";
  reader.Read("urgency", &urgency);
  if (urgency == "urgent") {
    kind.urgency = common::Urgency::kUrgent;
  } else if (urgency == "background") {
    kind.urgency = common::Urgency::kBackground;
  } else if (urgency != "normal") {
    reader.Report("urgency", "\"urgent\", \"normal\" or \"background\"",
                  urgency);
  }
  reader.Read("idempotent", &kind.idempotent);
  reader.Read("upstream_path", &kind.upstream_path);
  reader.Read("default_deadline_ms", &kind.default_deadline);
  reader.Read("max_deadline_ms", &kind.max_deadline);
  reader.Read("max_body_bytes", &kind.max_body_bytes);
  reader.Read("max_queued", 1, 1'000'000, &kind.max_queued);
  reader.Read("max_queued_bytes", &kind.max_queued_bytes);
  return kind;
}

WorkspaceConfig ReadWorkspace(ObjectReader reader) {
  WorkspaceConfig workspace;
  reader.Read("weight", &workspace.weight);
  reader.Read("credential_sha256", &workspace.credential_sha256);
  const json* kinds = reader.Find("kinds");
  if (kinds == nullptr) return workspace;
  if (!kinds->is_array()) {
    reader.Report("kinds", "a list of kinds", *kinds);
    return workspace;
  }
  for (const json& it : *kinds) {
    if (!it.is_string()) {
      reader.Report("kinds", "a list of names", it);
      continue;
    }
    workspace.kinds.emplace(it.get<std::string>());
  }
  return workspace;
}

FleetConfig ReadFleet(const json& root, const std::string& file,
                      std::vector<Problem>* problems) {
  FleetConfig config;
  const auto read_section = [&](const char* section, auto&& read_entry) {
    const auto it = root.find(section);
    if (it == root.end() || !it->is_object()) {
      problems->push_back({.file = file,
                           .path = section,
                           .expected = "an object",
                           .found = it == root.end() ? "nothing" : it->dump()});
      return;
    }
    for (const auto& [name, entry] : it->items()) {
      const std::string path = absl::StrCat(section, ".", name);
      if (!entry.is_object()) {
        problems->push_back({.file = file,
                             .path = path,
                             .expected = "an object",
                             .found = entry.dump()});
        continue;
      }
      read_entry(name, ObjectReader(entry, file, path, problems));
    }
  };
  read_section("pools", [&](const std::string& name, ObjectReader reader) {
    config.pools[common::PoolName(name)] = ReadPool(std::move(reader));
  });
  read_section("kinds", [&](const std::string& name, ObjectReader reader) {
    config.kinds[common::KindName(name)] = ReadKind(std::move(reader));
  });
  read_section("workspaces", [&](const std::string& name, ObjectReader reader) {
    config.workspaces[common::WorkspaceName(name)] =
        ReadWorkspace(std::move(reader));
  });
  return config;
}

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
  if (files.empty()) {
    return absl::NotFoundError(
        absl::StrCat("no .json or .jsonc file in folder \"", folder, "\""));
  }
  std::sort(files.begin(), files.end());

  ParsedConfig parsed;
  json merged = json::object();
  for (const auto& file : files) {
    std::ifstream stream(file);
    const json content = json::parse(stream, nullptr, /*allow_exceptions=*/
                                     false, /*ignore_comments=*/true);
    if (content.is_discarded()) {
      parsed.problems.push_back({.file = file.filename().string(),
                                 .path = "",
                                 .expected = "JSON with comments",
                                 .found = "a syntax error"});
      continue;
    }
    merged.update(content, /*merge_objects=*/true);
  }
  parsed.config = ReadFleet(merged, folder, &parsed.problems);
  parsed.document = merged.dump();
  return parsed;
}

absl::StatusOr<FleetConfig> ParseDocument(std::string_view document) {
  const json root = json::parse(document.begin(), document.end(), nullptr,
                                /*allow_exceptions=*/false);
  if (root.is_discarded() || !root.is_object()) {
    return absl::InvalidArgumentError("configuration document is not JSON");
  }
  std::vector<Problem> problems;
  FleetConfig config = ReadFleet(root, "document", &problems);
  if (!problems.empty()) {
    return absl::InvalidArgumentError(ToString(problems.front()));
  }
  return config;
}

std::string ToString(const Problem& problem) {
  return absl::StrCat(problem.file, ": ", problem.path, ": expected ",
                      problem.expected, ", found ", problem.found);
}

}  // namespace shallotbeam::config
