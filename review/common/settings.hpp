// Settings of a small deployment like the first operator's (BRIEF, WIRE: `linge-db`): hosts check positions
// themselves, lists are pushed, writes carry a key.
#pragma once

#include <string>

namespace lab {

inline std::string linge_settings(int poolers) {
    return R"({"azs":["rennes-nord","rennes-sud","cesson"],"domainType":"replicas","fleetSize":)" +
           std::to_string(poolers) + R"(,"kinds":["std-3c"],"myZone":0,"registryMode":"automatic",
"allowed":{"cancel":true,"connectTimeoutMs":250.0,"idleCloseMs":30000.0,"maxRetryAfterMs":1000.0,"multiplex":1,
"openCap":26666,"peerMessages":false,"probing":true,"retryAfter":true,"secondCopies":false,"tryLimit":10},
"callers":{"marksRetry":true},
"classes":[
{"effect":"retryable","group":"all","hardLimitMs":1000.0,"lateShare":0.0,"name":"stock-view",
 "repeatWindowMs":5000.0,"sloMs":250.0,"stream":false,"worth":1.0},
{"effect":"retryable","group":"all","hardLimitMs":600.0,"lateShare":0.0,"name":"own-order",
 "repeatWindowMs":5000.0,"sloMs":200.0,"stream":false,"worth":3.0},
{"effect":"dedup","group":"cell","hardLimitMs":2000.0,"lateShare":0.3,"name":"scan-write",
 "repeatWindowMs":2000.0,"sloMs":600.0,"stream":false,"worth":6.0}],
"familyInfo":{"consistency":["recent","own_writes","update"],"oldestDataMs":[3000.0,0.0,0.0],"patienceMs":50.0,
"reportX0":"position_in_seconds_after_zero","reportX1":"1_from_a_primary","roleListed":"delayed",
"serverChecks":"hold","sessionMarks":"router","stamps":true,"waitsForCopy":false},
"reporting":{"fields":["x0","x1","concurrent"],"how":"pull"},
"safety":{"askWithinMs":10000.0,"coldFrom":0.2,"drainGraceMs":2000.0,"fallMs":2000.0,"fallMultiple":2.5,
"graceToAnswerMs":20.0,"rampTimeMs":17000.0},
"selfIndex":0,"tariffs":{"crossZone":0.041,"lateFail":0.1,"probe":0.028,"waste":0.21},
"tenants":[{"name":"blanchisserie-vilaine","quotaRps":184.0,"share":0.59},
{"name":"lavage-rance","quotaRps":66.0,"share":0.21},{"name":"linge-odet","quotaRps":63.0,"share":0.2}],
"tickMs":5.0,"tier":0,"tiers":["linge-db"],"weights":"rough","worthBy":"request"})";
}

// Like the second operator's (USER): hosts answer reads from what they have, however old; only health checks
// show positions; `map-read` may be 300 ms old; `booking-write` must never run twice.
inline std::string laddkartan_settings(int poolers, int self) {
    return R"({"azs":["sto-north","sto-south","uppsala"],"domainType":"replicas","fleetSize":)" +
           std::to_string(poolers) + R"(,"kinds":["std-5c"],"myZone":0,"registryMode":"subscribe",
"allowed":{"cancel":true,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"maxRetryAfterMs":1000.0,"multiplex":1,
"openCap":26666,"peerMessages":true,"probing":true,"retryAfter":false,"secondCopies":true,"tryLimit":10},
"callers":{"marksRetry":true},
"classes":[
{"effect":"retryable","group":"all","hardLimitMs":2000.0,"lateShare":0.0,"name":"map-read",
 "repeatWindowMs":5000.0,"sloMs":600.0,"stream":false,"worth":1.0},
{"effect":"retryable","group":"all","hardLimitMs":1200.0,"lateShare":0.0,"name":"own-read",
 "repeatWindowMs":5000.0,"sloMs":500.0,"stream":false,"worth":1.0},
{"effect":"retryable","group":"all","hardLimitMs":2000.0,"lateShare":0.0,"name":"fresh-read",
 "repeatWindowMs":5000.0,"sloMs":600.0,"stream":false,"worth":1.0},
{"effect":"fragile","group":"all","hardLimitMs":5000.0,"lateShare":0.5,"name":"booking-write",
 "repeatWindowMs":5000.0,"sloMs":1500.0,"stream":false,"worth":4.0}],
"familyInfo":{"consistency":["recent","own_writes","latest","update"],"oldestDataMs":[300.0,0.0,0.0,0.0],
"patienceMs":50.0,"reportX0":"position_in_seconds_after_zero","reportX1":"1_from_a_primary",
"roleListed":"delayed","serverChecks":"silent","sessionMarks":"client","stamps":false,"waitsForCopy":true},
"reporting":{"fields":["x0","x1","load_share"],"how":"pull"},
"safety":{"askWithinMs":10000.0,"coldFrom":0.18,"drainGraceMs":1000.0,"fallMs":1500.0,"fallMultiple":2.0,
"graceToAnswerMs":20.0,"rampTimeMs":16000.0},
"selfIndex":)" +
           std::to_string(self) + R"(,"tariffs":{"crossZone":0.04,"lateFail":0.05,"peer":0.01,"probe":0.02,
"waste":0.05},"tickMs":5.0,"tier":0,"tiers":["station-db"],"weights":"nominal","worthBy":"request"})";
}

inline std::string pooler_config(const std::string& name, int listen_port, const std::string& discovery,
                                 const std::string& known, const std::string& settings) {
    return R"({"name":")" + name + R"(","listen":"127.0.0.1:)" + std::to_string(listen_port) +
           R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)" +
           known + ",\"settings\":" + settings + "}";
}

inline std::string entry(const std::string& uid, const std::string& address, const std::string& zone,
                         int group, const std::string& state, bool primary, std::int64_t boot_ms = 0) {
    return R"({"uid":")" + uid + R"(","endpoint":")" + address + R"(","az":")" + zone +
           R"(","model":"m2","pod_group":)" + std::to_string(group) + R"(,"state":")" + state +
           R"(","capacity_hint":1.0,"boot_ms":)" + std::to_string(boot_ms) + R"(,"recovery":")" +
           (primary ? "off" : "on") + R"("})";
}

}  // namespace lab
