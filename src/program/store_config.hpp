// The operator's file of the store: TOML.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"

namespace indigovane::program {

struct StoreConfig {
    std::string folder;
    std::size_t budget = 256 << 20;  // bytes of the log at most
    std::size_t segment = 4 << 20;
    std::size_t compact_per_second = 8 << 20;
    limits::Duration sync_interval = std::chrono::milliseconds(2);
    limits::Duration retention = std::chrono::minutes(10);  // of sessions' positions
    limits::Duration lease = std::chrono::milliseconds(500);
    bool salvage = false;
    bool in_memory = false;  // the folder is: told as a warning
};

// Throws ConfigError: what is wrong with the file, or with the folder (not there, another's, not writable).
StoreConfig parse_store_config(const std::string& text, const std::string& file);
StoreConfig read_store_config(const std::string& path);

}  // namespace indigovane::program
