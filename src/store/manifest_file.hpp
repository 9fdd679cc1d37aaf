// Reads the manifest file and replaces it as a whole. Source: docs/store.md, "Log".
#pragma once

#include "store/environment.hpp"
#include "store/format.hpp"

namespace indigovane::store {

constexpr const char* kManifestName = "MANIFEST";

// Fails with EIO if the file is not a valid manifest of a known format version.
IoStatus read_manifest_file(Environment& environment, Manifest& manifest);

struct ManifestReplacement {
    IoStatus status;
    // The file was renamed, but it is unknown whether the rename is on disk: after a crash either manifest
    // may be found. Both are valid, so the caller must not do anything that only one of them allows.
    bool in_doubt = false;
};
// Writes the manifest under a temporary name, syncs it, renames it and syncs the folder.
ManifestReplacement replace_manifest_file(Environment& environment, const Manifest& manifest);

}  // namespace indigovane::store
