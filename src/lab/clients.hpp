// The model of the clients. Requests arrive in an open loop, each with a class. A session stays with one
// pooler. Clients retry rejected requests at once.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "lab/fleet_options.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::lab {

class World;

class Clients {
  public:
    explicit Clients(World& world) : world_(world) {}

    // Schedules the next request. Its arrival schedules the one after it, until FleetOptions::seconds.
    void schedule_arrival();
    // Erases attempts that are finished and whose deadline passed more than a second ago.
    void forget_old_attempts();
    // Withdraws all requests in flight at the pooler, because its process ends. They count as failed.
    void disconnect_from(std::uint32_t pooler);

    // Multiplies the rate of arrivals.
    void begin_surge(double factor) { rate_factor_ *= factor; }
    void end_surge(double factor) { rate_factor_ /= factor; }
    // Directs this share of all requests to sessions at pooler 0; 0 ends it.
    void set_hot_client(double share) { hot_client_share_ = share; }

  private:
    // A client's request. Its retries differ only in `retries_left`.
    struct Request {
        std::size_t request_class = 0;
        std::uint64_t session = 0;
        std::uint32_t group = 0;
        Time first_sent{};
        unsigned retries_left = 0;
    };
    // One attempt of a client at its request. The core ends it with exactly one call, unless the attempt is
    // withdrawn. The client may retry a rejected request.
    struct Attempt final : routing::Responder {
        Clients* clients = nullptr;
        Request request;
        std::uint32_t pooler = 0;
        routing::RequestId core_id{};
        std::string id;
        Time deadline{};
        bool is_finished = false;
        void on_answer(const routing::Answer& answer) override { clients->on_served(*this, answer); }
        void on_final_error(const routing::FinalError& error) override { clients->on_error(*this, error); }
    };

    void send_new_request();
    std::size_t draw_class();
    void send(const Request& request);
    routing::ClientRequest to_client_request(const Attempt& attempt) const;
    void on_served(Attempt& attempt, const routing::Answer& answer);
    void on_error(Attempt& attempt, const routing::FinalError& error);
    const ClassOptions& options_of(const Request& request) const;

    World& world_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
    std::uint64_t last_attempt_ = 0;
    double rate_factor_ = 1;
    double hot_client_share_ = 0;
    // The defect lost_answer has been planted, which happens once in a run.
    bool is_answer_lost_ = false;
};

}  // namespace indigovane::lab
