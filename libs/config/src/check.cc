#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "json_text.h"
#include "quincebank/config/document.h"
#include "quincebank/config/effective_config.h"
#include "section_reader.h"

namespace quincebank {
namespace {

/// Visits items of one type with the path of each.
class document_checker {
 public:
  explicit document_checker(const config_document& document) : document_(document) {}

  result<void> Run();

 private:
  template <typename T, typename Visit>
  void Each(const Visit& visit) {
    for (const config_section& section : document_.sections) {
      const auto* const items = std::get_if<std::vector<T>>(&section.content);
      if (items == nullptr)
        continue;
      const std::string list = PointerTo(PointerTo("", section.name), ToString(section.kind()));
      std::size_t index = 0;
      for (const T& item : *items)
        visit(item, place{list, index++});
    }
  }

  /// Place of an item; the path is only built for errors.
  struct place {
    const std::string& list;
    std::size_t index;

    [[nodiscard]] std::string Path(std::string_view key) const {
      const std::string item = list + "/" + std::to_string(index);
      return key.empty() ? item : PointerTo(item, key);
    }
  };

  void Fail(const place& where, std::string_view key, std::string message) {
    errors_.push_back(
        {error_code::kInvalidArgument, std::move(message), verdict::kNotRun, where.Path(key)});
  }
  void Require(const std::set<std::string_view>& names,
               std::string_view name,
               const place& where,
               std::string_view key,
               std::string_view what) {
    if (!names.contains(name))
      Fail(where, key, "no " + std::string(what) + " is named '" + std::string(name) + "'");
  }
  template <typename Set, typename Key>
  void Claim(Set& taken, const Key& key, const place& where, std::string_view member) {
    if (!taken.insert(key).second)
      Fail(where, member, "duplicate; an earlier item has the same value");
  }

  void CheckServices();
  void CheckUpstreams();
  void CheckObjectives();
  void CheckExpertGroups();

  const config_document& document_;
  std::vector<error> errors_;
  std::set<std::string_view> domains_;
  std::set<std::string_view> services_;
  std::set<std::string_view> model_services_;
  std::map<std::string_view, std::string_view> upstreams_;  ///< Service by upstream.
  std::set<std::pair<std::string_view, std::string_view>> versions_;
  /// By hash, as nodes hold them: two names of one hash could not be told apart there.
  std::unordered_map<std::uint64_t, std::string_view> workspaces_;
};

void document_checker::CheckServices() {
  Each<service_config>([this](const service_config& service, const place& where) {
    Claim(services_, service.name, where, "name");
    if (service.kind == service_kind::kModel)
      model_services_.insert(service.name);
    if (service.kind == service_kind::kModel &&
        !versions_.contains({service.model, service.version})) {
      Fail(where, "version",
           "no model version '" + service.version + "' of '" + service.model + "'");
    }
    std::set<std::pair<std::string_view, std::string_view>> routes;
    for (const route_config& route : service.routes)
      Claim(routes, std::pair<std::string_view, std::string_view>(route.method, route.path_prefix),
            where, "routes");
  });
}

void document_checker::CheckUpstreams() {
  std::set<std::string_view> names;
  std::set<std::pair<std::string_view, std::uint16_t>> agents;
  Each<upstream_config>([&](const upstream_config& upstream, const place& where) {
    Claim(names, upstream.name, where, "name");
    upstreams_.emplace(upstream.name, upstream.service);
    Claim(agents,
          std::pair<std::string_view, std::uint16_t>(upstream.agent_address, upstream.agent_port),
          where, "agent_port");
    Require(domains_, upstream.failure_domain, where, "failure_domain", "failure domain");
    Require(services_, upstream.service, where, "service", "service");
  });
}

void document_checker::CheckObjectives() {
  std::set<std::pair<std::string_view, std::string_view>> objectives;
  Each<objective_config>([&](const objective_config& objective, const place& where) {
    Claim(objectives,
          std::pair<std::string_view, std::string_view>(objective.service, objective.workspace),
          where, "");
    Require(services_, objective.service, where, "service", "service");
    if (!objective.workspace.empty() && !workspaces_.contains(WorkspaceHash(objective.workspace))) {
      Fail(where, "workspace", "no workspace is named '" + objective.workspace + "'");
    }
  });
}

void document_checker::CheckExpertGroups() {
  std::set<std::string_view> names;
  std::set<std::string_view> taken;
  Each<expert_group_config>([&](const expert_group_config& group, const place& where) {
    Claim(names, group.name, where, "name");
    const std::string list = where.Path("ranks");
    std::size_t index = 0;
    for (const std::string& rank : group.ranks) {
      const place at{list, index++};
      const auto upstream = upstreams_.find(rank);
      if (upstream == upstreams_.end()) {
        Fail(at, "", "no upstream is named '" + rank + "'");
      } else if (!model_services_.contains(upstream->second)) {
        Fail(at, "", "upstream '" + rank + "' does not belong to a model service");
      }
      if (!taken.insert(rank).second)
        Fail(at, "", "duplicate; '" + rank + "' is a rank already");
    }
  });
}

result<void> document_checker::Run() {
  Each<failure_domain_config>([this](const failure_domain_config& domain, const place& where) {
    Claim(domains_, domain.name, where, "name");
  });
  Each<model_version_config>([this](const model_version_config& version, const place& where) {
    Claim(versions_, std::pair<std::string_view, std::string_view>(version.model, version.version),
          where, "version");
  });
  Each<workspace_config>([this](const workspace_config& workspace, const place& where) {
    const auto [slot, fresh] =
        workspaces_.try_emplace(WorkspaceHash(workspace.name), workspace.name);
    if (fresh)
      return;
    Fail(where, "name",
         slot->second == workspace.name
             ? std::string("duplicate; an earlier item has the same value")
             : "hash equals that of '" + std::string(slot->second) + "'; choose another name");
  });
  CheckServices();
  CheckUpstreams();
  CheckObjectives();
  CheckExpertGroups();
  if (!errors_.empty())
    return JoinFirstErrors(std::move(errors_));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

result<void> CheckDocument(const config_document& document) {
  return document_checker(document).Run();
}

}  // namespace quincebank
