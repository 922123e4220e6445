#ifndef SHALLOTBEAM_CORE_CONFIG_FOLDER_H_
#define SHALLOTBEAM_CORE_CONFIG_FOLDER_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Config/Document.h"

// Files of JSON with comments and their merge.
namespace shallotbeam::config {

// A merged document that knows the file of each value.
struct MergedDocument {
  nlohmann::json root = nlohmann::json::object();
  std::map<std::string, std::string> file_of_path;
};

// Parses one file with comments. Syntax errors and duplicate keys are added to
// `problems`; the result is null after a syntax error.
nlohmann::json ParseFile(const std::string& text, const std::string& file,
                         std::vector<Problem>* problems);

// Merges `content` over the document.
void Merge(const nlohmann::json& content, const std::string& file,
           MergedDocument* merged, std::vector<Problem>* problems);

// The file of the value at a path or, if it is absent, of its parent.
std::string FileOf(const MergedDocument& merged, std::string path);

}  // namespace shallotbeam::config

#endif  // SHALLOTBEAM_CORE_CONFIG_FOLDER_H_
