#include "Gateway/GatewayMetrics.h"

#include "Runtime/MetricsPage.h"

namespace shallotbeam::gateway {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildHistogram;

// In seconds, from the fastest service calls to the longest streams.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

double Seconds(common::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      error_responses_(
          BuildCounter()
              .Name("shallotbeam_gateway_answers_total")
              .Help("Answers of the gateway's own, by status and reason")
              .Register(*registry_)),
      failed_attempts_(
          BuildCounter()
              .Name("shallotbeam_gateway_failed_attempts_total")
              .Help("Attempts at upstreams without an answer, by their end")
              .Register(*registry_)),
      disconnected_callers_(
          BuildCounter()
              .Name("shallotbeam_gateway_callers_left_total")
              .Help("Callers that left before their answer was whole")
              .Register(*registry_)),
      ejections_(BuildCounter()
                     .Name("shallotbeam_gateway_ejections_total")
                     .Help("Ejections of upstreams that failed requests")
                     .Register(*registry_)),
      statements_(BuildCounter()
                      .Name("shallotbeam_gateway_statements_total")
                      .Help("Changes of what upstreams state of themselves")
                      .Register(*registry_)),
      first_event_latency_(
          BuildHistogram()
              .Name("shallotbeam_gateway_first_event_seconds")
              .Help("Time from arrival to the first event or whole answer")
              .Register(*registry_)),
      request_latency_(
          BuildHistogram()
              .Name("shallotbeam_gateway_request_seconds")
              .Help("Time from arrival to the end of a delivered answer")
              .Register(*registry_)),
      gauges_(runtime::AddGauge(*registry_, "shallotbeam_gateway",
                                "State of this gateway")) {}

void GatewayMetrics::CountErrorResponse(int status, std::string_view reason) {
  error_responses_
      .Add(
          {{"status", std::to_string(status)}, {"reason", std::string(reason)}})
      .Increment();
}

void GatewayMetrics::CountServed(std::string_view route,
                                 common::Duration first_event,
                                 common::Duration total) {
  const prometheus::Labels labels{{"route", std::string(route)}};
  first_event_latency_.Add(labels, kLatencyBuckets)
      .Observe(Seconds(first_event));
  request_latency_.Add(labels, kLatencyBuckets).Observe(Seconds(total));
}

void GatewayMetrics::CountFailedAttempt(std::string_view end) {
  failed_attempts_.Add({{"end", std::string(end)}}).Increment();
}

void GatewayMetrics::CountCallerDisconnected() {
  disconnected_callers_.Add({}).Increment();
}

void GatewayMetrics::CountEjection() { ejections_.Add({}).Increment(); }

void GatewayMetrics::CountStatement() { statements_.Add({}).Increment(); }

std::string GatewayMetrics::Text(const GatewayGauges& gauges) {
  const auto set = [this](const char* item, double value) {
    runtime::SetGaugeItem(gauges_, item, value);
  };
  set("calls", static_cast<double>(gauges.calls));
  set("caller_connections", static_cast<double>(gauges.caller_connections));
  set("buffered_bytes", static_cast<double>(gauges.buffered_bytes));
  set("upstreams", static_cast<double>(gauges.upstreams));
  set("passing_share", gauges.passing_share);
  set("evacuated_data_centres",
      static_cast<double>(gauges.evacuated_data_centres));
  set("cold_upstreams", static_cast<double>(gauges.cold_upstreams));
  if (gauges.long_prompt_fraction) {
    set("long_prompt_fraction", *gauges.long_prompt_fraction);
  }
  set("ready", gauges.ready ? 1 : 0);
  if (gauges.store_age) set("store_age_seconds", Seconds(*gauges.store_age));
  set("configuration_version",
      static_cast<double>(gauges.configuration_version));
  set("log_lines_dropped", static_cast<double>(gauges.log_lines_dropped));
  set("handler_failures", static_cast<double>(gauges.handler_failures));
  return runtime::MetricsText(*registry_);
}

}  // namespace shallotbeam::gateway
