#include "program/witness_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>

#include "transport/channel.hpp"

namespace indigovane::program {

using store::Witness;

WitnessFile::WitnessFile(const std::string& folder, const std::string& name)
    : path_(folder.empty() ? "" : folder + "/" + name + ".witness") {}

Witness WitnessFile::read() const {
    if (path_.empty()) return Witness::lapsed;
    std::ifstream in(path_);
    if (!in) return Witness::none;
    int value = -1;
    in >> value;
    return value >= 0 && value <= 2 ? Witness(value) : Witness::lapsed;
}

bool WitnessFile::write(Witness witness) const {
    if (path_.empty()) return false;
    if (witness == Witness::none) return ::unlink(path_.c_str()) == 0 || errno == ENOENT;
    transport::Descriptor file(::open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file) return false;
    char digit = char('0' + int(witness));
    return ::write(file.get(), &digit, 1) == 1;
}

}  // namespace indigovane::program
