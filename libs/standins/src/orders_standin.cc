#include <boost/fiber/operations.hpp>
#include <map>
#include <string>

#include "boot_state.h"
#include "http_reply.h"
#include "quincebank/net/http_message.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

constexpr std::string_view kOrdersPrefix = "/orders/";

/// Plain service: `POST /orders` runs an order, `GET /orders/ID` shows how often it ran.
class orders_standin final : public standin {
 public:
  explicit orders_standin(const standin_settings& settings)
      : settings_(settings), state_(settings) {}

  void Handle(http_exchange& exchange) override {
    const http_request& request = exchange.request();
    if (request.target == "/control") {
      Control(exchange);
      return;
    }
    if (state_.down())
      return;  // The connection closes without an answer, as for a process that is gone.
    if (request.target == "/health") {
      ReplyJson(exchange, 200,
                boost::json::object{
                    {"boot", state_.boot()}, {"running", state_.running()}, {"waiting", 0}});
    } else if (request.method == "POST" && request.target == "/orders") {
      Place(exchange);
    } else if (request.method == "GET" && request.target.starts_with(kOrdersPrefix)) {
      Show(exchange, request.target.substr(kOrdersPrefix.size()));
    } else {
      ReplyError(exchange, 404, "not found");
    }
  }

 private:
  void Place(http_exchange& exchange) {
    const auto parsed = ParseJson(exchange.request().body);
    if (!parsed) {
      ReplyError(exchange, 400, Describe(parsed.error()));
      return;
    }
    std::vector<error> errors;
    json_reader reader(parsed.value(), "", errors);
    const std::string order = reader.String("order");
    if (!errors.empty()) {
      ReplyError(exchange, 400, Describe(JoinErrors(errors)));
      return;
    }
    if (drop_requests_ > 0) {
      --drop_requests_;
      return;
    }
    if (!state_.Begin())
      return;
    const std::uint64_t boot = state_.boot();
    boost::this_fiber::sleep_for(settings_.service_time);
    const int runs = ++runs_[order];
    const bool drop = drop_answers_ > 0;
    drop_answers_ -= drop ? 1 : 0;
    if (!drop && boot == state_.boot()) {
      ReplyJson(exchange, 201,
                boost::json::object{{"order", order}, {"runs", runs}, {"number", ++placed_}});
    }
    state_.End(boot);
  }

  void Show(http_exchange& exchange, const std::string& order) {
    const auto found = runs_.find(order);
    if (found == runs_.end()) {
      ReplyError(exchange, 404, "no such order");
      return;
    }
    ReplyJson(exchange, 200, boost::json::object{{"order", order}, {"runs", found->second}});
  }

  void Control(http_exchange& exchange) {
    if (exchange.request().method == "GET") {
      boost::json::object runs;
      for (const auto& [order, count] : runs_)
        runs[order] = count;
      ReplyJson(exchange, 200,
                boost::json::object{{"boot", state_.boot()},
                                    {"peak", state_.peak()},
                                    {"started", state_.started()},
                                    {"last_start_us", state_.last_start_us()},
                                    {"runs", runs}});
      return;
    }
    ReadControl(exchange, [&](json_reader& reader) {
      if (reader.Bool("reboot", false))
        state_.Reboot();
      drop_requests_ = reader.Int("drop_requests", {0, 1'000'000}, drop_requests_);
      drop_answers_ = reader.Int("drop_answers", {0, 1'000'000}, drop_answers_);
    });
  }

  const standin_settings settings_;
  boot_state state_;
  std::map<std::string, int> runs_;
  int placed_ = 0;
  std::int64_t drop_requests_ = 0;
  std::int64_t drop_answers_ = 0;
};

}  // namespace

std::unique_ptr<standin> MakeOrdersStandin(const standin_settings& settings) {
  return std::make_unique<orders_standin>(settings);
}

}  // namespace quincebank
