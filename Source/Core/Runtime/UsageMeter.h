#ifndef SHALLOTBEAM_CORE_RUNTIME_USAGEMETER_H_
#define SHALLOTBEAM_CORE_RUNTIME_USAGEMETER_H_

#include <cstdint>
#include <string>
#include <string_view>

// Counts the tokens in the response of a model engine.
namespace shallotbeam::runtime {

struct UsageMeter {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  std::string partial_line;  // incomplete last line of the stream
};

// Counts tokens in a chunk of a server-sent event stream. Each data event
// counts as one token until the engine reports its own `usage`.
void FeedEventStream(UsageMeter& meter, std::string_view piece);

// Reads the `usage` object of a complete JSON response, if it has one.
void FeedCompleteBody(UsageMeter& meter, std::string_view body);

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_USAGEMETER_H_
