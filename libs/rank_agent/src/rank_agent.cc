#include "quincebank/rank_agent/rank_agent.h"

#include <array>

#include "quincebank/base/json_reader.h"
#include "quincebank/expert_control/rank_messages.h"

namespace quincebank {
namespace {

namespace json = boost::json;

endpoint ReadEndpoint(json_reader& reader, std::string_view key) {
  const auto parsed = ParseEndpoint(reader.String(key));
  if (parsed)
    return parsed.value();
  reader.Fail(key, parsed.error().message);
  return {};
}

}  // namespace

result<rank_agent_settings> ParseRankAgentSettings(std::string_view text) {
  constexpr int_range kMillis{1, 600'000};
  constexpr int_range kLines{10, 1'000'000};
  BOOST_OUTCOME_TRY(const json::value document, ParseJson(text));
  std::vector<error> errors;
  rank_agent_settings settings;
  json_reader reader(document, "", errors);
  settings.name = reader.String("name");
  settings.address = ReadEndpoint(reader, "address");
  settings.engine = ReadEndpoint(reader, "engine");
  settings.engine_timeout = reader.Millis("engine_timeout_ms", kMillis, settings.engine_timeout);
  settings.log_lines = static_cast<std::size_t>(
      reader.Int("log_lines", kLines, static_cast<std::int64_t>(settings.log_lines)));
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return settings;
}

rank_agent::rank_agent(const rank_agent_settings& settings)
    : settings_(settings), thread_("agent") {
  http_ = std::make_unique<http_client>(thread_);
}

rank_agent::~rank_agent() {
  server_.reset();
}

void rank_agent::AddMethod(const named_method& named) {
  rpc_.Add(named.name, [this, run = named.run](const json::object& params) -> result<json::value> {
    std::vector<error> errors;
    const json::value document(params);
    json_reader reader(document, "", errors);
    upstream_record rank;
    rank.id = reader.String("upstream");
    rank.address = settings_.engine;
    if (!errors.empty())
      return JoinErrors(errors);
    return (this->*run)(rank);
  });
}

result<void> rank_agent::Start(std::unique_ptr<engine_port> engines) {
  engines_ = std::move(engines);
  constexpr std::array<named_method, 3> kMethods{{{"rank.report", &rank_agent::Report},
                                                  {"rank.counts", &rank_agent::Counts},
                                                  {"rank.held", &rank_agent::Held}}};
  for (const named_method& named : kMethods)
    AddMethod(named);
  BOOST_OUTCOME_TRY(server_, http_server::Listen({&thread_}, settings_.address,
                                                 [this](http_exchange& e) { rpc_.Serve(e); }));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<json::value> rank_agent::Report(const upstream_record& rank) {
  const std::array<const upstream_record*, 1> ranks{&rank};
  BOOST_OUTCOME_TRY(const rank_report report, engines_->Reports(ranks).front());
  return json::value(ToJson(report));
}

result<json::value> rank_agent::Counts(const upstream_record& rank) {
  const std::array<const upstream_record*, 1> ranks{&rank};
  BOOST_OUTCOME_TRY(const pick_counts counts, engines_->Counts(ranks).front());
  return json::value(ToJson(counts));
}

result<json::value> rank_agent::Held(const upstream_record& rank) {
  BOOST_OUTCOME_TRY(const held_experts held, engines_->Held(rank));
  return json::value(ToJson(held));
}

}  // namespace quincebank
