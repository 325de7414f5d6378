#include "calls/call_counters.h"

namespace oleandertide::calls {

ReasonCounters::ReasonCounters(metrics::Registry& registry,
                               std::string_view name, std::string_view help) {
  std::vector<std::string_view> names;
  names.reserve(routing::AllReasons().size());
  for (const routing::Reason reason : routing::AllReasons()) {
    names.push_back(routing::ReasonName(reason));
  }
  counters_ = registry.RegisterCounters(name, help, "reason", names);
}

CallCounters::CallCounters(metrics::Registry& registry)
    : ingress_calls(registry.RegisterCounter(
          "oleandertide_calls_total", "Calls of callers and jobs taken in.")),
      completed(registry.RegisterCounter(
          "oleandertide_calls_completed_total",
          "Calls that ended with the answer of a backend server.")),
      handed_over(registry.RegisterCounter(
          "oleandertide_calls_handed_over_total",
          "Calls handed over to the local backend server.")),
      replayed(registry.RegisterCounter(
          "oleandertide_calls_replayed_total",
          "Calls answered with the kept answer of an earlier attempt.")),
      senders_behind(registry.RegisterCounter(
          "oleandertide_senders_behind_total",
          "Calls whose sender acts on an older configuration.")),
      refusals(registry, "oleandertide_refusals_total",
               "Calls that ended with a refusal, by reason."),
      receiver_refusals(registry, "oleandertide_receiver_refusals_total",
                        "Attempts refused as receiver, by reason."),
      retries(registry, "oleandertide_retries_total",
              "Further attempts, by the reason of the attempt before."),
      call_latency(
          registry.RegisterLatency("oleandertide_call_seconds",
                                   "Time from a call's arrival to its end.")) {}

}  // namespace oleandertide::calls
