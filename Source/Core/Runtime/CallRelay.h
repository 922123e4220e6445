#ifndef SHALLOTBEAM_CORE_RUNTIME_CALLRELAY_H_
#define SHALLOTBEAM_CORE_RUNTIME_CALLRELAY_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "Transport/HttpClient.h"

namespace shallotbeam::runtime {

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
