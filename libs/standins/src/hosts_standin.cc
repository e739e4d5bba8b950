#include <deque>
#include <string>

#include "http_reply.h"
#include "quincebank/base/digest.h"
#include "quincebank/net/http_message.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

/// Serves the host list: `PUT /hosts` replaces it, `GET /hosts` shows it after the lag.
class hosts_standin final : public standin {
 public:
  void Handle(http_exchange& exchange) override {
    const http_request& request = exchange.request();
    if (request.target == "/control" && request.method == "GET") {
      ReplyJson(exchange, 200, boost::json::object{{"visible_us", VisibleSince()}});
      return;
    }
    if (request.target == "/control") {
      ReadControl(exchange, [&](json_reader& reader) {
        down_ = reader.Bool("down", down_);
        lag_ = reader.Millis("lag_ms", {0, 600'000}, lag_);
      });
      return;
    }
    if (request.target != "/hosts") {
      ReplyError(exchange, 404, "not found");
      return;
    }
    if (request.method == "PUT") {
      versions_.push_back({std::chrono::steady_clock::now(), request.body});
      ReplyJson(exchange, 200, boost::json::object{{"ok", true}});
      return;
    }
    if (down_) {
      ReplyError(exchange, 503, "service is down");
      return;
    }
    const std::string list = Visible();
    const std::string tag = "\"" + Sha256Hex(list).substr(0, kTagDigits) + "\"";
    if (request.headers.Get("If-None-Match") == tag) {
      exchange.Respond({304, {{"ETag", tag}}, {}});
      return;
    }
    exchange.Respond({200, {{"Content-Type", "application/json"}, {"ETag", tag}}, list});
  }

 private:
  static constexpr std::size_t kTagDigits = 16;

  struct version {
    time_point since;
    std::string body;
  };

  void DropOldVersions() {
    const time_point limit = std::chrono::steady_clock::now() - lag_;
    while (versions_.size() > 1 && versions_[1].since <= limit)
      versions_.pop_front();
  }

  /// Time from which on the present list is shown, on the monotonic clock that all processes of a
  /// host share.
  std::int64_t VisibleSince() {
    DropOldVersions();
    const time_point since = versions_.empty() ? time_point() : versions_.front().since + lag_;
    return std::chrono::duration_cast<std::chrono::microseconds>(since.time_since_epoch()).count();
  }

  std::string Visible() {
    DropOldVersions();
    return versions_.empty() ? "[]" : versions_.front().body;
  }

  std::deque<version> versions_;
  bool down_ = false;
  milliseconds lag_{0};
};

}  // namespace

std::unique_ptr<standin> MakeHostsStandin(const standin_settings& /*settings*/) {
  return std::make_unique<hosts_standin>();
}

}  // namespace quincebank
