#include "quincebank/membership/host_view.h"

#include <algorithm>
#include <array>
#include <utility>

#include "quincebank/base/random.h"
#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 4> kStatusNames{"usable", "suspected", "leaving", "drained"};

}  // namespace

std::string_view ToString(upstream_status status) noexcept {
  return kStatusNames.at(static_cast<std::size_t>(status));
}

host_view::host_view(std::string_view self, host_view_settings settings, time_point start)
    : seed_(RendezvousScore("probe", self)),
      settings_(settings),
      budget_at_(start),
      budget_(static_cast<double>(settings.polls_per_second)) {}

void host_view::OnConfig(ref_ptr<const effective_config> config, time_point now) {
  std::vector<state> states(config->upstreams().size());
  std::size_t index = 0;
  for (const upstream_config& upstream : config->upstreams()) {
    state& entry = states[index++];
    const auto old = config_ ? config_->FindUpstream(upstream.name) : std::nullopt;
    if (!old)
      continue;
    const upstream_config& before = config_->upstreams()[*old];
    if (before.host != upstream.host || before.agent_address != upstream.agent_address ||
        before.agent_port != upstream.agent_port) {
      continue;
    }
    entry = states_[*old];
    // The new configuration may have brought the failure domain back. If its agent does not know
    // yet, it rejects once more.
    entry.said_drained = false;
  }
  config_ = std::move(config);
  states_ = std::move(states);
  if (has_hosts_)
    OnHostList(std::vector<listed_host>(hosts_), now);
}

void host_view::OnHostList(const std::vector<listed_host>& hosts, time_point now) {
  // A list without any host is a fault of the list: somebody runs this process.
  if (hosts.empty())
    return;
  has_hosts_ = true;
  hosts_ = hosts;
  std::sort(hosts_.begin(), hosts_.end(),
            [](const listed_host& a, const listed_host& b) { return a.name < b.name; });
  if (!config_)
    return;
  const auto find = [this](std::string_view name) -> const listed_host* {
    const auto found = std::lower_bound(
        hosts_.begin(), hosts_.end(), name,
        [](const listed_host& host, std::string_view wanted) { return host.name < wanted; });
    return found != hosts_.end() && found->name == name ? &*found : nullptr;
  };
  std::size_t known = 0;
  std::size_t vanished = 0;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (states_[i].host == listing::kNeverListed || states_[i].host == listing::kGone)
      continue;
    ++known;
    vanished += find(config_->upstreams()[i].host) == nullptr ? 1 : 0;
  }
  // A list that lost more than half of the hosts at once is more likely wrong than right; direct
  // evidence shows which of them are gone.
  const bool trust_absence = 2 * vanished <= known || known < 3;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    state& entry = states_[i];
    const listed_host* const host = find(config_->upstreams()[i].host);
    if (host != nullptr) {
      entry.host = host->leaving ? listing::kLeaving : listing::kListed;
    } else if (entry.host != listing::kNeverListed && trust_absence) {
      entry.host = listing::kGone;
    }
  }
  (void)now;
}

void host_view::OnAnswer(state& entry, std::optional<incarnation> sender, time_point now) {
  entry.suspected = false;
  entry.silent = 0;
  entry.heard = now;
  // An agent that leaves never returns; its successor may reject at first, until it has a
  // configuration.
  if (sender && entry.sender && *sender != *entry.sender)
    entry.said_leaving = false;
  if (sender)
    entry.sender = sender;
}

void host_view::BackOff(std::uint32_t upstream, time_point now) {
  state& entry = states_[upstream];
  entry.probe_wait = entry.probe_wait.count() == 0
                         ? settings_.first_probe
                         : std::min(2 * entry.probe_wait, settings_.last_probe);
  // Three quarters to five quarters of the wait, different for each entry and upstream.
  const auto wait = static_cast<std::uint64_t>(entry.probe_wait.count());
  const std::uint64_t jitter = Mix64(seed_ + upstream) % (wait / 2 + 1);
  entry.next_probe = now + milliseconds(wait * 3 / 4 + jitter);
}

