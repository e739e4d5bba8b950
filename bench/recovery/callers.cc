#include "callers.h"

#include <boost/fiber/operations.hpp>
#include <thread>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/messages/header_names.h"

namespace quincebank {
namespace {

constexpr int kMaxRepeats = 20;
constexpr milliseconds kRepeatDelay{100};
constexpr int kTokens = 20;
constexpr milliseconds kOrderPause{20};

bool IsRefusal(const result<http_response>& answer) {
  return answer && answer.value().headers.Get(kVerdictField) == "not-run";
}

bool IsUnsure(const result<http_response>& answer) {
  return answer && answer.value().headers.Get(kVerdictField) == "may-have-run";
}

}  // namespace

callers::callers(deployment& system, int draft_callers, int order_callers, std::uint64_t seed)
    : system_(system) {
  for (const std::string& entry : system_.entries())
    entries_.push_back(system_.AddressOf(entry));
  random_source random(seed);
  for (int i = 0; i < draft_callers; ++i) {
    ++running_;
    thread_.Spawn([this, own = random_source(random.Next())] {
      DraftLoop(own);
      --running_;
    });
  }
  for (int i = 0; i < order_callers; ++i) {
    ++running_;
    thread_.Spawn([this, own = random_source(random.Next())] {
      OrderLoop(own);
      --running_;
    });
  }
}

callers::~callers() {
  Stop();
}

void callers::Stop() {
  stop_ = true;
  while (running_ > 0)
    std::this_thread::sleep_for(milliseconds(5));
}

phase_counts callers::NextPhase() {
  const std::lock_guard lock(mutex_);
  return std::exchange(counts_, phase_counts());
}

std::vector<std::string> callers::answered_orders() {
  const std::lock_guard lock(mutex_);
  return answered_;
}

std::vector<std::string> callers::refused_orders() {
  const std::lock_guard lock(mutex_);
  return refused_;
}

result<http_response> callers::Send(const http_request& request,
                                    random_source& random,
                                    milliseconds& first_byte) {
  constexpr milliseconds kPatience{20'000};
  http_call call{entries_[random.Below(entries_.size())], request};
  call.response_timeout = kPatience;
  call.idle_timeout = kPatience;
  const time_point start = Now();
  BOOST_OUTCOME_TRY(const std::unique_ptr<http_stream> stream, client_.Open(call));
  http_response response{stream->status(), stream->headers(), {}};
  for (;;) {
    BOOST_OUTCOME_TRY(const std::optional<std::string> piece, stream->ReadSome());
    if (!piece)
      return response;
    if (response.body.empty())
      first_byte = std::chrono::duration_cast<milliseconds>(Now() - start);
    response.body += *piece;
  }
}

void callers::DraftLoop(random_source random) {
  constexpr std::uint64_t kPrompts = 200;
  while (!stop_) {
    const std::string prompt = "prompt " + std::to_string(random.Below(kPrompts));
    const http_request request{"POST",
                               "/services/quince-drafts/v1/completions",
                               {{std::string(kWorkspaceField), "cafe-nord"}},
                               R"({"prompt": ")" + prompt + R"(", "stream": true, "max_tokens": )" +
                                   std::to_string(kTokens) + "}"};
    milliseconds first_byte{0};
    auto answer = Send(request, random, first_byte);
    int refusals = 0;
    for (int i = 0; i < kMaxRepeats && !stop_ && !(answer && answer.value().status == 200); ++i) {
      refusals += IsRefusal(answer) ? 1 : 0;
      boost::this_fiber::sleep_for(kRepeatDelay);
      answer = Send(request, random, first_byte);
    }
    const std::lock_guard lock(mutex_);
    ++counts_.drafts;
    counts_.refusals += refusals;
    counts_.drafts_failed += answer && answer.value().status == 200 ? 0 : 1;
    counts_.first_bytes.push_back(first_byte);
  }
}

void callers::OrderLoop(random_source random) {
  while (!stop_) {
    const std::string order = "order-" + std::to_string(++next_order_);
    http_request request{"POST",
                         "/services/order-desk/orders",
                         {{std::string(kWorkspaceField), "diner-sud"},
                          {std::string(kIdempotencyKeyField), order},
                          {std::string(kFirstSendField), "true"}},
                         R"({"order": ")" + order + R"("})"};
    milliseconds first_byte{0};
    auto answer = Send(request, random, first_byte);
    request.headers.Remove(kFirstSendField);
    int refusals = 0;
    for (int i = 0; i < kMaxRepeats && !stop_ && !(answer && answer.value().status == 201); ++i) {
      refusals += IsRefusal(answer) ? 1 : 0;
      boost::this_fiber::sleep_for(kRepeatDelay);
      answer = Send(request, random, first_byte);
    }
    CountOrder(order, answer, refusals);
    boost::this_fiber::sleep_for(kOrderPause);
  }
}

void callers::CountOrder(const std::string& order,
                         const result<http_response>& answer,
                         int refusals) {
  const std::lock_guard lock(mutex_);
  ++counts_.orders;
  counts_.refusals += refusals;
  if (answer && answer.value().status == 201) {
    answered_.push_back(order);
  } else if (IsRefusal(answer)) {
    ++counts_.orders_failed;
    refused_.push_back(order);
  } else {
    counts_.orders_unsure += IsUnsure(answer) ? 1 : 0;
    counts_.orders_failed += IsUnsure(answer) ? 0 : 1;
  }
}

}  // namespace quincebank
