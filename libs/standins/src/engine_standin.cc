#include <boost/fiber/operations.hpp>
#include <string>

#include "boot_state.h"
#include "http_reply.h"
#include "quincebank/base/digest.h"
#include "quincebank/net/http_message.h"
#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

struct completion_request {
  std::string prompt;
  int max_tokens = 16;
  bool stream = false;
};

/// Serves `POST /v1/completions` with tokens that depend on the prompt alone.
class engine_standin final : public standin {
 public:
  explicit engine_standin(const standin_settings& settings)
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
      return;
    }
    if (request.method == "POST" && request.target == "/v1/completions") {
      Complete(exchange);
      return;
    }
    ReplyError(exchange, 404, "not found");
  }

 private:
  void Complete(http_exchange& exchange) {
    const auto parsed = ParseJson(exchange.request().body);
    if (!parsed) {
      ReplyError(exchange, 400, Describe(parsed.error()));
      return;
    }
    std::vector<error> errors;
    json_reader reader(parsed.value(), "", errors);
    constexpr int_range kTokenRange{1, 100'000};
    completion_request request;
    request.prompt = reader.String("prompt");
    request.max_tokens = static_cast<int>(reader.Int("max_tokens", kTokenRange, 16));
    request.stream = reader.Bool("stream", false);
    if (!errors.empty()) {
      ReplyError(exchange, 400, Describe(JoinErrors(errors)));
      return;
    }
    if (!state_.Begin())
      return;
    const std::uint64_t boot = state_.boot();
    ++completions_;
    const bool silent = silent_streams_ > 0 && request.stream;
    silent_streams_ -= silent ? 1 : 0;
    if (request.stream) {
      Stream(exchange, request, boot, silent);
    } else {
      Whole(exchange, request, boot);
    }
    state_.End(boot);
  }

  static std::string Token(const std::string& prompt, int position) {
    constexpr std::uint64_t kVocabulary = 1000;
    return "t" +
           std::to_string(StableHash64(prompt, static_cast<std::uint64_t>(position)) %
                          kVocabulary) +
           " ";
  }

  /// Waits for one token; more requests than the full limit slow each other down.
  bool WaitForToken(int position, std::uint64_t boot) const {
    milliseconds wait = position == 0 ? settings_.first_token : settings_.token_interval;
    if (state_.running() > settings_.full_limit)
      wait = wait * state_.running() / settings_.full_limit;
    if (stall_.count() > 0)
      wait += stall_;
    boost::this_fiber::sleep_for(wait);
    return state_.boot() == boot;
  }

  void Whole(http_exchange& exchange, const completion_request& request, std::uint64_t boot) {
    std::string text;
    for (int i = 0; i < request.max_tokens; ++i) {
      if (!WaitForToken(i, boot))
        return;
      text += Token(request.prompt, i);
    }
    ReplyJson(exchange, 200,
              boost::json::object{
                  {"object", "text_completion"},
                  {"choices", boost::json::array{boost::json::object{
                                  {"text", text}, {"index", 0}, {"finish_reason", "length"}}}}});
  }

  void Stream(http_exchange& exchange,
              const completion_request& request,
              std::uint64_t boot,
              bool silent) {
    if (!exchange.StartStream(200, {{"Content-Type", "text/event-stream"}}))
      return;
    for (int i = 0; i < request.max_tokens; ++i) {
      if (!WaitForToken(i, boot))
        return;
      if (silent && i == request.max_tokens / 2) {
        constexpr milliseconds kSilence{60'000};
        boost::this_fiber::sleep_for(kSilence);
      }
      const boost::json::object event{
          {"object", "text_completion"},
          {"choices", boost::json::array{
                          boost::json::object{{"text", Token(request.prompt, i)}, {"index", 0}}}}};
      if (!exchange.Write("data: " + boost::json::serialize(event) + "\n\n"))
        return;
    }
    if (exchange.Write("data: [DONE]\n\n"))
      exchange.Finish();
  }

  void Control(http_exchange& exchange) {
    if (exchange.request().method == "GET") {
      ReplyJson(exchange, 200,
                boost::json::object{{"boot", state_.boot()},
                                    {"running", state_.running()},
                                    {"peak", state_.peak()},
                                    {"cold", state_.cold()},
                                    {"crashes", state_.crashes()},
                                    {"started", state_.started()},
                                    {"last_start_us", state_.last_start_us()},
                                    {"completions", completions_}});
      return;
    }
    ReadControl(exchange, [&](json_reader& reader) {
      if (reader.Bool("reboot", false))
        state_.Reboot();
      stall_ = reader.Millis("stall_ms", {0, 60'000}, stall_);
      silent_streams_ = reader.Int("silent_streams", {0, 1'000'000}, silent_streams_);
    });
  }

  const standin_settings settings_;
  boot_state state_;
  milliseconds stall_{0};
  std::int64_t silent_streams_ = 0;
  std::uint64_t completions_ = 0;
};

}  // namespace

std::unique_ptr<standin> MakeEngineStandin(const standin_settings& settings) {
  return std::make_unique<engine_standin>(settings);
}

}  // namespace quincebank
