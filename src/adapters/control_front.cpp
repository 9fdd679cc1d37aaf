#include "adapters/control_front.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace indigovane::adapters {

class ControlFront::Caller final : public transport::Connection::Handler,
                                   public std::enable_shared_from_this<Caller> {
  public:
    Caller(ControlFront& front, std::uint64_t number)
        : front_(front),
          number_(number),
          connection_(std::make_shared<transport::Connection>(front.io_)),
          timer_(front.io_) {
        connection_->limit_unread(front.limits_.line + 1);
    }
    ~Caller() { connection_->detach(); }

    void begin(boost::asio::ip::tcp::socket socket) {
        connection_->adopt(std::move(socket), *this);
        timer_.expires_after(front_.limits_.client_timeout);
        timer_.async_wait([weak = weak_from_this()](const transport::error_code& ec) {
            auto self = weak.lock();
            if (self && !ec) self->finish("-ERR the call was not completed in time");
        });
    }
    void on_data(transport::Buffer& in) override {
        if (has_received_call_) return;  // the call is being answered
        std::string_view text = in.view();
        std::size_t end = text.find('\n');
        if (std::min(end, text.size()) > front_.limits_.line) return finish("-ERR the line is too long");
        if (end == std::string_view::npos) return;
        std::string_view line = text.substr(0, end);
        if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
        Operations::Reply reply = front_.answer(line);
        std::string head = reply.ok ? "+OK " : "-ERR ";
        if (!reply.later) return finish(head + reply.text);
        has_received_call_ = true;
        reply.later([weak = weak_from_this(), head](std::string text) {
            if (auto self = weak.lock()) self->finish(head + text);
        });
    }
    void on_closed(const transport::error_code&) override { finish({}); }
    // Sends the answer and closes the connection. An empty answer closes it at once.
    void finish(std::string answer) {
        auto self = shared_from_this();
        if (std::exchange(is_finished_, true)) return;
        timer_.cancel();
        if (answer.empty()) {
            connection_->close();
        } else {
            connection_->write(std::move(answer) + "\n");
            // Closing with unread bytes would reset the connection before the caller reads the answer.
            connection_->close_after_writing(transport::Connection::LateInput::discard);
            front_.lingering_.add(connection_);
        }
        front_.remove_caller(number_);
    }

  private:
    ControlFront& front_;
    std::uint64_t number_;
    std::shared_ptr<transport::Connection> connection_;
    boost::asio::steady_timer timer_;
    bool is_finished_ = false, has_received_call_ = false;
};

ControlFront::ControlFront(boost::asio::io_context& io, const transport::SocketAddress& at,
                           ControlLimits limits, Operations& operations, routing::Logger& logger)
    : io_(io),
      limits_(limits),
      lingering_(limits.lingering),
      operations_(operations),
      logger_(logger),
      listener_(io, at, [this](auto socket) { accept_socket(std::move(socket)); }) {}

ControlFront::~ControlFront() {
    close();
}

void ControlFront::close() {
    listener_.close();
    while (!callers_.empty()) callers_.begin()->second->finish({});
}

// At the limit the oldest unanswered caller is closed, so that callers which connect and send nothing can't
// keep complete calls waiting.
void ControlFront::accept_socket(boost::asio::ip::tcp::socket socket) {
    if (callers_.size() >= limits_.callers)
        callers_.begin()->second->finish("-ERR too many callers; this oldest one is closed");
    auto caller = std::make_shared<Caller>(*this, ++last_caller_number_);
    callers_.emplace(last_caller_number_, caller);
    caller->begin(std::move(socket));
}

void ControlFront::remove_caller(std::uint64_t number) {
    callers_.erase(number);
}

Operations::Reply ControlFront::answer_site_call(const std::string& argument) {
    std::size_t space = argument.find(' ');
    std::string action = argument.substr(0, space);
    std::string zone = space == std::string::npos ? "" : argument.substr(space + 1);
    if (action == "status" && zone.empty()) return operations_.site_status();
    if (action == "plan" && !zone.empty()) return operations_.site_plan(zone);
    if ((action == "drain" || action == "return") && !zone.empty())
        return operations_.site_drain(zone, action == "drain");
    return {false, "unknown site call; site status, site plan ZONE, site drain ZONE, site return ZONE", {}};
}

Operations::Reply ControlFront::answer(std::string_view line) {
    std::size_t space = line.find(' ');
    std::string_view call = line.substr(0, space);
    std::string argument(space == std::string_view::npos ? std::string_view{} : line.substr(space + 1));
    Operations::Reply reply;
    if (call == "check" && argument.empty())
        reply = operations_.check();
    else if ((call == "drain-on" || call == "drain-off") && argument.empty())
        reply = operations_.drain(call == "drain-on");
    else if (call == "shapes" && argument.find_first_not_of("0123456789") == std::string::npos &&
             argument.size() <= 3)
        reply = operations_.shapes(argument.empty() ? 10 : std::size_t(std::stoul(argument)));
    else if (call == "site")
        reply = answer_site_call(argument);
    else if (call == "set-down" && !argument.empty())
        reply = operations_.set_down(argument);
    else if (call == "set-up" && !argument.empty())
        reply = operations_.set_up(argument);
    else
        reply = {false,
                 "unknown call; check, set-down ID, set-up ID, drain-on, drain-off, shapes [N], site "
                 "status|plan ZONE|drain ZONE|return ZONE"};
    if ((call != "check" && call != "shapes") || !reply.ok) {
        std::string printable;
        for (char c : line.substr(0, 80)) printable += c >= 0x20 && c < 0x7f ? c : '?';
        logger_.log(routing::Level::notice, "control", reply.text,
                    {{"call", printable}, {"ok", reply.ok ? "yes" : "no"}});
    }
    return reply;
}

}  // namespace indigovane::adapters
