#include "store/manifest_file.hpp"

#include <cerrno>

namespace indigovane::store {

namespace {
constexpr const char* kTemporaryName = "MANIFEST.tmp";

IoStatus write_temporary(Environment& environment, const Manifest& manifest) {
    std::unique_ptr<File> file;
    if (IoStatus status = environment.create(kTemporaryName, file); !status.ok()) return status;
    if (IoStatus status = file->append(encode(manifest)); !status.ok()) return status;
    return file->sync();
}
}  // namespace

IoStatus read_manifest_file(Environment& environment, Manifest& manifest) {
    std::string bytes;
    if (IoStatus status = read_file(environment, kManifestName, bytes); !status.ok()) return status;
    std::size_t damaged_at = 0;
    if (decode(bytes, manifest, damaged_at) != DecodeResult::ok)
        return {EIO, "the manifest is damaged or of a newer version"};
    return {};
}

ManifestReplacement replace_manifest_file(Environment& environment, const Manifest& manifest) {
    if (IoStatus status = write_temporary(environment, manifest); !status.ok()) return {status, false};
    if (IoStatus status = environment.rename(kTemporaryName, kManifestName); !status.ok())
        return {status, false};
    IoStatus status = environment.sync_folder();
    return {status, !status.ok()};
}

}  // namespace indigovane::store
