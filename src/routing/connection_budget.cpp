#include "routing/connection_budget.hpp"

namespace indigovane::routing {

bool ConnectionBudget::acquire() {
    if (open_ >= limit_ && !close_oldest_idle_()) {
        exhausted_ = true;
        return false;
    }
    ++open_;
    ++opened_;
    return true;
}

// Waiting tasks get the capacity in the next batch, not in a call from within the end of another connection.
void ConnectionBudget::release() {
    --open_;
    if (!std::exchange(exhausted_, false)) return;
    capacity_returned_ = true;
    on_capacity_returned_();
}

void ConnectionBudget::set_limit(std::size_t limit) {
    limit_ = limit;
    while (open_ > limit_ && close_oldest_idle_()) {
    }
}

}  // namespace indigovane::routing
