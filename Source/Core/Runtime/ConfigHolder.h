#ifndef SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_
#define SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_

#include <optional>
#include <string>

#include "Common/Types.h"
#include "Config/Model.h"
#include "Protocol/Messages.h"

// The configuration that is in force on a process, and its synchronisation with
// peers.
namespace shallotbeam::runtime {

inline constexpr const char* kConfigStoreKey = "config/current";

class ConfigHolder {
 public:
  // Puts a published document in force if its version is higher, and returns
  // the parsed configuration; otherwise returns nothing. A document that can't
  // be parsed is logged once, and the previous version stays in force.
  std::optional<config::FleetConfig> Adopt(common::ConfigVersion version,
                                           const std::string& document);

  // The reply to a peer's heartbeat or configuration request: requests a newer
  // document or returns the current one. Empty if no reply is needed.
  std::optional<protocol::Body> Reply(const protocol::Envelope& envelope) const;

  common::ConfigVersion Version() const { return version_; }
  const config::FleetConfig& Config() const { return config_; }
  // The highest version that could not be parsed; kNone if that version is not
  // higher than the one in force.
  common::ConfigVersion RejectedVersion() const;
  const std::string& RejectionCause() const { return rejection_cause_; }

 private:
  common::ConfigVersion version_ = common::ConfigVersion::kNone;
  std::string document_;
  config::FleetConfig config_;
  common::ConfigVersion rejected_version_ = common::ConfigVersion::kNone;
  std::uint64_t rejected_hash_ = 0;
  std::string rejection_cause_;
};

}  // namespace shallotbeam::runtime

#endif  // SHALLOTBEAM_CORE_RUNTIME_CONFIGHOLDER_H_
