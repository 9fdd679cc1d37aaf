// The database hosts that operators have excluded. They are stored in $TMPDIR, so that both processes of an
// upgrade exclude them. The file has one endpoint id on each line.
#pragma once

#include <set>
#include <string>

namespace indigovane::program {

// Not synchronized. Several processes may use the same file.
class ExcludedEndpoints {
  public:
    // If `folder` is empty, the set is kept in memory only.
    ExcludedEndpoints(const std::string& folder, const std::string& name);

    const std::set<std::string>& uids() const { return uids_; }
    // Adds the endpoint to the stored set or removes it, and loads the changes of other processes. The file
    // has been written when this returns. Throws std::runtime_error if it can't be written; the set is then
    // unchanged.
    void change(const std::string& uid, bool excluded);
    // Whether the scratch folder has a stored set, even an empty one.
    bool has_stored_set() const;
    // Loads the changes of other processes. Returns true if they changed the set.
    bool refresh();

  private:
    bool load();
    void store(const std::set<std::string>& uids);

    std::string path_;
    std::set<std::string> uids_;
    // file_version() when the file was loaded.
    std::string loaded_version_;
};

}  // namespace indigovane::program
