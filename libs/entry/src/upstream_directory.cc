#include "quincebank/entry/upstream_directory.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/base/log.h"
#include "quincebank/entry/entry_metrics.h"

namespace quincebank {
namespace {

constexpr logger kLog{"directory"};
// Short against the 3 s within which a leaving upstream must get no more new work.
constexpr milliseconds kTick{100};
constexpr milliseconds kPollTimeout{500};
// A poll moves about half a kilobyte; with the exchange of the configuration, more would exceed the
// 16 KB/s that control may take.
constexpr std::size_t kPollsPerSecond = 8;

upstream_state ToState(upstream_status status) {
  switch (status) {
    case upstream_status::kUsable:
      return upstream_state::kUsable;
    case upstream_status::kSuspected:
      return upstream_state::kSuspected;
    case upstream_status::kLeaving:
      return upstream_state::kLeaving;
    case upstream_status::kDrained:
      return upstream_state::kDrained;
  }
  return upstream_state::kSuspected;
}

contact ContactOf(bool leaving, bool draining) {
  if (leaving)
    return contact::kRejectedLeaving;
  return draining ? contact::kRejectedDrained : contact::kAccepting;
}

}  // namespace

upstream_directory::upstream_directory(node_control& node,
                                       const node_settings& settings,
                                       snapshot_box& box)
    : node_(node),
      settings_(settings),
      box_(box),
      rpc_(node.http()),
      view_(settings.host, {.polls_per_second = kPollsPerSecond}, Now()) {}

void upstream_directory::Start() {
  node_.SpawnTrackedLoop("upstreams", [this] { Loop(); });
}

void upstream_directory::Loop() {
  while (!node_.WaitOrStop(kTick)) {
    if (!config_)
      continue;
    TakeHints();
    for (const std::uint32_t upstream : view_.DuePolls(Now()))
      node_.SpawnTracked([this, upstream, config = config_] {
        if (config == config_)
          Poll(upstream);
      });
    if (StatusesChanged())
      Publish();
  }
}

void upstream_directory::Poll(std::uint32_t upstream) {
  const ref_ptr<upstream_slot> slot = SlotFor(config_->upstreams()[upstream]);
  const time_point asked = Now();
  const auto answer = rpc_.Call(slot->agent(), "agent.status", {}, kPollTimeout);
  const auto load = answer ? AgentLoadFromJson(answer.value()) : result<agent_load>(answer.error());
  if (!load) {
    const bool silent = load.error().code == error_code::kTimeout;
    if (silent)
      slot->OnSilent(asked);
    view_.OnContact(slot->name(), silent ? contact::kSilent : contact::kRefused, {}, Now());
    return;
  }
  slot->OnLoad(load.value(), Now());
}

void upstream_directory::TakeHints() {
  for (const auto& [name, slot] : slots_) {
    const time_point heard = slot->heard_at();
    taken_hint& taken = taken_[name];
    if (heard == taken.heard)
      continue;
    taken.heard = heard;
    // A restarted engine has lost its prefix cache.
    if (slot->boot() != taken.boot && taken.boot != 0)
      ForgetPrompts(name);
    if (slot->boot() != 0)
      taken.boot = slot->boot();
    // Read before the flags, which a traffic thread sets first: a flag of an old incarnation must
    // not be taken for one of its successor.
    const incarnation life = slot->life();
    view_.OnContact(name, ContactOf(slot->leaving(), slot->draining()), life, Now());
  }
}

void upstream_directory::ForgetPrompts(std::string_view upstream) {
  for (const auto& [service, prompts] : prompts_)
    prompts->Forget(upstream);
}

void upstream_directory::Report(std::string upstream, contact what) {
  node_.SpawnTracked([this, upstream = std::move(upstream), what] {
    view_.OnContact(upstream, what, {}, Now());
    if (config_ && StatusesChanged())
      Publish();
  });
}

void upstream_directory::OnConfig(const ref_ptr<const effective_config>& config) {
  config_ = config;
  objectives_ = new objective_table(ObjectivesOf(*config), {}, Now(), objectives_.get());
  view_.OnConfig(config, Now());
  std::map<std::string, ref_ptr<upstream_slot>, std::less<>> kept;
  for (const upstream_config& upstream : config->upstreams())
    kept.emplace(upstream.name, SlotFor(upstream));
  slots_ = std::move(kept);
  std::erase_if(taken_, [&](const auto& entry) {
    if (slots_.contains(entry.first))
      return false;
    ForgetPrompts(entry.first);
    return true;
  });
  Publish();
}

void upstream_directory::OnHosts(const std::vector<host_entry>& hosts) {
  hosts_ = hosts;
  std::vector<listed_host> listed;
  listed.reserve(hosts.size());
  for (const host_entry& host : hosts)
    listed.push_back({host.host, host.leaving});
  view_.OnHostList(listed, Now());
  // An entry that has left the list may come back later under the same name.
  std::erase_if(leaving_entries_, [&](const std::string& name) {
    return std::none_of(hosts.begin(), hosts.end(),
                        [&](const host_entry& host) { return host.host == name; });
  });
  if (config_)
    Publish();
}

void upstream_directory::OnEntryLeaving(std::string_view host) {
  leaving_entries_.emplace_back(host);
  if (config_)
    Publish();
}

void upstream_directory::SetLeaving() {
  leaving_ = true;
  if (config_)
    Publish();
}

bool upstream_directory::StatusesChanged() {
  for (std::uint32_t i = 0; i < published_.size(); ++i) {
    if (published_[i] != view_.status(i))
      return true;
  }
  return published_.size() != config_->upstreams().size();
}

ref_ptr<upstream_slot> upstream_directory::SlotFor(const upstream_config& upstream) {
  const endpoint agent{upstream.agent_address, upstream.agent_port};
  const auto found = slots_.find(upstream.name);
  if (found != slots_.end() && found->second->agent() == agent)
    return found->second;
  ref_ptr<upstream_slot> slot(new upstream_slot(upstream.name, agent));
  slots_[upstream.name] = slot;
  return slot;
}

service_view upstream_directory::ViewOf(std::uint32_t service) {
  service_view view;
  std::vector<upstream> upstreams;
  const service_config& owner = config_->services()[service];
  const model_version_config* const model = config_->FindModelVersion(owner.model, owner.version);
  for (const std::uint32_t index : config_->UpstreamsOf(service)) {
    const upstream_config& from = config_->upstreams()[index];
    const failure_domain_config* const domain = config_->FindFailureDomain(from.failure_domain);
    upstream to;
    to.id = from.name;
    to.host = from.host;
    to.failure_domain = from.failure_domain;
    to.region = domain ? domain->region : "";
    to.model_version = owner.version;
    if (model != nullptr)
      to.adapters = model->adapters;
    to.state = ToState(view_.status(index));
    upstreams.push_back(std::move(to));
    view.slots.push_back(SlotFor(from));
  }
  ref_ptr<prompt_notes>& prompts = prompts_[owner.name];
  if (!prompts)
    prompts = new prompt_notes;
  view.prompts = prompts;
  auto table = routing_table::Build(owner.name, std::move(upstreams));
  if (!table) {
    kLog.Error("service ", owner.name, ": ", Describe(table.error()));
    view.slots.clear();
    return view;
  }
  view.table = table.value();
  return view;
}

std::vector<entry_address> upstream_directory::ListEntries() const {
  std::vector<entry_address> entries;
  for (const host_entry& host : hosts_) {
    if (host.role != "entry")
      continue;
    const bool self = host.host == settings_.host;
    const bool said_leaving = std::find(leaving_entries_.begin(), leaving_entries_.end(),
                                        host.host) != leaving_entries_.end();
    entries.push_back({host.process.address, host.process.port, host.host, host.failure_domain,
                       host.leaving || said_leaving || (self && leaving_)});
  }
  return entries;
}

void upstream_directory::Publish() {
  ref_ptr<entry_snapshot> snapshot(new entry_snapshot);
  snapshot->config = config_;
  snapshot->entries = ListEntries();
  snapshot->objectives = objectives_;
  for (std::uint32_t service = 0; service < config_->services().size(); ++service)
    snapshot->services.push_back(ViewOf(service));
  published_.clear();
  for (std::uint32_t i = 0; i < config_->upstreams().size(); ++i)
    published_.push_back(view_.status(i));
  box_.Set(snapshot);
}

}  // namespace quincebank
