#include "quincebank/platform/upstream_probe.h"

#include <utility>

#include "http_json.h"

namespace quincebank {
namespace {

class http_probe final : public upstream_probe {
 public:
  http_probe(http_client& http, endpoint upstream, milliseconds timeout)
      : http_(http), upstream_(std::move(upstream)), timeout_(timeout) {}

  result<upstream_report> Probe() override {
    BOOST_OUTCOME_TRY(const std::string body, GetText(http_, upstream_, "/health", timeout_));
    return ParseUpstreamReport(body);
  }

 private:
  http_client& http_;
  const endpoint upstream_;
  const milliseconds timeout_;
};

}  // namespace

result<upstream_report> ParseUpstreamReport(std::string_view text) {
  BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  constexpr int_range kCount{0, 1'000'000};
  upstream_report report;
  report.boot = static_cast<std::uint64_t>(reader.Int("boot", {1}));
  report.running = static_cast<int>(reader.Int("running", kCount, 0));
  report.waiting = static_cast<int>(reader.Int("waiting", kCount, 0));
  if (!errors.empty())
    return JoinErrors(errors);
  return report;
}

std::unique_ptr<upstream_probe> MakeHttpProbe(http_client& http,
                                              endpoint upstream,
                                              milliseconds timeout) {
  return std::make_unique<http_probe>(http, std::move(upstream), timeout);
}

}  // namespace quincebank
