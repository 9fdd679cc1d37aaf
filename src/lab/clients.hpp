// The model of clients: open-loop arrivals by class, sessions that stay with one pooler, immediate retries.
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

    void schedule_arrival();                     // of the next request, and so on until the run's end
    void forget_old_attempts();                  // those that are over, some time after their deadline
    void disconnect_from(std::uint32_t pooler);  // its process ends: what is in flight there is given up

    void begin_surge(double factor) { traffic_factor_ *= factor; }
    void end_surge(double factor) { traffic_factor_ /= factor; }
    void set_hot_client(double share) { hot_client_share_ = share; }  // 0: none

  private:
    // What a client sends, equal in all its retries.
    struct Request {
        std::size_t request_class = 0;
        std::uint64_t session = 0;
        std::uint32_t group = 0;
        Time first_sent{};
        unsigned retries_left = 0;
    };
    // One attempt of a client. Ends with one call; what is rejected may be tried again.
    struct Attempt final : routing::Responder {
        Clients* clients = nullptr;
        Request request;
        std::uint32_t pooler = 0;
        routing::RequestId core_id{};
        std::string id;
        Time deadline{};
        bool over = false;
        void on_answer(const routing::Answer& answer) override { clients->on_served(*this, answer); }
        void on_final_error(const routing::FinalError& error) override { clients->on_ended(*this, error); }
    };

    void arrive();
    std::size_t draw_class();
    void send(const Request& request);
    routing::ClientRequest to_client_request(const Attempt& attempt) const;
    void on_served(Attempt& attempt, const routing::Answer& answer);
    void on_ended(Attempt& attempt, const routing::FinalError& error);
    const ClassOptions& options_of(const Request& request) const;

    World& world_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Attempt>> attempts_;
    std::uint64_t last_attempt_ = 0;
    double traffic_factor_ = 1;
    double hot_client_share_ = 0;
    bool answer_lost_ = false;  // the planted defect has struck
};

}  // namespace indigovane::lab
