#ifndef SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_
#define SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_

#include <optional>
#include <string>

#include "Common/Types.h"
#include "Config/Model.h"
#include "Protocol/Messages.h"

// The configuration in force on a process and its exchange with peers.
namespace shallotbeam::runtime {

inline constexpr const char* kConfigStoreKey = "config/current";

class ConfigHolder {
 public:
  // Takes over a document of a higher version; returns its content then. A
  // document that can't be parsed is logged and left out.
  std::optional<config::FleetConfig> Offer(common::ConfigVersion version,
                                           const std::string& document);

  // The answer to a peer's message, if it needs one.
  std::optional<protocol::Body> Reply(const protocol::Envelope& envelope) const;

  common::ConfigVersion Version() const { return version_; }
  const config::FleetConfig& Config() const { return config_; }

 private:
  common::ConfigVersion version_ = common::ConfigVersion::kNone;
  std::string document_;
  config::FleetConfig config_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_
