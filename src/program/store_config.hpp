// The operator's TOML file of the store.
#pragma once

#include <string>

#include "limits/types.hpp"
#include "program/config_error.hpp"

namespace indigovane::program {

struct StoreConfig {
    std::string folder;
    std::size_t max_log_bytes = 256 << 20;
    std::size_t segment_bytes = 4 << 20;  // size of one file of the log
    std::size_t compact_bytes_per_second = 8 << 20;
    // How long a write may wait so that later writes are synced together with it.
    limits::Duration sync_interval = std::chrono::milliseconds(2);
    // How long sessions' commits are kept.
    limits::Duration retention = std::chrono::minutes(10);
    // The length of the crash marker's lease (store/positions.hpp).
    limits::Duration lease = std::chrono::milliseconds(500);
    // Whether recovery skips damaged parts.
    bool salvage = false;
    // Whether the folder is in memory and does not outlast the machine. Found by a check, not configured.
    bool is_in_memory = false;
};

// Throw ConfigError with the mistakes of the file or of the folder, which may be missing, owned by another
// user or not writable.
StoreConfig parse_store_config(const std::string& text, const std::string& file);
StoreConfig read_store_config(const std::string& path);

}  // namespace indigovane::program
