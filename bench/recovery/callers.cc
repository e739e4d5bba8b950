#include "callers.h"

#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <thread>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/digest.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/messages/header_names.h"

namespace quincebank {
namespace {

constexpr int kMaxRepeats = 20;
constexpr milliseconds kRepeatDelay{100};
constexpr milliseconds kLookupTimeout{1'000};
constexpr milliseconds kPatience{20'000};
constexpr int kTokens = 20;
constexpr milliseconds kOrderPause{20};
constexpr std::string_view kDraftService = "quince-drafts";
constexpr std::string_view kOrderService = "order-desk";

call_end EndOf(const result<http_response>& answer, int expected_status) {
  if (!answer)
    return call_end::kFailed;
  if (answer.value().status == expected_status)
    return call_end::kAnswered;
  const std::string_view verdict = answer.value().headers.Get(kVerdictField);
  if (verdict == "not-run")
    return call_end::kRefused;
  return verdict == "may-have-run" ? call_end::kUnsure : call_end::kFailed;
}

/// Text that the engine stand-in makes of a prompt.
std::string ExpectedText(const std::string& prompt) {
  constexpr std::uint64_t kVocabulary = 1000;
  std::string text;
  for (std::uint64_t i = 0; i < kTokens; ++i)
    text += "t" + std::to_string(StableHash64(prompt, i) % kVocabulary) + " ";
  return text;
}

/// Text of a stream of completion events.
std::string TextOf(const std::string& body) {
  constexpr std::string_view kMark = R"("text":")";
  std::string text;
  std::size_t position = 0;
  while ((position = body.find(kMark, position)) != std::string::npos) {
    position += kMark.size();
    text += body.substr(position, body.find('"', position) - position);
  }
  return text;
}

std::vector<endpoint> AddressesOf(const result<http_response>& answer, milliseconds& time_to_live) {
  std::vector<endpoint> addresses;
  if (!answer || answer.value().status != 200)
    return addresses;
  const auto parsed = ParseJson(answer.value().body);
  if (!parsed)
    return addresses;
  std::vector<error> errors;
  json_reader reader(parsed.value(), "", errors);
  time_to_live = reader.Millis("ttl_ms", {0, 600'000}, milliseconds(0));
  reader.Each("addresses", [&](json_reader& entry) {
    addresses.push_back(
        {entry.String("address"), static_cast<std::uint16_t>(entry.Int("port", {1, 65'535}))});
  });
  return addresses;
}

}  // namespace

callers::callers(deployment& system, const callers_plan& plan) : plan_(plan) {
  for (const std::string& entry : system.entries())
    entries_.push_back(system.AddressOf(entry));
  random_source random(plan.seed);
  Spawn(plan.drafts, std::string(kDraftService), random);
  Spawn(plan.orders, std::string(kOrderService), random);
}

callers::~callers() {
  Stop();
}

void callers::Spawn(int count, const std::string& service, random_source& random) {
  constexpr std::array<const char*, 3> kDomains{"qc-east-a", "qc-east-b", "qc-east-c"};
  for (int i = 0; i < count; ++i) {
    ++running_;
    caller self{random_source(random.Next()),
                kDomains.at(static_cast<std::size_t>(i) % kDomains.size()),
                service,
                entries_,
                0,
                {}};
    thread_.Spawn([this, self = std::move(self)]() mutable {
      if (self.service == kDraftService) {
        DraftLoop(self);
      } else {
        OrderLoop(self);
      }
      --running_;
    });
  }
}

void callers::Stop() {
  stop_ = true;
  while (running_ > 0)
    std::this_thread::sleep_for(milliseconds(5));
}

void callers::Refresh(caller& self) {
  const std::string target =
      "/lookup?service=" + self.service + "&failure_domain=" + self.failure_domain;
  // Known addresses first, then those that the caller was installed with.
  std::vector<endpoint> asked = self.addresses;
  const std::size_t start = self.random.Below(entries_.size());
  for (std::size_t i = 0; i < entries_.size(); ++i)
    asked.push_back(entries_[(start + i) % entries_.size()]);
  for (const endpoint& entry : asked) {
    http_call call{entry, {"GET", target, {}, {}}};
    call.response_timeout = kLookupTimeout;
    milliseconds time_to_live{0};
    std::vector<endpoint> found = AddressesOf(client_.Call(call), time_to_live);
    if (found.empty())
      continue;
    self.addresses = std::move(found);
    self.next = 0;
    self.expires = Now() + time_to_live;
    return;
  }
}

result<http_response> callers::Send(caller& self, const http_request& request) {
  if (Now() >= self.expires)
    Refresh(self);
  http_call call{self.addresses[self.next % self.addresses.size()], request};
  call.response_timeout = kPatience;
  call.idle_timeout = kPatience;
  auto answer = client_.Call(call);
  if (!answer)
    ++self.next;
  return answer;
}

void callers::Repeat(caller& self,
                     http_request& request,
                     int expected_status,
                     call_record& record) {
  record.started = Now();
  for (;;) {
    const auto answer = Send(self, request);
    ++record.tries;
    record.end = EndOf(answer, expected_status);
    record.refusals += record.end == call_end::kRefused ? 1 : 0;
    if (record.end == call_end::kAnswered && record.kind == call_kind::kDraft)
      record.wrong = TextOf(answer.value().body) != ExpectedText(record.prompt);
    if (record.end == call_end::kAnswered || record.tries > kMaxRepeats)
      break;
    request.headers.Remove(kFirstSendField);
    boost::this_fiber::sleep_for(kRepeatDelay);
  }
  record.ended = Now();
  const std::lock_guard lock(mutex_);
  records_.push_back(record);
}

void callers::DraftLoop(caller& self) {
  constexpr std::uint64_t kPrompts = 200;
  while (!stop_) {
    call_record record;
    record.kind = call_kind::kDraft;
    record.prompt = "prompt " + std::to_string(self.random.Below(kPrompts));
    http_request request{"POST",
                         "/services/quince-drafts/v1/completions",
                         {{std::string(kWorkspaceField), "cafe-nord"}},
                         R"({"prompt": ")" + record.prompt +
                             R"(", "stream": true, "max_tokens": )" + std::to_string(kTokens) +
                             "}"};
    Repeat(self, request, 200, record);
  }
}

void callers::OrderLoop(caller& self) {
  while (!stop_) {
    call_record record;
    record.kind = call_kind::kOrder;
    record.order = plan_.order_prefix + "-" + std::to_string(++next_order_);
    http_request request{"POST",
                         "/services/order-desk/orders",
                         {{std::string(kWorkspaceField), "diner-sud"},
                          {std::string(kIdempotencyKeyField), record.order},
                          {std::string(kFirstSendField), "true"}},
                         R"({"order": ")" + record.order + R"("})"};
    Repeat(self, request, 201, record);
    boost::this_fiber::sleep_for(kOrderPause);
  }
}

}  // namespace quincebank
