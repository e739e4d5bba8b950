#include "quincebank/config/effective_config.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace quincebank {
namespace {

template <typename T>
void MoveItems(section_content& content, std::vector<T>& out) {
  auto* const items = std::get_if<std::vector<T>>(&content);
  if (items == nullptr)
    return;
  out.insert(out.end(), std::make_move_iterator(items->begin()),
             std::make_move_iterator(items->end()));
}

template <typename T>
void SortByName(std::vector<T>& items) {
  std::sort(items.begin(), items.end(), [](const T& a, const T& b) { return a.name < b.name; });
  items.shrink_to_fit();
}

template <typename T>
std::optional<std::uint32_t> FindByName(const std::vector<T>& items,
                                        std::string_view name) noexcept {
  const auto found =
      std::lower_bound(items.begin(), items.end(), name,
                       [](const T& item, std::string_view wanted) { return item.name < wanted; });
  if (found == items.end() || found->name != name)
    return std::nullopt;
  return static_cast<std::uint32_t>(found - items.begin());
}

/// Prefixes match whole path segments: `/v1` matches `/v1/x` and `/v1?x`, but not `/v10`.
bool MatchesPrefix(std::string_view path, std::string_view prefix) noexcept {
  if (!path.starts_with(prefix))
    return false;
  if (path.size() == prefix.size() || prefix.ends_with('/'))
    return true;
  return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

template <typename T>
std::size_t HeapBytes(const std::vector<T>& items) noexcept {
  return items.capacity() * sizeof(T);
}

std::size_t HeapBytes(const std::string& text) noexcept {
  // Up to 15 characters are held in the string object itself.
  return text.capacity() > 15 ? text.capacity() + 1 : 0;
}

}  // namespace

result<ref_ptr<const effective_config>> effective_config::Build(std::uint64_t version,
                                                                std::string digest,
                                                                config_document document) {
  if (auto checked = CheckDocument(document); !checked)
    return std::move(checked).error();
  const ref_ptr<effective_config> config(new effective_config);
  config->version_ = version;
  config->digest_ = std::move(digest);
  config->Take(std::move(document));
  config->Index();
  return ref_ptr<const effective_config>(config);
}

void effective_config::Take(config_document document) {
  std::size_t workspaces = 0;
  for (const config_section& section : document.sections) {
    if (const auto* const items = std::get_if<std::vector<workspace_config>>(&section.content))
      workspaces += items->size();
  }
  workspaces_.reserve(workspaces);
  for (config_section& section : document.sections) {
    MoveItems(section.content, failure_domains_);
    MoveItems(section.content, model_versions_);
    MoveItems(section.content, services_);
    MoveItems(section.content, upstreams_);
    MoveItems(section.content, objectives_);
    MoveItems(section.content, expert_groups_);
    const auto* const items = std::get_if<std::vector<workspace_config>>(&section.content);
    if (items == nullptr)
      continue;
    for (const workspace_config& workspace : *items)
      workspaces_.push_back(
          {WorkspaceHash(workspace.name), {workspace.weight, workspace.priority}});
  }
}

void effective_config::Index() {
  SortByName(failure_domains_);
  SortByName(services_);
  SortByName(upstreams_);
  SortByName(expert_groups_);
  std::sort(model_versions_.begin(), model_versions_.end(), [](const auto& a, const auto& b) {
    return std::tie(a.model, a.version) < std::tie(b.model, b.version);
  });
  std::sort(workspaces_.begin(), workspaces_.end(),
            [](const workspace_slot& a, const workspace_slot& b) { return a.hash < b.hash; });
  upstreams_of_.resize(services_.size());
  drained_.reserve(upstreams_.size());
  std::uint32_t index = 0;
  for (const upstream_config& upstream : upstreams_) {
    drained_.push_back(IsDomainDrained(upstream.failure_domain));
    upstreams_of_[*FindService(upstream.service)].push_back(index++);
  }
}

std::optional<std::uint32_t> effective_config::FindService(std::string_view name) const noexcept {
  return FindByName(services_, name);
}

std::optional<std::uint32_t> effective_config::FindUpstream(std::string_view name) const noexcept {
  return FindByName(upstreams_, name);
}

const failure_domain_config* effective_config::FindFailureDomain(
    std::string_view name) const noexcept {
  const auto index = FindByName(failure_domains_, name);
  return index ? &failure_domains_[*index] : nullptr;
}

const model_version_config* effective_config::FindModelVersion(
    std::string_view model,
    std::string_view version) const noexcept {
  for (const model_version_config& entry : model_versions_) {
    if (entry.model == model && entry.version == version)
      return &entry;
  }
  return nullptr;
}

const route_config* effective_config::FindRoute(std::uint32_t service,
                                                std::string_view method,
                                                std::string_view path) const noexcept {
  const route_config* best = nullptr;
  for (const route_config& route : services_[service].routes) {
    const bool any = route.method == "*";
    if ((!any && route.method != method) || !MatchesPrefix(path, route.path_prefix))
      continue;
    const bool longer = best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    const bool more_exact = best != nullptr && !any && best->method == "*" &&
                            route.path_prefix.size() == best->path_prefix.size();
    if (longer || more_exact)
      best = &route;
  }
  return best;
}

bool effective_config::IsDomainDrained(std::string_view failure_domain) const noexcept {
  const failure_domain_config* const found = FindFailureDomain(failure_domain);
  return found != nullptr && !found->in_service;
}

std::optional<workspace_share> effective_config::FindWorkspace(std::uint64_t hash) const noexcept {
  const auto found = std::lower_bound(
      workspaces_.begin(), workspaces_.end(), hash,
      [](const workspace_slot& slot, std::uint64_t wanted) { return slot.hash < wanted; });
  if (found == workspaces_.end() || found->hash != hash)
    return std::nullopt;
  return found->share;
}

std::size_t effective_config::EstimateBytes() const noexcept {
  std::size_t bytes =
      sizeof(*this) + HeapBytes(workspaces_) + HeapBytes(services_) + HeapBytes(upstreams_) +
      HeapBytes(failure_domains_) + HeapBytes(model_versions_) + HeapBytes(objectives_) +
      HeapBytes(expert_groups_) + HeapBytes(upstreams_of_) + drained_.capacity() / 8;
  for (const auto& list : upstreams_of_)
    bytes += HeapBytes(list);
  for (const upstream_config& upstream : upstreams_) {
    for (const std::string* const text :
         {&upstream.name, &upstream.host, &upstream.failure_domain, &upstream.service,
          &upstream.agent_address, &upstream.upstream_address}) {
      bytes += HeapBytes(*text);
    }
  }
  return bytes;
}

milliseconds LongestClaimRetention(const effective_config& config) noexcept {
  std::optional<milliseconds> longest;
  for (const service_config& service : config.services()) {
    const bool claims = std::any_of(service.routes.begin(), service.routes.end(),
                                    [](const route_config& route) { return !route.repeatable; });
    if (claims && (!longest || *longest < service.claim_retention))
      longest = service.claim_retention;
  }
  return longest.value_or(service_config().claim_retention);
}

}  // namespace quincebank
