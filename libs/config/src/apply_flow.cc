#include "quincebank/config/apply_flow.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/digest.h"

namespace quincebank {

apply_flow::apply_flow(apply_request request, apply_settings settings, time_point start)
    : request_(std::move(request)),
      settings_(settings),
      deadline_(start + settings.time_limit),
      not_before_(start),
      wait_(settings.first_wait),
      base_(request_.document.base) {
  for (const config_section& section : request_.document.sections)
    known_.emplace(section.digest, section);
}

apply_action apply_flow::Next(time_point now) {
  if (step_ != apply_step::kFinished && now >= deadline_)
    RejectUnresolved("no end within the time limit");
  if (step_ == apply_step::kFinished)
    return {};
  if (now < not_before_)
    return {apply_step::kWait, {}, {}, 0, std::min(not_before_, deadline_)};
  switch (step_) {
    case apply_step::kReadSection:
      return {step_, SectionKey(current_.sections.at(to_read_.back()).digest), {}, 0, now};
    case apply_step::kWriteSection: {
      const config_section& section = plan_.changed[written_];
      return {step_, SectionKey(section.digest), section.body, 0, now};
    }
    case apply_step::kReadBody:
      return {step_, SectionKey(plan_.changed[written_].digest), {}, 0, now};
    case apply_step::kTouchSection: {
      const config_section& section = plan_.changed[written_];
      return {step_, SectionKey(section.digest), section.body, touch_index_, now};
    }
    case apply_step::kSwapRoot:
      return {step_, std::string(kRootKey), Serialize(plan_.root), current_index_, now};
    default:
      return {step_, std::string(kRootKey), {}, 0, now};
  }
}

void apply_flow::OnRead(const std::optional<stored_value>& value, time_point now) {
  wait_ = settings_.first_wait;
  switch (step_) {
    case apply_step::kReadRoot:
      OnRootRead(value);
      return;
    case apply_step::kReadSection:
      OnSectionRead(value);
      return;
    case apply_step::kReadBody:
      touch_index_ = value ? value->index : 0;
      step_ = value ? apply_step::kTouchSection : apply_step::kWriteSection;
      return;
    case apply_step::kReadBack:
      OnReadBack(value);
      if (step_ == apply_step::kSwapRoot)
        not_before_ = now + settings_.first_wait;
      return;
    default:
      return;
  }
}

void apply_flow::OnWritten(bool applied, time_point) {
  wait_ = settings_.first_wait;
  if (step_ == apply_step::kWriteSection) {
    // An existing body may be about to be erased at its present index, so it is written again.
    if (applied)
      NextSection();
    else
      step_ = apply_step::kReadBody;
    return;
  }
  if (step_ == apply_step::kTouchSection) {
    if (applied)
      NextSection();
    else
      step_ = apply_step::kWriteSection;
    return;
  }
  if (step_ != apply_step::kSwapRoot)
    return;
  if (applied) {
    Accept(false);
    return;
  }
  // Either another writer was faster or an earlier copy of this swap took effect.
  step_ = apply_step::kReadBack;
}

void apply_flow::NextSection() {
  step_ = ++written_ == plan_.changed.size() ? apply_step::kSwapRoot : apply_step::kWriteSection;
}

void apply_flow::OnError(const error& failure, time_point now) {
  last_failure_ = Describe(failure);
  if (step_ == apply_step::kFinished)
    return;
  if (step_ == apply_step::kSwapRoot && failure.outcome != verdict::kNotRun) {
    swap_unresolved_ = true;
    step_ = apply_step::kReadBack;
  }
  if (failure.code == error_code::kInvalidArgument) {
    RejectUnresolved("the key-value service refused the request");
    return;
  }
  not_before_ = now + wait_;
  wait_ = std::min(2 * wait_, settings_.last_wait);
}

void apply_flow::OnRootRead(const std::optional<stored_value>& value) {
  current_ = {};
  current_index_ = 0;
  if (value) {
    auto parsed = ParseRoot(value->value);
    if (!parsed) {
      RejectUnresolved("the stored root is not readable: " + Describe(parsed.error()));
      return;
    }
    current_ = std::move(parsed).value();
    current_index_ = value->index;
  }
  if (!base_)
    base_ = request_.replace ? BaseOf(current_) : config_base();
  to_read_.clear();
  for (const auto& [name, ref] : current_.sections) {
    if (!known_.contains(ref.digest))
      to_read_.push_back(name);
  }
  LoadOrPlan();
}

void apply_flow::OnSectionRead(const std::optional<stored_value>& value) {
  const std::string name = to_read_.back();
  const std::string& digest = current_.sections.at(name).digest;
  if (!value || Sha256Hex(value->value) != digest) {
    RejectUnresolved("the stored body of section '" + name + "' is missing or damaged");
    return;
  }
  auto parsed = ParseSection(name, value->value);
  if (!parsed) {
    RejectUnresolved("the stored section is not readable: " + Describe(parsed.error()));
    return;
  }
  known_.emplace(digest, std::move(parsed).value());
  to_read_.pop_back();
  LoadOrPlan();
}

void apply_flow::LoadOrPlan() {
  if (to_read_.empty()) {
    Plan();
  } else {
    step_ = apply_step::kReadSection;
  }
}

void apply_flow::Plan() {
  if (plans_++ == settings_.max_plans) {
    Reject(MakeError(error_code::kConflict, "not in force: other writers were faster " +
                                                std::to_string(settings_.max_plans) + " times"));
    return;
  }
  config_snapshot current{current_, {}};
  for (const auto& [name, ref] : current_.sections) {
    config_section section = known_.at(ref.digest);
    section.name = name;
    current.document.sections.push_back(std::move(section));
  }
  auto plan = PlanApply(*base_, current, request_);
  if (!plan) {
    error reason = std::move(plan).error();
    reason.message = "not in force: " + reason.message;
    Reject(std::move(reason));
    return;
  }
  plan_ = std::move(plan).value();
  if (plan_.unchanged) {
    Accept(true);
    return;
  }
  plan_digest_ = Digest(plan_.root);
  written_ = 0;
  for (const config_section& section : plan_.changed)
    bodies_.insert(section.digest);
  step_ = plan_.changed.empty() ? apply_step::kSwapRoot : apply_step::kWriteSection;
}

void apply_flow::OnReadBack(const std::optional<stored_value>& value) {
  if (!value) {
    if (current_index_ == 0) {
      step_ = apply_step::kSwapRoot;
    } else {
      RejectUnresolved("the root has disappeared from the key-value service");
    }
    return;
  }
  if (value->index == current_index_) {
    // Not in force yet, but a delayed copy may still arrive. A second copy is safe: only one of
    // the two can find the expected index.
    step_ = apply_step::kSwapRoot;
    return;
  }
  auto parsed = ParseRoot(value->value);
  if (!parsed) {
    RejectUnresolved("the stored root is not readable: " + Describe(parsed.error()));
    return;
  }
  const config_root& found = parsed.value();
  const std::string digest = Digest(found);
  if (digest == plan_digest_) {
    Accept(false);
    return;
  }
  if (found.version > plan_.root.version) {
    const std::uint64_t steps = found.version - plan_.root.version;
    if (steps > found.previous.size()) {
      if (swap_unresolved_) {
        RejectUnresolved("more versions followed than the root remembers");
        return;
      }
    } else if (found.previous[steps - 1] == plan_digest_) {
      Accept(false);
      return;
    }
  }
  // Another writer consumed the expected index, so no copy of this swap can take effect any more.
  swap_unresolved_ = false;
  OnRootRead(value);
}

void apply_flow::ListDropped(const config_root& in_force) {
  std::set<std::string> dropped = bodies_;
  for (const auto& [name, ref] : current_.sections)
    dropped.insert(ref.digest);
  for (const auto& [name, ref] : in_force.sections)
    dropped.erase(ref.digest);
  outcome_.dropped.assign(dropped.begin(), dropped.end());
}

void apply_flow::Accept(bool unchanged) {
  ListDropped(plan_.root);
  step_ = apply_step::kFinished;
  outcome_.accepted = true;
  outcome_.unchanged = unchanged;
  outcome_.version = plan_.root.version;
  outcome_.root = plan_.root;
  outcome_.changed = plan_.changed;
}

void apply_flow::Reject(error reason) {
  step_ = apply_step::kFinished;
  ListDropped(current_);
  outcome_.accepted = false;
  outcome_.reason = std::move(reason);
}

void apply_flow::RejectUnresolved(const std::string& why) {
  const std::string detail = last_failure_.empty() ? why : why + "; last failure: " + last_failure_;
  if (!swap_unresolved_) {
    Reject(MakeError(error_code::kUnavailable, "not in force: " + detail));
    return;
  }
  Reject(MakeError(error_code::kUnavailable,
                   "may be in force, now or later, as version " +
                       std::to_string(plan_.root.version) + " with digest " + plan_digest_ + ": " +
                       detail,
                   verdict::kMayHaveRun));
}

}  // namespace quincebank
