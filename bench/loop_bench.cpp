// Requests a second through the whole pooler in one event loop on loopback: many clients at once, each sends
// its next request when it has its answer. Stand-in hosts and clients share the loop's thread with the
// pooler. Prints requests a second and latencies; `make bench` runs it.
#define DOCTEST_CONFIG_IMPLEMENT
#include <algorithm>
#include <cstdio>

#include "support/deployment.hpp"

using namespace indigovane;
using namespace indigovane::testing;

namespace {

constexpr std::size_t kClients = 32;
constexpr std::size_t kRequests = 40000;
constexpr int kRounds = 5;

class LoadClient : transport::Connection::Handler {
  public:
    LoadClient(Loop& loop, const transport::SocketAddress& to, std::size_t number,
               std::vector<double>& latencies_us)
        : number_(number),
          latencies_us_(latencies_us),
          connection_(std::make_shared<transport::Connection>(loop.io)) {
        connection_->connect(to, 10s, *this);
    }
    ~LoadClient() { connection_->close(); }

  private:
    void on_connected() override {
        connection_->established();
        connection_->write(pg::Writer().startup("backend", "store").take());
    }
    void on_data(transport::Buffer& in) override {
        for (;;) {
            pg::Message message;
            std::size_t length = 0;
            if (pg::next_message(in.view(), 1 << 20, message, length) != pg::Next::message) return;
            bool is_ready = message.type == 'Z';
            in.consume(length);
            if (is_ready) next();
        }
    }
    void on_closed(const transport::error_code&) override {}
    void next() {
        auto now = std::chrono::steady_clock::now();
        if (sent_ > 0)
            latencies_us_.push_back(std::chrono::duration<double, std::micro>(now - sent_at_).count());
        sent_at_ = now;
        connection_->write(pg::Writer()
                               .query("/* id=" + std::to_string(number_) + "-" + std::to_string(++sent_) +
                                      ",c=stock-view,t=vilaine,cluster=3 */ SELECT content FROM kv WHERE "
                                      "name = 'r100'")
                               .take());
    }

    std::size_t number_;
    std::vector<double>& latencies_us_;
    std::shared_ptr<transport::Connection> connection_;
    std::size_t sent_ = 0;
    std::chrono::steady_clock::time_point sent_at_;
};

void run() {
    Deployment<adapters::PgBackend, PgHost> deployment;
    std::vector<double> latencies_us;
    std::vector<std::unique_ptr<LoadClient>> clients;
    for (std::size_t i = 0; i < kClients; ++i)
        clients.push_back(
            std::make_unique<LoadClient>(deployment.loop, deployment.pg.local(), i, latencies_us));
    auto begin = std::chrono::steady_clock::now();
    bool is_done = deployment.loop.until([&] { return latencies_us.size() >= kRequests; });
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::sort(latencies_us.begin(), latencies_us.end());
    if (!is_done || latencies_us.empty()) std::abort();
    std::printf("%zu clients: %.0f requests/s, median %.0f us, p99 %.0f us\n", kClients,
                double(latencies_us.size()) / seconds, latencies_us[latencies_us.size() / 2],
                latencies_us[latencies_us.size() * 99 / 100]);
}

}  // namespace

int main() {
    doctest::Context context;  // the stand-ins check themselves by doctest
    context.setAsDefaultForAssertsOutOfTestCases();
    for (int round = 0; round < kRounds; ++round) run();
}
