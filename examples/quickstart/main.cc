// Starts a small deployment on loopback addresses, sends a draft and an order as a caller would,
// and shows what the record says about both.

#include <iostream>
#include <string>

#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/messages/header_names.h"
#include "quincebank/testing/deployment.h"

namespace quincebank {
namespace {

struct caller_request {
  const char* title;
  const char* service;
  http_request request;
};

http_request Draft() {
  return {"POST",
          "/services/quince-drafts/v1/completions",
          {{std::string(kWorkspaceField), "cafe-nord"}, {"Content-Type", "application/json"}},
          R"({"prompt": "Summarise this week's reorders.", "max_tokens": 6, "stream": true})"};
}

http_request Order() {
  return {"POST",
          "/services/order-desk/orders",
          {{std::string(kWorkspaceField), "diner-sud"},
           {std::string(kIdempotencyKeyField), "quickstart-order-1"},
           {"Content-Type", "application/json"}},
          R"({"order": "brunch-menu-40"})"};
}

/// Asks an entry for the address to use, as callers do.
std::string LookUp(deployment& system, const std::string& service) {
  std::string output;
  (void)system.RunTool({"lookup", "--entry=" + ToString(system.AddressOf("entry-0")), service},
                       &output);
  std::cout << "look-up of " << service << ": " << output;
  for (const std::string& entry : system.entries()) {
    const std::string first = R"({"addresses":[{"address":")" + system.AddressOf(entry).address;
    if (output.starts_with(first + "\""))
      return entry;
  }
  return "entry-0";
}

bool Send(deployment& system, const caller_request& call) {
  std::cout << "\n== " << call.title << "\n";
  const std::string entry = LookUp(system, call.service);
  const auto answer = system.Call(entry, call.request);
  if (!answer) {
    std::cout << "no answer: " << Describe(answer.error()) << "\n";
    return false;
  }
  const std::string request(answer.value().headers.Get(kRequestField));
  std::cout << "status " << answer.value().status << ", verdict "
            << answer.value().headers.Get(kVerdictField) << ", request " << request << "\n"
            << answer.value().body << "\n";
  std::string explained;
  const int exit_code = system.RunTool(
      {"explain", "--entry=" + ToString(system.AddressOf(entry)), request}, &explained);
  std::cout << "quincebank explain:\n" << explained;
  return answer.value().status < 300 && exit_code == 0 &&
         explained.find("same choice") != std::string::npos;
}

int Run() {
  deployment system({});
  const auto started = system.Start();
  if (!started) {
    std::cerr << "quickstart: " << started.error().message << "\n";
    return 1;
  }
  std::cout << "3 failure domains, 3 entries, 3 model engines and 3 plain services run\n";
  const bool draft = Send(system, {"streamed draft", "quince-drafts", Draft()});
  const bool order = Send(system, {"order that must not repeat", "order-desk", Order()});
  std::string status;
  (void)system.RunTool({"status", "--hosts=" + ToString(system.AddressOf("hosts"))}, &status);
  std::cout << "\nquincebank status:\n" << status;
  return draft && order ? 0 : 1;
}

}  // namespace
}  // namespace quincebank

int main() {
  quincebank::InitLogging(false);
  return quincebank::Run();
}
