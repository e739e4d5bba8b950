#include <algorithm>
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
      : settings_(settings), state_(settings), token_interval_(settings.token_interval) {}

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
    if (request.method == "POST" && request.target.starts_with("/v1/completions")) {
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

  [[nodiscard]] std::string Token(const std::string& prompt, int position) const {
    constexpr std::uint64_t kVocabulary = 1000;
    const std::uint64_t seed = static_cast<std::uint64_t>(position) + variant_ * kVocabulary;
    return "t" + std::to_string(StableHash64(prompt, seed) % kVocabulary) + " ";
  }

  /// Waits for one token; more requests than the full limit slow each other down.
  /// A caller that closes its connection cancels the request, as with real engines.
  bool WaitForToken(http_exchange& exchange, int position, std::uint64_t boot) {
    milliseconds wait = position == 0 ? settings_.first_token : token_interval_;
    if (state_.running() > settings_.full_limit)
      wait = wait * state_.running() / settings_.full_limit;
    if (stall_.count() > 0)
      wait += stall_;
    constexpr milliseconds kStep{5};
    const auto until = std::chrono::steady_clock::now() + wait;
    while (std::chrono::steady_clock::now() < until) {
      if (exchange.PeerGone()) {
        ++cancelled_;
        return false;
      }
      boost::this_fiber::sleep_until(std::min(until, std::chrono::steady_clock::now() + kStep));
    }
    ++tokens_;
    return state_.boot() == boot;
  }

  void Whole(http_exchange& exchange, const completion_request& request, std::uint64_t boot) {
    std::string text;
    for (int i = 0; i < request.max_tokens; ++i) {
      if (!WaitForToken(exchange, i, boot))
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
      if (!WaitForToken(exchange, i, boot))
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
                                    {"completions", completions_},
                                    {"tokens", tokens_},
                                    {"cancelled", cancelled_}});
      return;
    }
    ReadControl(exchange, [&](json_reader& reader) {
      if (reader.Bool("reboot", false))
        state_.Reboot();
      stall_ = reader.Millis("stall_ms", {0, 60'000}, stall_);
      token_interval_ = reader.Millis("token_ms", {0, 60'000}, token_interval_);
      constexpr int_range kVariants{0, 1'000};
      variant_ = static_cast<std::uint64_t>(
          reader.Int("variant", kVariants, static_cast<std::int64_t>(variant_)));
      silent_streams_ = reader.Int("silent_streams", {0, 1'000'000}, silent_streams_);
    });
  }

  const standin_settings settings_;
  boot_state state_;
  milliseconds stall_{0};
  milliseconds token_interval_;
  std::uint64_t variant_ = 0;  ///< Engines of different variants give different tokens.
  std::int64_t silent_streams_ = 0;
  std::uint64_t completions_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint64_t cancelled_ = 0;
};

}  // namespace

std::unique_ptr<standin> MakeEngineStandin(const standin_settings& settings) {
  return std::make_unique<engine_standin>(settings);
}

}  // namespace quincebank
