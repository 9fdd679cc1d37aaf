// Errors that tell of this machine and not of the other side: it is out of descriptors, ports or memory for
// the moment (socket(2), connect(2), accept(2)).
#pragma once

#include <boost/system/error_code.hpp>

namespace indigovane::transport {

inline bool is_shortage(const boost::system::error_code& ec) {
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system ||
           ec == errc::no_buffer_space || ec == errc::not_enough_memory || ec == errc::address_not_available;
}

}  // namespace indigovane::transport
