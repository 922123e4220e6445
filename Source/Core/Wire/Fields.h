#ifndef SHALLOTBEAM_CORE_WIRE_FIELDS_H_
#define SHALLOTBEAM_CORE_WIRE_FIELDS_H_

#include <tuple>

#include "Protocol/Messages.h"
#include "Protocol/SchedulingMessages.h"

// The encoded fields of each struct, in the order of the wire format. The
// structs are const when encoding.
namespace shallotbeam::wire {

template <typename T, typename Struct>
concept MaybeConst = std::is_same_v<std::remove_const_t<T>, Struct>;

auto Fields(MaybeConst<common::RequestId> auto& it) {
  return std::tie(it.router, it.sequence);
}
auto Fields(MaybeConst<common::Endpoint> auto& it) {
  return std::tie(it.address, it.port);
}
auto Fields(MaybeConst<protocol::PeerAddress> auto& it) {
  return std::tie(it.process, it.control);
}
auto Fields(MaybeConst<protocol::Heartbeat> auto& it) {
  return std::tie(it.role, it.data_centre, it.control, it.config_version,
                  it.sent, it.echoed_sent, it.leaving, it.data, it.pool,
                  it.upstream, it.state, it.free_slots, it.slot_limit,
                  it.known_routers);
}
auto Fields(MaybeConst<protocol::WorkspaceDemand> auto& it) {
  return std::tie(it.workspace, it.waiting, it.oldest_wait, it.urgency);
}
auto Fields(MaybeConst<protocol::Demand> auto& it) {
  return std::tie(it.pool, it.sequence, it.workspaces);
}
auto Fields(MaybeConst<protocol::Grant> auto& it) {
  return std::tie(it.grant, it.pool, it.workspace);
}
auto Fields(MaybeConst<protocol::GrantReturn> auto& it) {
  return std::tie(it.grant);
}
auto Fields(MaybeConst<protocol::ShareRow> auto& it) {
  return std::tie(it.writer, it.pool, it.workspace, it.charged, it.refunded);
}
auto Fields(MaybeConst<protocol::VirtualTimeOffsetRow> auto& it) {
  return std::tie(it.pool, it.workspace, it.virtual_time_offset);
}
auto Fields(MaybeConst<protocol::Shares> auto& it) {
  return std::tie(it.rows, it.offsets);
}
auto Fields(MaybeConst<protocol::Revoke> auto& it) {
  return std::tie(it.request, it.bound_to, it.workspace, it.key,
                  it.binding_revision);
}
auto Fields(MaybeConst<protocol::RevokeReply> auto& it) {
  return std::tie(it.request, it.started);
}
auto Fields(MaybeConst<protocol::SuspectRow> auto& it) {
  return std::tie(it.fingerprint, it.crashes, it.ban_left, it.age,
                  it.crashed_agents);
}
auto Fields(MaybeConst<protocol::Suspects> auto& it) {
  return std::tie(it.crashed_agent, it.rows, it.hops);
}
auto Fields(MaybeConst<protocol::ConfigRequest> auto& it) {
  return std::tie(it.current_version);
}
auto Fields(MaybeConst<protocol::ConfigDocument> auto& it) {
  return std::tie(it.version, it.document);
}

auto Fields(MaybeConst<common::PromptPart> auto& it) {
  return std::tie(it.id, it.tokens);
}
auto Fields(MaybeConst<common::Prompt> auto& it) {
  return std::tie(it.model, it.prompt_tokens, it.max_output_tokens,
                  it.expected_output_tokens, it.parts);
}
auto Fields(MaybeConst<protocol::WorkspaceCounters> auto& it) {
  return std::tie(it.workspace, it.requested, it.served);
}
auto Fields(MaybeConst<protocol::GatewayReport> auto& it) {
  return std::tie(it.control, it.upstream, it.upstream_started, it.slots,
                  it.memory_tokens, it.cold_per_second, it.cold_time,
                  it.cold_left, it.in_progress, it.not_offered);
}
auto Fields(MaybeConst<protocol::SchedulerReport> auto& it) {
  return std::tie(it.control, it.expected_wait, it.over_share_wait,
                  it.ns_per_token, it.occupied, it.waiting, it.workspaces);
}
auto Fields(MaybeConst<protocol::StartOffer> auto& it) {
  return std::tie(it.number, it.control, it.request_id, it.workspace, it.prompt,
                  it.priority, it.within_share, it.first, it.fetchable_tokens,
                  it.time_to_target, it.time_to_deadline, it.recent_service);
}
auto Fields(MaybeConst<protocol::StartReply> auto& it) {
  return std::tie(it.number, it.decision, it.wait, it.cached_tokens,
                  it.prefix_holder);
}
auto Fields(MaybeConst<protocol::StartedElsewhere> auto& it) {
  return std::tie(it.prefix_key, it.upstream);
}
auto Fields(MaybeConst<protocol::StartProgress> auto& it) {
  return std::tie(it.number, it.stage);
}
auto Fields(MaybeConst<protocol::Trait> auto& it) {
  return std::tie(it.fingerprint, it.kind);
}
auto Fields(MaybeConst<protocol::CrashSighting> auto& it) {
  return std::tie(it.crash, it.age, it.sent_age);
}
auto Fields(MaybeConst<protocol::CrashRow> auto& it) {
  return std::tie(it.trait, it.crashes, it.cleared, it.cleared_age);
}
auto Fields(MaybeConst<protocol::CrashReport> auto& it) {
  return std::tie(it.rows);
}
auto Fields(MaybeConst<protocol::LimitRow> auto& it) {
  return std::tie(it.upstream, it.started, it.limited, it.per_second,
                  it.sent_age, it.received_age);
}
auto Fields(MaybeConst<protocol::LimitReport> auto& it) {
  return std::tie(it.rows, it.gateways);
}
auto Fields(MaybeConst<protocol::PermitRequest> auto& it) {
  return std::tie(it.number, it.control, it.limit, it.max_wait);
}
auto Fields(MaybeConst<protocol::PermitReply> auto& it) {
  return std::tie(it.number, it.granted, it.wait, it.limit, it.gateways);
}

}  // namespace shallotbeam::wire

#endif  // SHALLOTBEAM_CORE_WIRE_FIELDS_H_
