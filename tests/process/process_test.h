#pragma once

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <utility>
#include <vector>

#include "quincebank/base/json_reader.h"
#include "quincebank/messages/header_names.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {

/// Time limit for anything that must happen at all; far above every bound that a test checks.
inline constexpr milliseconds kPatience{60'000};

[[nodiscard]] inline http_request OrderRequest(const std::string& order, const std::string& key) {
  http_request request{"POST",
                       "/services/order-desk/orders",
                       {{std::string(kWorkspaceField), "cafe-nord"}},
                       R"({"order": ")" + order + R"("})"};
  if (!key.empty())
    request.headers.Set(kIdempotencyKeyField, key);
  return request;
}

[[nodiscard]] inline http_request DraftRequest(const std::string& prompt, int tokens, bool stream) {
  return {"POST",
          "/services/quince-drafts/v1/completions",
          {{std::string(kWorkspaceField), "cafe-nord"}},
          R"({"prompt": ")" + prompt + R"(", "max_tokens": )" + std::to_string(tokens) +
              R"(, "stream": )" + (stream ? "true" : "false") + "}"};
}

/// \brief Text that the engine stand-in streams, without ids and framing.
[[nodiscard]] inline std::string TokensOf(const std::string& body) {
  std::string tokens;
  std::size_t position = 0;
  constexpr std::string_view kMark = R"("text":")";
  while ((position = body.find(kMark, position)) != std::string::npos) {
    position += kMark.size();
    tokens += body.substr(position, body.find('"', position) - position);
  }
  return tokens;
}

/// \brief How often an order ran at all replicas of the plain service.
[[nodiscard]] inline int RunsOf(deployment& system, int replicas, const std::string& order) {
  int runs = 0;
  for (int i = 0; i < replicas; ++i) {
    const boost::json::value counters = system.Counters("orders-" + std::to_string(i));
    if (!counters.is_object())
      continue;
    const boost::json::value& all = counters.get_object().at("runs");
    const boost::json::value* const count = all.get_object().if_contains(order);
    runs += count == nullptr ? 0 : static_cast<int>(count->get_int64());
  }
  return runs;
}

[[nodiscard]] inline std::int64_t Counter(deployment& system,
                                          const std::string& process,
                                          const std::string& name) {
  const boost::json::value counters = system.Counters(process);
  return counters.is_object() ? counters.get_object().at(name).to_number<std::int64_t>() : -1;
}

[[nodiscard]] inline std::string VerdictOf(const result<http_response>& answer) {
  return answer ? std::string(answer.value().headers.Get(kVerdictField)) : "no answer";
}

/// \brief Object in the body of an answer; empty if there is none.
[[nodiscard]] inline boost::json::object ObjectOf(const result<http_response>& answer) {
  if (!answer)
    return {};
  const auto parsed = ParseJson(answer.value().body);
  return parsed && parsed.value().is_object() ? parsed.value().get_object() : boost::json::object{};
}

/// \brief Sends a request from a thread of its own.
[[nodiscard]] inline std::future<result<http_response>> CallLater(deployment& system,
                                                                  const std::string& process,
                                                                  const http_request& request) {
  return std::async(std::launch::async, [&system, process, request] {
    return system.Call(process, request, kPatience);
  });
}

class process_test : public testing::Test {
 protected:
  void StartSystem(const deployment_plan& plan = {}) {
    system_ = std::make_unique<deployment>(plan);
    const auto started = system_->Start();
    ASSERT_TRUE(started.has_value()) << started.error().message;
  }
  [[nodiscard]] deployment& system() { return *system_; }

 private:
  std::unique_ptr<deployment> system_;
};

}  // namespace quincebank
