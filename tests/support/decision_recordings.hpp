// The ten recorded runs: over the settings of two deployments, with faults, restarts, lag, lists that fail
// and changed settings.
#pragma once

#include "support/decision_recording.hpp"

namespace indigovane::testing::recordings {

using policy::ClassSettings;
using policy::Consistency;
using policy::DeduplicationScope;
using policy::Duration;
using policy::Idempotency;
using policy::Settings;

inline ClassSettings make_class(Consistency consistency, Idempotency idempotency, Duration latency_objective,
                                Duration deadline, double priority_weight) {
    ClassSettings settings;
    settings.consistency = consistency;
    settings.idempotency = idempotency;
    settings.latency_objective = latency_objective;
    settings.deadline = deadline;
    settings.priority_weight = priority_weight;
    settings.late_share = consistency == Consistency::write ? 0.3 : 0;
    settings.deduplication_scope = DeduplicationScope::all;
    settings.deduplication_window = 1s;
    return settings;
}

// Lists are pushed, hosts do not check reads, tokens are remembered, probes are free.
inline Settings laundry_settings() {
    Settings settings;
    settings.classes = {make_class(Consistency::bounded, Idempotency::idempotent, 250ms, 1s, 1),
                        make_class(Consistency::session, Idempotency::idempotent, 200ms, 600ms, 3),
                        make_class(Consistency::write, Idempotency::idempotency_key, 600ms, 2s, 6),
                        make_class(Consistency::write, Idempotency::not_idempotent, 600ms, 2s, 6),
                        make_class(Consistency::any, Idempotency::idempotent, 250ms, 1s, 1),
                        make_class(Consistency::fresh, Idempotency::idempotent, 400ms, 1s, 2)};
    settings.classes[0].staleness_bound = 3s;
    settings.classes[3].deduplication_scope = DeduplicationScope::zone;
    settings.fleet_size = 30;
    settings.endpoint_list_mode = policy::EndpointListMode::pushed;
    settings.removal_binds = true;
    settings.may_check_health = true;
    settings.may_cancel_attempts = true;
    settings.hedging = false;
    settings.may_send_retry_after = true;
    settings.max_retry_after = 200ms;
    settings.max_attempts = 4;
    settings.token_source = policy::TokenSource::remembered;
    settings.staleness_check = policy::StalenessCheck::none;
    settings.slow_start_share = 0.2;
    settings.slow_start_ramp = 17s;
    settings.overload_multiple = 2.5;
    settings.overload_window = 2s;
    return settings;
}

// Lists are asked for, hosts check reads, clients carry their tokens, probes have a price.
inline Settings charging_settings() {
    Settings settings;
    settings.classes = {make_class(Consistency::bounded, Idempotency::idempotent, 600ms, 2s, 1),
                        make_class(Consistency::session, Idempotency::idempotent, 500ms, 1200ms, 1),
                        make_class(Consistency::session, Idempotency::not_idempotent, 500ms, 1200ms, 1),
                        make_class(Consistency::fresh, Idempotency::idempotent, 600ms, 2s, 1),
                        make_class(Consistency::write, Idempotency::idempotency_key, 1500ms, 5s, 4)};
    settings.classes[0].staleness_bound = 300ms;
    settings.classes[4].deduplication_window = 400ms;
    settings.fleet_size = 300;
    settings.endpoint_list_mode = policy::EndpointListMode::polled;
    settings.removal_binds = false;
    settings.may_check_health = true;
    settings.may_cancel_attempts = false;
    settings.hedging = true;
    settings.may_send_retry_after = false;
    settings.max_attempts = 6;
    settings.token_source = policy::TokenSource::carried;
    settings.staleness_check = policy::StalenessCheck::wait;
    settings.slow_start_share = 0.18;
    settings.slow_start_ramp = 16s;
    settings.overload_multiple = 2;
    settings.overload_window = 1500ms;
    settings.health_check_price = 0.02;
    return settings;
}

inline std::vector<RecordingOptions> recorded_runs() {
    std::vector<RecordingOptions> runs;
    for (bool charging : {false, true}) {
        std::string prefix = charging ? "charging" : "laundry";
        RecordingOptions calm;
        calm.name = prefix + "-calm";
        calm.settings = charging ? charging_settings() : laundry_settings();
        calm.later = charging ? laundry_settings() : charging_settings();
        calm.seed = charging ? 21 : 11;
        RecordingOptions faults = calm;
        faults.name = prefix + "-faults";
        faults.seed += 1;
        faults.fault_one_in = 5;
        faults.clients_leave = true;
        RecordingOptions restarts = faults;
        restarts.name = prefix + "-restarts";
        restarts.seed += 1;
        restarts.fault_one_in = 15;
        restarts.restart_one_in = 2;
        RecordingOptions lag = restarts;
        lag.name = prefix + "-lag-and-failing-lists";
        lag.seed += 1;
        lag.hosts_lag = lag.lists_fail = lag.gossip = true;
        lag.restart_one_in = 5;
        RecordingOptions settings = lag;
        settings.name = prefix + "-changed-settings";
        settings.seed += 1;
        settings.changes_settings = true;
        settings.lists_fail = false;
        runs.insert(runs.end(), {calm, faults, restarts, lag, settings});
    }
    return runs;
}

}  // namespace indigovane::testing::recordings
