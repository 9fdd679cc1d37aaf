// The database hosts that operators have taken out, kept in $TMPDIR: both processes of an upgrade honour
// them.
#pragma once

#include <set>
#include <string>

namespace indigovane::program {

class ExcludedEndpoints {
  public:
    // The file lies in `folder`; an empty one: the set is kept in memory alone.
    ExcludedEndpoints(const std::string& folder, const std::string& name);

    const std::set<std::string>& uids() const { return uids_; }
    // Changes what is stored, by whichever process, and takes that in. Stored when it returns; throws
    // std::runtime_error where it can't be, and has changed nothing then.
    void change(const std::string& uid, bool out);
    bool stored() const;  // this machine's scratch knows of some set, even an empty one
    bool refresh();       // takes in what another process has stored; whether that has changed the set

  private:
    bool load();

    std::string path_;
    std::set<std::string> uids_;
    std::string seen_;  // what told the file apart when it was read
};

}  // namespace indigovane::program
