// The manifest on disk: read, and replaced as a whole. Source: docs/store.md, "Log".
#pragma once

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

constexpr const char* kManifestName = "MANIFEST";

// EIO where the file is not a manifest.
IoStatus read_manifest_file(Environment& environment, Manifest& manifest);

struct ManifestReplacement {
    IoStatus status;
    // The file has its name, but nobody knows whether that is on disk: after a crash either manifest may be
    // there. Both are right, and no step may be taken that only one of them allows.
    bool in_doubt = false;
};
// Written under another name, synced, renamed, the folder synced.
ManifestReplacement replace_manifest_file(Environment& environment, const Manifest& manifest);

}  // namespace indigovane::store
