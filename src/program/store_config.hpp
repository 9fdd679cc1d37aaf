// The operator's file of the store: TOML.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"

namespace indigovane::program {

struct StoreConfig {
    std::string folder;
    std::size_t budget = 256 << 20;                                 // bytes of the log at most
    std::size_t segment = 4 << 20;                                  // bytes of one file of the log
    std::size_t compact_per_second = 8 << 20;                       // bytes
    limits::Duration sync_interval = std::chrono::milliseconds(2);  // a write waits so long for others
    limits::Duration retention = std::chrono::minutes(10);          // of sessions' commits
    limits::Duration lease = std::chrono::milliseconds(500);  // of the crash marker: store/positions.hpp
    bool salvage = false;                                     // recovery goes past damage
    bool in_memory = false;  // found, not configured: the folder does not outlast the machine
};

// Throws ConfigError: what is wrong with the file, or with the folder (not there, another's, not writable).
StoreConfig parse_store_config(const std::string& text, const std::string& file);
StoreConfig read_store_config(const std::string& path);

}  // namespace indigovane::program
