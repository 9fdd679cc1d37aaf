// The test's side of system_call_faults.cpp: the file of rates, and the variables that load the library.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>

#include <new>

#include "processes/fault_rates.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

class FaultyCalls {
  public:
    explicit FaultyCalls(const std::string& folder) : path_(folder + "/fault-rates") {
        int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        REQUIRE(fd >= 0);
        REQUIRE(::ftruncate(fd, sizeof(FaultRates)) == 0);
        void* at = ::mmap(nullptr, sizeof(FaultRates), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        REQUIRE(at != MAP_FAILED);
        rates_ = new (at) FaultRates{};
    }
    ~FaultyCalls() { ::munmap(rates_, sizeof(FaultRates)); }
    FaultyCalls(const FaultyCalls&) = delete;

    FaultRates& rates() { return *rates_; }
    std::uint32_t injected() const { return rates_->injected.load(); }
    void none() {
        for (auto rate :
             {&FaultRates::short_write, &FaultRates::short_read, &FaultRates::interrupted,
              &FaultRates::accept, &FaultRates::socket, &FaultRates::connect, &FaultRates::broken})
            (rates_->*rate).store(0);
    }
    // A sanitizer's runtime has to come before every other library.
    std::vector<std::string> environment() const {
        std::string preload = std::string("LD_PRELOAD=") + SYSTEM_CALL_FAULTS;
        return {preload, std::string(kFaultFileVariable) + "=" + path_,
                "ASAN_OPTIONS=verify_asan_link_order=0"};
    }

  private:
    std::string path_;
    FaultRates* rates_;
};

}  // namespace indigovane::testing
