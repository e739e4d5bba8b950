#include <boost/fiber/operations.hpp>
#include <boost/json/array.hpp>
#include <ostream>
#include <utility>

#include "commands.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/file.h"
#include "quincebank/base/ids.h"
#include "quincebank/base/random.h"
#include "quincebank/cli/domain_state.h"
#include "quincebank/config/apply_flow.h"
#include "quincebank/config/section_collector.h"
#include "quincebank/membership/offer_plan.h"
#include "quincebank/platform/consul_kv.h"
#include "quincebank/routing/choose.h"

namespace quincebank {
namespace {

constexpr milliseconds kCallTimeout{1'000};

std::string KnownPolicies() {
  std::string names = "default";
  for (const route_policy& policy : RoutePolicies())
    names.append(", ").append(policy.name);
  return names;
}

/// The configuration library does not know the routing policies, so their names are checked here.
result<void> CheckPolicies(const config_document& document) {
  for (const config_section& section : document.sections) {
    if (section.kind() != section_kind::kServices)
      continue;
    std::size_t position = 0;
    for (const service_config& service : std::get<std::vector<service_config>>(section.content)) {
      const std::string path =
          "/" + section.name + "/services/" + std::to_string(position++) + "/policy";
      if (service.policy == "default" || FindRoutePolicy(service.policy) != nullptr)
        continue;
      return error{error_code::kInvalidArgument,
                   "unknown policy '" + service.policy + "'; known are " + KnownPolicies(),
                   verdict::kNotRun, path};
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<config_document> ReadDocument(const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::string path, OnlyArgument(options, "FILE"));
  BOOST_OUTCOME_TRY(const std::string text, ReadFile(path));
  auto document = options.partial ? ParsePartialDocument(text) : ParseDocument(text);
  if (!document) {
    error failure = document.error();
    failure.path = path + ":" + failure.path;
    return failure;
  }
  BOOST_OUTCOME_TRY(CheckPolicies(document.value()));
  return document;
}

void Perform(apply_flow& flow, kv_store& kv, const apply_action& action) {
  switch (action.step) {
    case apply_step::kReadRoot:
    case apply_step::kReadSection:
    case apply_step::kReadBody:
    case apply_step::kReadBack: {
      auto entry = kv.Get(action.key);
      if (!entry) {
        flow.OnError(entry.error(), Now());
      } else if (entry.value()) {
        flow.OnRead(stored_value{std::move(entry.value()->value), entry.value()->index}, Now());
      } else {
        flow.OnRead(std::nullopt, Now());
      }
      return;
    }
    case apply_step::kWriteSection:
    case apply_step::kTouchSection:
    case apply_step::kSwapRoot: {
      const auto written = kv.CompareAndSwap(action.key, action.value, action.index);
      if (written) {
        flow.OnWritten(written.value(), Now());
      } else {
        flow.OnError(written.error(), Now());
      }
      return;
    }
    case apply_step::kWait:
      boost::this_fiber::sleep_until(action.not_before);
      return;
    case apply_step::kFinished:
      return;
  }
}

/// Lists the bodies that the apply left behind, and erases old ones. What fails is left to the next
/// apply.
void CollectSections(tool_context& context, kv_store& kv, const apply_outcome& outcome) {
  section_collector collector(outcome.dropped, {});
  while (const auto call = collector.Next()) {
    if (call->what == collect_call::kind::kRead) {
      auto entry = kv.Get(call->key);
      if (!entry)
        collector.OnError();
      else if (entry.value())
        collector.OnRead(stored_value{std::move(entry.value()->value), entry.value()->index});
      else
        collector.OnRead(std::nullopt);
      continue;
    }
    const auto done = call->what == collect_call::kind::kSwap
                          ? kv.CompareAndSwap(call->key, call->value, call->index)
                          : kv.EraseIf(call->key, call->index);
    if (done)
      collector.OnWritten(done.value());
    else
      collector.OnError();
  }
  if (collector.erased() > 0)
    context.out << "old section bodies erased: " << collector.erased() << "\n";
}

/// Offers the accepted root to the nodes directly; the exchange between peers reaches the rest.
void OfferToNodes(tool_context& context,
                  const tool_options& options,
                  const apply_outcome& accepted) {
  const auto hosts = ReadHosts(context, options);
  if (!hosts) {
    context.out << "not offered to the nodes directly: " << Describe(hosts.error()) << "\n";
    return;
  }
  std::vector<config_peer> peers;
  for (const host_entry& host : hosts.value()) {
    peers.push_back({host.host, host.failure_domain,
                     host.role == "entry" ? peer_role::kEntry : peer_role::kAgent,
                     host.process.address, host.process.port});
  }
  boost::json::array bodies{Serialize(accepted.root)};
  std::size_t bytes = Serialize(accepted.root).size();
  for (const config_section& section : accepted.changed) {
    bodies.emplace_back(section.body);
    bytes += section.body.size();
  }
  const std::string digest = Digest(accepted.root);
  const boost::json::object root =
      ToJson(root_announcement{accepted.root.version, digest, milliseconds(0)});
  const offer_settings settings;
  const auto targets = PlanOffers(peers, digest, bytes, settings);
  std::size_t reached = 0;
  ForEachParallel(targets.size(), settings.parallel, [&](std::size_t i) {
    const config_peer& peer = peers[targets[i].peer];
    boost::json::object params{{"root", root}};
    if (targets[i].with_bodies)
      params["bodies"] = bodies;
    for (std::size_t attempt = 0; attempt < settings.tries; ++attempt) {
      if (!context.rpc.Call({peer.address, peer.port}, "config.offer", params,
                            settings.call_timeout)) {
        continue;
      }
      ++reached;
      return;
    }
  });
  context.out << "offered to " << reached << " of " << targets.size() << " nodes\n";
}

result<void> Apply(tool_context& context, const tool_options& options, config_document document) {
  BOOST_OUTCOME_TRY(const endpoint service, Required(options.key_value, "kv"));
  if (options.author.empty())
    return MakeError(error_code::kInvalidArgument, "--author is missing");
  const auto kv = MakeConsulKv(context.http, service, kCallTimeout);
  random_source random = random_source::FromSystem();
  apply_request request;
  request.document = std::move(document);
  request.author = options.author;
  request.team = options.team;
  request.force = options.force;
  request.partial = options.partial;
  request.replace = options.replace;
  request.id = ToString(NewAttemptId(random));
  request.at = std::chrono::system_clock::now();
  apply_flow flow(std::move(request), {}, Now());
  for (apply_action action = flow.Next(Now()); action.step != apply_step::kFinished;
       action = flow.Next(Now())) {
    Perform(flow, *kv, action);
  }
  const apply_outcome& outcome = flow.outcome();
  if (!outcome.accepted) {
    CollectSections(context, *kv, outcome);
    return outcome.reason;
  }
  if (outcome.unchanged) {
    context.out << "version " << outcome.version << " already is what was asked for\n";
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  context.out << "version " << outcome.version << " accepted\n";
  if (options.host_list)
    OfferToNodes(context, options, outcome);
  CollectSections(context, *kv, outcome);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> SetDomain(tool_context& context, tool_options options, bool in_service) {
  BOOST_OUTCOME_TRY(const std::string domain, OnlyArgument(options, "DOMAIN"));
  BOOST_OUTCOME_TRY(const config_document in_force, ReadInForce(context, options));
  BOOST_OUTCOME_TRY(config_document change, WithDomainState(in_force, domain, in_service));
  change.base = in_force.base;
  options.partial = true;
  return Apply(context, options, std::move(change));
}

}  // namespace

result<config_document> ReadInForce(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const endpoint service, Required(options.key_value, "kv"));
  const auto kv = MakeConsulKv(context.http, service, kCallTimeout);
  BOOST_OUTCOME_TRY(const std::optional<kv_entry> stored, kv->Get(kRootKey));
  if (!stored)
    return MakeError(error_code::kNotFound, "no configuration is in force");
  BOOST_OUTCOME_TRY(const config_root root, ParseRoot(stored->value));
  config_document document;
  document.base = BaseOf(root);
  for (const auto& [name, reference] : root.sections) {
    BOOST_OUTCOME_TRY(const std::optional<kv_entry> body, kv->Get(SectionKey(reference.digest)));
    if (!body)
      return MakeError(error_code::kNotFound, "section " + name + " is missing in the service");
    BOOST_OUTCOME_TRY(config_section section, ParseSection(name, body->value));
    document.sections.push_back(std::move(section));
  }
  return document;
}

result<void> RunCheck(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const config_document document, ReadDocument(options));
  context.out << options.arguments.front() << ": valid, " << document.sections.size()
              << " sections\n";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> RunApply(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(config_document document, ReadDocument(options));
  return Apply(context, options, std::move(document));
}

result<void> RunDrain(tool_context& context, const tool_options& options) {
  return SetDomain(context, options, false);
}

result<void> RunReturn(tool_context& context, const tool_options& options) {
  return SetDomain(context, options, true);
}

result<void> RunExport(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const config_document document, ReadInForce(context, options));
  context.out << FormatDocument(document) << "\n";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace quincebank