void host_view::OnContact(std::string_view upstream,
                          contact what,
                          std::optional<incarnation> sender,
                          time_point now) {
  const auto index = config_ ? config_->FindUpstream(upstream) : std::nullopt;
  if (!index)
    return;
  state& entry = states_[*index];
  switch (what) {
    case contact::kAccepting:
    case contact::kBusy:
      OnAnswer(entry, sender, now);
      entry.said_drained = false;
      break;
    case contact::kRejectedLeaving:
      OnAnswer(entry, sender, now);
      entry.said_leaving = true;
      break;
    case contact::kRejectedDrained:
      OnAnswer(entry, sender, now);
      entry.said_drained = true;
      break;
    case contact::kRefused:
      entry.suspected = true;
      break;
    case contact::kSilent:
      entry.suspected = entry.suspected || ++entry.silent >= settings_.silent_contacts;
      break;
  }
  if (NeedsProbe(*index)) {
    BackOff(*index, now);
  } else {
    entry.probe_wait = milliseconds(0);
  }
}

bool host_view::NeedsProbe(std::uint32_t upstream) const noexcept {
  const state& entry = states_[upstream];
  return entry.suspected || entry.said_leaving || entry.said_drained;
}

std::vector<std::uint32_t> host_view::DuePolls(time_point now) {
  const double elapsed = std::chrono::duration<double>(now - budget_at_).count();
  const auto limit = static_cast<double>(settings_.polls_per_second);
  budget_ = std::min(limit, budget_ + elapsed * limit);
  budget_at_ = now;
  const auto allowed = static_cast<std::size_t>(budget_);
  if (allowed == 0)
    return {};
  std::vector<std::uint32_t> probes;
  std::vector<std::uint32_t> quiet;
  const auto last_touch = [this](std::uint32_t i) {
    return std::max(states_[i].heard.value_or(time_point()), states_[i].polled);
  };
  for (std::uint32_t i = 0; i < states_.size(); ++i) {
    if (config_->IsDrained(i))
      continue;
    if (NeedsProbe(i)) {
      if (now >= states_[i].next_probe)
        probes.push_back(i);
    } else if (last_touch(i) == time_point() || now - last_touch(i) >= settings_.fresh) {
      quiet.push_back(i);
    }
  }
  std::sort(probes.begin(), probes.end(), [this](std::uint32_t a, std::uint32_t b) {
    return states_[a].next_probe < states_[b].next_probe;
  });
  std::sort(quiet.begin(), quiet.end(),
            [&](std::uint32_t a, std::uint32_t b) { return last_touch(a) < last_touch(b); });
  // Probes get at most half of the polls while usable upstreams wait for one.
  const std::size_t half = std::max<std::size_t>(1, allowed / 2);
  const std::size_t probe_share = std::max(half, allowed - std::min(allowed, quiet.size()));
  probes.resize(std::min(probes.size(), probe_share));
  quiet.resize(std::min(quiet.size(), allowed - probes.size()));
  for (const std::uint32_t i : probes) {
    states_[i].polled = now;
    // Holds the next probe back until this one is answered, or reported as failed.
    states_[i].next_probe = now + std::max(states_[i].probe_wait, settings_.first_probe);
  }
  for (const std::uint32_t i : quiet)
    states_[i].polled = now;
  probes.insert(probes.end(), quiet.begin(), quiet.end());
  budget_ -= static_cast<double>(probes.size());
  return probes;
}

upstream_status host_view::status(std::uint32_t upstream) const noexcept {
  const state& entry = states_[upstream];
  if (entry.said_drained || config_->IsDrained(upstream))
    return upstream_status::kDrained;
  if (entry.said_leaving || entry.host == listing::kLeaving || entry.host == listing::kGone)
    return upstream_status::kLeaving;
  return entry.suspected ? upstream_status::kSuspected : upstream_status::kUsable;
}

std::size_t host_view::CountOf(upstream_status wanted) const noexcept {
  std::size_t count = 0;
  for (std::uint32_t i = 0; i < states_.size(); ++i)
    count += status(i) == wanted ? 1 : 0;
  return count;
}

bool host_view::IsCutOff() const noexcept {
  return states_.size() > 1 && std::all_of(states_.begin(), states_.end(),
                                           [](const state& entry) { return entry.suspected; });
}

}  // namespace quincebank
