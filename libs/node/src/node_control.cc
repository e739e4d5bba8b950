#include "quincebank/node/node_control.h"

#include <array>
#include <boost/json/array.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/log.h"
#include "quincebank/net/run_on.h"
#include "quincebank/platform/consul_kv.h"

namespace quincebank {
namespace {

constexpr logger kLog{"control"};
// Polls of peers are due every 500 ms; a tenth of that keeps their timing close enough.
constexpr milliseconds kTick{50};
constexpr milliseconds kHostListTimeout{2'000};

config_peer SelfAsPeer(const node_settings& settings, peer_role role) {
  return {settings.host, settings.region, role, settings.listen.address, settings.listen.port};
}

endpoint AddressOf(const config_peer& peer) {
  return {peer.address, peer.port};
}

}  // namespace

void SetControlGauges(metrics_registry& metrics, const control_bytes& bytes) {
  const auto set = [&](const char* kind, std::uint64_t value) {
    metrics
        .AddGauge({"quincebank_control_bytes",
                   "Control bytes exchanged as a client since the start.",
                   {{"with", kind}}})
        .Set(static_cast<std::int64_t>(value));
  };
  set("peers", bytes.peers);
  set("platform", bytes.platform);
}

node_control::node_control(fiber_thread& control, const node_settings& settings, peer_role role)
    : control_(control),
      settings_(settings),
      http_(control, settings.source),
      platform_http_(control, settings.source),
      rpc_(http_),
      kv_(MakeConsulKv(platform_http_, settings.key_value, settings.key_value_timeout)),
      host_list_(MakeHttpHostList(platform_http_,
                                  settings.host_list,
                                  settings.host_list_path,
                                  kHostListTimeout)),
      holder_({}, Now()),
      exchange_(SelfAsPeer(settings, role), {}, holder_, Now()) {}

node_control::~node_control() = default;

void node_control::Start(observers callbacks) {
  observers_ = std::move(callbacks);
  SpawnTrackedLoop("configuration exchange", [this] { ExchangeLoop(); });
  SpawnTrackedLoop("host list", [this] { HostListLoop(); });
}

void node_control::Stop() {
  stop_.Set();
  while (fibers_ > 0)
    std::this_thread::sleep_for(milliseconds(1));
}

void node_control::SpawnTracked(std::function<void()> task) {
  ++fibers_;
  control_.Spawn([this, task = std::move(task)] {
    RunGuarded("control task", task);
    --fibers_;
  });
}

void node_control::SpawnTrackedLoop(std::string what, std::function<void()> task) {
  ++fibers_;
  control_.SpawnLoop(std::move(what), std::move(task), stop_, [this] { --fibers_; });
}

void node_control::ExchangeLoop() {
  do {
    RunDue();
  } while (!stop_.WaitFor(kTick));
}

void node_control::RunDue() {
  if (stop_.IsSet())
    return;
  holder_.Tick(Now());
  PublishConfig();
  for (const exchange_action& action : exchange_.Due(Now()))
    SpawnTracked([this, action] { Run(action); });
}

void node_control::Run(const exchange_action& action) {
  struct handler {
    exchange_step step;
    void (node_control::*run)(const exchange_action&);
  };
  static constexpr std::array<handler, 5> kHandlers{{
      {exchange_step::kAskPeer, &node_control::AskPeer},
      {exchange_step::kFetchFromPeer, &node_control::FetchFromPeer},
      {exchange_step::kFetchFromService, &node_control::FetchFromService},
      {exchange_step::kReadRoot, &node_control::ReadRoot},
      {exchange_step::kWatchRoot, &node_control::ReadRoot},
  }};
  for (const handler& known : kHandlers) {
    if (known.step == action.step)
      (this->*known.run)(action);
  }
  RunDue();
}

void node_control::AskPeer(const exchange_action& action) {
  const time_point asked_at = Now();
  const auto answer =
      rpc_.Call(AddressOf(action.peer), "config.root", {{"have", action.have}}, action.wait);
  if (!answer) {
    exchange_.OnPeerFailed(action.peer.name, Now());
    return;
  }
  const auto heard = RootAnswerFromJson(answer.value());
  if (!heard) {
    exchange_.OnPeerFailed(action.peer.name, Now());
    return;
  }
  exchange_.OnPeerRoot(action.peer.name, heard.value(), asked_at, Now());
}

void node_control::FetchFromPeer(const exchange_action& action) {
  const auto answer =
      rpc_.Call(AddressOf(action.peer), "config.section", {{"digest", action.digest}}, action.wait);
  const boost::json::object* const object = answer ? answer.value().if_object() : nullptr;
  const boost::json::value* const body = object ? object->if_contains("body") : nullptr;
  if (body == nullptr || !body->is_string()) {
    exchange_.OnFetchFailed(action.digest, Now());
    return;
  }
  exchange_.OnBody(action.digest, std::string_view(body->get_string()), Now());
}

void node_control::FetchFromService(const exchange_action& action) {
  const auto entry = kv_->Get(SectionKey(action.digest));
  if (!entry || !entry.value()) {
    exchange_.OnFetchFailed(action.digest, Now());
    return;
  }
  exchange_.OnBody(action.digest, entry.value()->value, Now());
}

void node_control::ReadRoot(const exchange_action& action) {
  const time_point asked_at = Now();
  const auto entry = action.step == exchange_step::kWatchRoot
                         ? kv_->Watch(kRootKey, action.index, action.wait)
                         : kv_->Get(kRootKey);
  if (!entry) {
    exchange_.OnServiceFailed(Now());
    return;
  }
  std::optional<stored_value> stored;
  if (entry.value())
    stored = stored_value{entry.value()->value, entry.value()->index};
  // A blocking read that returns the same index was answered after its wait; one that returns
  // another index may have been answered at once and delayed on the way.
  const bool waited =
      action.step == exchange_step::kWatchRoot && stored && stored->index == action.index;
  exchange_.OnServiceRoot(stored, waited ? asked_at + action.wait : asked_at, Now());
}

void node_control::PublishConfig() {
  if (holder_.config() == config_)
    return;
  {
    const std::lock_guard lock(config_mutex_);
    config_ = holder_.config();
  }
  kLog.Info("configuration version ", config_->version(), " in force");
  // Regions of peers come from the configuration.
  OnHosts(hosts_);
  if (observers_.on_config)
    observers_.on_config(config_);
}

void node_control::HostListLoop() {
  do {
    auto hosts = host_list_->ReadIfChanged();
    if (!hosts) {
      kLog.Warning("host list: ", Describe(hosts.error()));
      continue;
    }
    if (!hosts.value())
      continue;
    hosts_ = std::move(*hosts.value());
    OnHosts(hosts_);
    if (observers_.on_hosts)
      observers_.on_hosts(hosts_);
  } while (!stop_.WaitFor(settings_.host_list_interval));
}

void node_control::OnHosts(const std::vector<host_entry>& hosts) {
  std::vector<config_peer> peers;
  for (const host_entry& host : hosts) {
    const failure_domain_config* const domain =
        config_ ? config_->FindFailureDomain(host.failure_domain) : nullptr;
    const peer_role role = host.role == "entry" ? peer_role::kEntry : peer_role::kAgent;
    peers.push_back({host.host, domain ? domain->region : settings_.region, role,
                     host.process.address, host.process.port});
  }
  exchange_.OnPeers(std::move(peers), Now());
}

ref_ptr<const effective_config> node_control::config() const {
  const std::lock_guard lock(config_mutex_);
  return config_;
}

holder_status node_control::StatusHere() const {
  return holder_.Status(Now());
}

result<boost::json::value> node_control::Offer(const boost::json::object& params) {
  const boost::json::value* const root = params.if_contains("root");
  if (root == nullptr)
    return MakeError(error_code::kInvalidArgument, "missing root");
  BOOST_OUTCOME_TRY(const root_announcement offered, AnnouncementFromJson(*root));
  std::vector<std::string> bodies;
  const boost::json::value* const list = params.if_contains("bodies");
  if (list != nullptr && list->is_array()) {
    for (const boost::json::value& body : list->get_array()) {
      if (!body.is_string())
        return MakeError(error_code::kInvalidArgument, "bodies: expected strings");
      bodies.emplace_back(body.get_string());
    }
  }
  exchange_.OnOffer(offered, bodies, Now());
  RunDue();
  return boost::json::value(ToJson(holder_.Announce(Now())));
}

void node_control::AddMethods(rpc_server& rpc) {
  rpc.Add("config.root", [this](const boost::json::object& params) {
    return RunOn(control_, [&]() -> result<boost::json::value> {
      boost::system::error_code ec;
      const boost::json::value* const have = params.if_contains("have");
      const auto version = have == nullptr ? 0 : have->to_number<std::uint64_t>(ec);
      if (ec)
        return MakeError(error_code::kInvalidArgument, "have: expected a version");
      return boost::json::value(ToJson(holder_.Answer(version, Now())));
    });
  });
  rpc.Add("config.section", [this](const boost::json::object& params) {
    return RunOn(control_, [&]() -> result<boost::json::value> {
      const boost::json::value* const digest = params.if_contains("digest");
      const std::string* const body = digest != nullptr && digest->is_string()
                                          ? holder_.Body(std::string_view(digest->get_string()))
                                          : nullptr;
      if (body == nullptr)
        return MakeError(error_code::kNotFound, "no such section body");
      return boost::json::value{{"body", *body}};
    });
  });
  rpc.Add("config.offer", [this](const boost::json::object& params) {
    return RunOn(control_, [&] { return Offer(params); });
  });
  rpc.Add("config.status", [this](const boost::json::object&) {
    return RunOn(control_, [&]() -> result<boost::json::value> {
      const holder_status status = holder_.Status(Now());
      return boost::json::value{
          {"state", ToString(status.state)},
          {"version", status.version},
          {"digest", status.digest},
          {"newest_heard", status.newest_heard},
          {"age_ms", status.age ? status.age->count() : -1},
          {"conflicts", status.conflicts},
          {"last_error", status.last_error},
      };
    });
  });
}

}  // namespace quincebank
