#ifndef SHALLOTBEAM_CORE_RUNTIME_CALLRELAY_H_
#define SHALLOTBEAM_CORE_RUNTIME_CALLRELAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "Transport/HttpClient.h"

namespace shallotbeam::runtime {

// Limit for the body of a response that is collected before it is relayed. A
// faulty upstream may send one without end.
inline constexpr std::size_t kMaxCollectedBytes = 8'388'608;

// Appends a piece to a collected body. Returns false if it does not fit.
inline bool Collect(const std::string& piece, std::string* body) {
  if (piece.size() > kMaxCollectedBytes - body->size()) return false;
  body->append(piece);
  return true;
}

// Returns handlers that forward the events of an HTTP call to OnHead(),
// OnBody() and OnEnd() of `relay`. The handlers keep `relay` alive until the
// call ends.
template <typename Relay>
transport::CallHandlers MakeCallHandlers(const std::shared_ptr<Relay>& relay) {
  return {
      .on_head =
          [relay](const transport::ResponseHead& head) { relay->OnHead(head); },
      .on_body =
          [relay](std::string piece, std::function<void()> resume) {
            return relay->OnBody(std::move(piece), std::move(resume));
          },
      .on_end = [relay](transport::CallEnd end) { relay->OnEnd(end); }};
}

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_CALLRELAY_H_
