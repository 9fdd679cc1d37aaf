// The database hosts that operators have excluded, stored in $TMPDIR: both processes of an upgrade honour
// them. The file has one endpoint id a line.
#pragma once

#include <set>
#include <string>

namespace indigovane::program {

// Not synchronized; several processes may have one each on the same file.
class ExcludedEndpoints {
  public:
    // An empty folder: the set is in memory alone.
    ExcludedEndpoints(const std::string& folder, const std::string& name);

    const std::set<std::string>& uids() const { return uids_; }
    // Adds the endpoint to the stored set, or removes it, and loads what other processes have stored. It is
    // stored when this returns. Throws std::runtime_error where it can't be, and has changed nothing then.
    void change(const std::string& uid, bool excluded);
    // This machine's scratch folder has a set, even an empty one.
    bool stored() const;
    // Loads what another process has stored; true: that has changed the set.
    bool refresh();

  private:
    bool load();
    void store(const std::set<std::string>& uids);

    std::string path_;
    std::set<std::string> uids_;
    std::string loaded_version_;  // of the file when it was loaded
};

}  // namespace indigovane::program
