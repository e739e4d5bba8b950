#include "quincebank/agent/agent_service.h"

#include <utility>

#include "agent_impl.h"
#include "quincebank/net/run_on.h"

namespace quincebank {

agent_service::agent_service(fiber_thread& traffic,
                             incarnation self,
                             const upstream_settings& settings,
                             const ledger_limits& limits) {
  traffic.RunAndWait([&] {
    impl_ = std::make_unique<impl>(traffic, self, settings, limits);
    impl_->Start();
  });
}

agent_service::~agent_service() {
  impl_->stop.Set();
  while (impl_->fibers > 0)
    std::this_thread::sleep_for(milliseconds(1));
  fiber_thread& traffic = impl_->traffic;
  traffic.RunAndWait([&] { impl_.reset(); });
}

void agent_service::Handle(http_exchange& exchange) {
  if (exchange.request().target.starts_with("/attempts/")) {
    impl_->ReadAttempt(exchange);
    return;
  }
  impl_->RunAttempt(exchange);
}

void agent_service::AddMethods(rpc_server& rpc) {
  rpc.Add("agent.status", [this](const boost::json::object&) -> result<boost::json::value> {
    return boost::json::value(ToJson(impl_->Load()));
  });
  rpc.Add("agent.attempt_status",
          [this](const boost::json::object& params) { return impl_->AttemptStatus(params); });
  rpc.Add("agent.block_attempt",
          [this](const boost::json::object& params) { return impl_->BlockAttempt(params); });
  rpc.Add("agent.cancel_attempt",
          [this](const boost::json::object& params) { return impl_->CancelAttempt(params); });
}

void agent_service::SetDirectory(std::shared_ptr<const agent_directory> directory) {
  impl_->traffic.RunAndWait([&] { impl_->SetDirectory(std::move(directory)); });
}

void agent_service::SetUpstream(const upstream_settings& settings) {
  impl_->traffic.RunAndWait([&] { impl_->SetUpstream(settings); });
}

void agent_service::SetDraining(bool draining) {
  impl_->traffic.RunAndWait([&] { impl_->SetDraining(draining); });
}

void agent_service::SetLeaving() {
  impl_->traffic.RunAndWait([&] { impl_->SetLeaving(); });
}

agent_load agent_service::Load() {
  agent_load load;
  impl_->traffic.RunAndWait([&] { load = impl_->Load(); });
  return load;
}

agent_load agent_service::LoadHere() const {
  return impl_->Load();
}

std::string agent_service::MetricsHere(const control_bytes& bytes) {
  return impl_->Metrics(bytes);
}

}  // namespace quincebank
