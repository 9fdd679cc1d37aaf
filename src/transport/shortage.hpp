// Socket errors caused by this machine and not by the other side: it is temporarily out of descriptors, ports
// or memory (socket(2), connect(2), accept(2)).
#pragma once

#include <boost/system/error_code.hpp>

namespace indigovane::transport {

inline bool is_shortage(const boost::system::error_code& ec) {
    namespace errc = boost::system::errc;
    return ec == errc::too_many_files_open || ec == errc::too_many_files_open_in_system ||
           ec == errc::no_buffer_space || ec == errc::not_enough_memory || ec == errc::address_not_available;
}

}  // namespace indigovane::transport
