#include "quincebank/agent/agent_node.h"

#include <algorithm>

#include "quincebank/agent/agent_config.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/net/json_reply.h"

namespace quincebank {
namespace {

constexpr logger kLog{"agent"};
constexpr milliseconds kShutdownTick{20};
// An attempt has a body of its own, since it may go on after its caller has left.
constexpr std::size_t kBodyCopies = 2;

/// Settings until the configuration names the upstream: nothing is admitted.
upstream_settings Unconfigured() {
  upstream_settings settings;
  settings.upstream = {"127.0.0.1", 1};
  return settings;
}

}  // namespace

result<agent_settings> ParseAgentSettings(std::string_view text) {
  constexpr int_range kLingerMs{0, 600'000};
  constexpr int_range kMegabytes{1, 1'024};
  constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
  BOOST_OUTCOME_TRY(const boost::json::value parsed, ParseJson(text));
  std::vector<error> errors;
  json_reader reader(parsed, "", errors);
  agent_settings settings;
  settings.node = ReadNodeSettings(reader);
  settings.upstream = reader.String("upstream");
  settings.shutdown_linger =
      reader.Millis("shutdown_linger_ms", kLingerMs, settings.shutdown_linger);
  settings.ledger.max_total_bytes =
      kMegabyte * static_cast<std::size_t>(reader.Int(
                      "held_answers_mb", kMegabytes,
                      static_cast<std::int64_t>(settings.ledger.max_total_bytes / kMegabyte)));
  reader.Finish();
  if (!errors.empty())
    return JoinErrors(errors);
  return settings;
}

agent_node::agent_node(const agent_settings& settings, fiber_thread& control, incarnation self)
    : settings_(settings),
      node_(control, settings.node, peer_role::kAgent),
      agent_(traffic_, self, Unconfigured(), settings.ledger),
      experts_(node_, self, settings.upstream, settings.node.record_stdout) {
  agent_.SetDraining(true);
}

agent_node::~agent_node() {
  server_.reset();
  node_.Stop();
}

result<void> agent_node::Start() {
  node_.AddMethods(rpc_);
  agent_.AddMethods(rpc_);
  experts_.AddMethods(rpc_);
  BOOST_OUTCOME_TRY(server_, http_server::Listen(
                                 {&traffic_}, settings_.node.listen,
                                 [this](http_exchange& exchange) { Handle(exchange); },
                                 OnlyServerLimits(settings_.node.limits, kBodyCopies)));
  node_control::observers observers;
  observers.on_config = [this](const auto& config) { OnConfig(config); };
  observers.on_hosts = [this](const auto& hosts) { OnHosts(hosts); };
  node_.Start(std::move(observers));
  kLog.Info("listens on ", ToString(server_->address()), " for ", settings_.upstream);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void agent_node::OnConfig(const ref_ptr<const effective_config>& config) {
  agent_.SetDirectory(MakeDirectory(config));
  const auto upstream = UpstreamSettingsOf(*config, settings_.upstream);
  if (!upstream) {
    known_ = false;
    kLog.Warning("the configuration has no upstream named ", settings_.upstream);
    drained_ = true;
    UpdateDraining();
    return;
  }
  agent_.SetUpstream(*upstream);
  drained_ = config->IsDomainDrained(settings_.node.failure_domain) ||
             config->IsDrained(*config->FindUpstream(settings_.upstream));
  UpdateDraining();
  known_ = true;
  experts_.OnConfig(*config);
}

void agent_node::OnHosts(const std::vector<host_entry>& hosts) {
  // Not being listed says nothing: the list lags behind a host that has just started.
  const auto own = std::find_if(hosts.begin(), hosts.end(), [this](const host_entry& host) {
    return host.host == settings_.node.host;
  });
  listed_leaving_ = own != hosts.end() && own->leaving;
  UpdateDraining();
}

void agent_node::UpdateDraining() {
  // As for a drain, the agent accepts again when the list takes it back: the list may be wrong.
  agent_.SetDraining(drained_ || listed_leaving_);
}

void agent_node::Handle(http_exchange& exchange) {
  const http_request& request = exchange.request();
  if (request.target.starts_with("/attempt")) {
    agent_.Handle(exchange);
  } else if (request.target == "/rpc" && request.method == "POST") {
    rpc_.Serve(exchange);
  } else if (request.target == "/metrics") {
    exchange.Respond(
        {200, {{"Content-Type", "text/plain; version=0.0.4"}}, agent_.MetricsHere(node_.bytes())});
  } else if (request.target == "/healthz") {
    ReplyJson(exchange, 200, boost::json::object{{"ok", true}});
  } else if (request.target == "/readyz") {
    const bool ready = known_ && !leaving_;
    ReplyJson(exchange, ready ? 200 : 503,
              boost::json::object{{"ready", ready}, {"load", ToJson(agent_.LoadHere())}});
  } else {
    ReplyJson(exchange, 404, boost::json::object{{"error", "no such path"}});
  }
}

void agent_node::Shutdown() {
  leaving_ = true;
  agent_.SetLeaving();
  kLog.Info("leaves; running attempts go on");
  for (agent_load load = agent_.Load(); load.in_flight + load.queued > 0; load = agent_.Load())
    std::this_thread::sleep_for(kShutdownTick);
  // Entries that lost a connection fetch the rest of an answer.
  std::this_thread::sleep_for(settings_.shutdown_linger);
  server_->AnnounceClose();
  server_->Close();
  while (!server_->Drained())
    std::this_thread::sleep_for(kShutdownTick);
  kLog.Info("all attempts have ended");
}

}  // namespace quincebank
