// The platform's names in its configuration file and environment, each mapped once to the project's term.
// Names of `settings` that are also in the simulator's first message are mapped in simulator/codec.
#pragma once

namespace indigovane::program::platform_keys {

// Top-level keys of the file, and keys of `limits`.
inline constexpr const char* kName = "name";
inline constexpr const char* kListen = "listen";
inline constexpr const char* kDiscovery = "discovery";
inline constexpr const char* kControl = "control";
inline constexpr const char* kSeed = "seed";
inline constexpr const char* kPeers = "peers";
inline constexpr const char* kPeerListen = "peer_listen";
inline constexpr const char* kLimits = "limits";
inline constexpr const char* kMemoryMegabytes = "memory_mb";
inline constexpr const char* kDescriptors = "sockets";
inline constexpr const char* kKnownEndpoints = "known";
inline constexpr const char* kSettings = "settings";

// Keys of `settings`.
inline constexpr const char* kZones = "azs";
inline constexpr const char* kPermissions = "allowed";
inline constexpr const char* kAttempts = "tryLimit";
inline constexpr const char* kGossipPermitted = "peerMessages";
inline constexpr const char* kConnectTimeoutMs = "connectTimeoutMs";
inline constexpr const char* kIdleTimeoutMs = "idleCloseMs";
inline constexpr const char* kClasses = "classes";
inline constexpr const char* kClassName = "name";
inline constexpr const char* kDeadlineMs = "hardLimitMs";
inline constexpr const char* kLatencyObjectiveMs = "sloMs";
inline constexpr const char* kFamily = "familyInfo";
inline constexpr const char* kConsistency = "consistency";
inline constexpr const char* kStalenessBoundMs = "oldestDataMs";

// Environment variables. Each supplies a key that the file lacks.
inline constexpr const char* kNameVariable = "LB_NAME";
inline constexpr const char* kListenVariable = "LB_LISTEN";
inline constexpr const char* kDiscoveryVariable = "LB_DISCOVERY";
inline constexpr const char* kControlVariable = "LB_CONTROL";

}  // namespace indigovane::program::platform_keys
