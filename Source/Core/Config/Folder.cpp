#include "Config/Folder.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace shallotbeam::config {

namespace {

using nlohmann::json;

// Parser callback that reports keys that occur twice in one object. Without it
// the parser silently keeps the last value.
class DuplicateFinder {
 public:
  DuplicateFinder(const std::string& file, std::vector<Problem>* problems)
      : file_(file), problems_(problems) {}

  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) objects_.emplace_back();
    if (event == json::parse_event_t::object_end) objects_.pop_back();
    if (event != json::parse_event_t::key) return true;
    objects_.back().current = parsed.get<std::string>();
    if (!objects_.back().keys.insert(objects_.back().current).second) {
      problems_->push_back({.file = file_,
                            .path = Path(),
                            .expected = "each key once per object",
                            .found = "a duplicate key"});
    }
    return true;
  }

 private:
  struct Object {
    std::set<std::string> keys;
    std::string current;
  };

  std::string Path() const {
    std::string path;
    for (const Object& it : objects_) {
      absl::StrAppend(&path, path.empty() ? "" : ".", it.current);
    }
    return path;
  }

  std::string file_;
  std::vector<Problem>* problems_;
  std::vector<Object> objects_;
};

void MergeValue(const json& value, const std::string& file,
                const std::string& path, json* target, MergedDocument* merged,
                std::vector<Problem>* problems) {
  const bool replaces = !target->is_null();
  if (replaces && target->is_object() != value.is_object()) {
    problems->push_back({.file = file,
                         .path = path,
                         .expected = absl::StrCat(
                             target->is_object() ? "an object" : "no object",
                             ", as in ", FileOf(*merged, path)),
                         .found = value.dump()});
  }
  merged->file_of_path[path] = file;
  if (!value.is_object()) {
    *target = value;
    return;
  }
  if (!target->is_object()) *target = json::object();
  for (const auto& [key, entry] : value.items()) {
    MergeValue(entry, file, path.empty() ? key : absl::StrCat(path, ".", key),
               &(*target)[key], merged, problems);
  }
}

}  // namespace

json ParseFile(const std::string& text, const std::string& file,
               std::vector<Problem>* problems) {
  // Exceptions are enabled because only the exception of the JSON library has
  // the position of a syntax error.
  try {
    return json::parse(text, DuplicateFinder(file, problems),
                       /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const json::parse_error& error) {
    const std::size_t end = std::min(error.byte, text.size());
    const auto line = 1 + std::count(text.begin(),
                                     text.begin() + static_cast<std::ptrdiff_t>(
                                                        end == 0 ? 0 : end - 1),
                                     '\n');
    problems->push_back({.file = file,
                         .expected = "JSON with comments",
                         .found = "a syntax error",
                         .line = static_cast<int>(line)});
    return nullptr;
  }
}

void Merge(const json& content, const std::string& file, MergedDocument* merged,
           std::vector<Problem>* problems) {
  if (!content.is_object()) {
    problems->push_back(
        {.file = file, .expected = "an object", .found = content.dump()});
    return;
  }
  MergeValue(content, file, "", &merged->root, merged, problems);
}

std::string FileOf(const MergedDocument& merged, std::string path) {
  for (;;) {
    const auto it = merged.file_of_path.find(path);
    if (it != merged.file_of_path.end()) return it->second;
    if (path.empty()) return "";
    const std::size_t dot = path.rfind('.');
    path = dot == std::string::npos ? "" : path.substr(0, dot);
  }
}

}  // namespace shallotbeam::config
