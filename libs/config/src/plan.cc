#include "quincebank/config/plan.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "json_text.h"

namespace quincebank {
namespace {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Digest of one section in each of the three versions; empty if absent.
struct three_sides {
  std::string_view base;
  std::string_view current;
  std::string_view mine;
};

enum class merge_choice : std::uint8_t { kKeepCurrent, kTakeMine, kConflict };

merge_choice Choose(const three_sides& sides) noexcept {
  if (sides.mine == sides.base || sides.mine == sides.current)
    return merge_choice::kKeepCurrent;
  return sides.current == sides.base ? merge_choice::kTakeMine : merge_choice::kConflict;
}

std::string_view DigestIn(const config_root& root, std::string_view name) {
  const auto found = root.sections.find(name);
  return found == root.sections.end() ? std::string_view() : found->second.digest;
}

std::string_view DigestIn(const config_base& base, std::string_view name) {
  const auto found = base.sections.find(name);
  return found == base.sections.end() ? std::string_view() : found->second;
}

error Rejection(error_code code, std::string_view section, std::string message) {
  return error{code, std::move(message), verdict::kNotRun, PointerTo("", section)};
}

result<void> CheckBase(const config_base& base, const config_root& current) {
  if (base.version > current.version) {
    return MakeError(error_code::kInvalidArgument,
                     "the document is based on version " + std::to_string(base.version) +
                         ", but only version " + std::to_string(current.version) + " is in force");
  }
  const std::uint64_t behind = current.version - base.version;
  if (base.version == 0 || behind > current.previous.size())
    return outcome::success();
  const bool known = base.digest == (behind == 0 ? Digest(current) : current.previous[behind - 1]);
  if (known)
    return outcome::success();
  return MakeError(error_code::kInvalidArgument, "the document is based on a version " +
                                                     std::to_string(base.version) +
                                                     " that was never in force here");
}

/// Merges one request into one snapshot.
class merge {
 public:
  merge(const config_base& base, const config_snapshot& current, const apply_request& mine)
      : base_(base), current_(current), mine_(mine) {}

  result<apply_plan> Run();

 private:
  [[nodiscard]] three_sides SidesOf(std::string_view name) const;
  [[nodiscard]] std::string_view team() const {
    return mine_.team.empty() ? std::string_view(mine_.author) : std::string_view(mine_.team);
  }
  [[nodiscard]] error Conflict(std::string_view name) const;
  result<void> CheckOwner(std::string_view name) const;
  result<void> MergeSection(const std::string& name);
  void Finish();

  const config_base& base_;
  const config_snapshot& current_;
  const apply_request& mine_;
  apply_plan plan_;
  config_document merged_;
  bool any_change_ = false;
};

three_sides merge::SidesOf(std::string_view name) const {
  three_sides sides{DigestIn(base_, name), DigestIn(current_.root, name), {}};
  const config_section* const section = mine_.document.Find(name);
  if (section != nullptr) {
    sides.mine = section->digest;
  } else if (mine_.partial) {
    sides.mine = sides.base;
  }
  return sides;
}

error merge::Conflict(std::string_view name) const {
  const config_section* const section = current_.document.Find(name);
  const auto ref = current_.root.sections.find(name);
  if (section == nullptr || ref == current_.root.sections.end()) {
    return Rejection(error_code::kConflict, name,
                     "removed since version " + std::to_string(base_.version) + " by version " +
                         std::to_string(current_.root.version) + " or one before, last author '" +
                         current_.root.author + "'");
  }
  if (base_.version == 0) {
    return Rejection(error_code::kConflict, name,
                     "exists since version " + std::to_string(ref->second.version) + " by '" +
                         ref->second.author + "' (owner '" + section->owner +
                         "'), and the document names no $base; export it again or replace");
  }
  return Rejection(error_code::kConflict, name,
                   "changed by '" + ref->second.author + "' in version " +
                       std::to_string(ref->second.version) + ", after version " +
                       std::to_string(base_.version) + " that this change is based on (owner '" +
                       section->owner + "')");
}

result<void> merge::CheckOwner(std::string_view name) const {
  if (mine_.force)
    return outcome::success();
  const config_section* section = current_.document.Find(name);
  if (section == nullptr)
    section = mine_.document.Find(name);
  if (section == nullptr || section->owner == team())
    return outcome::success();
  return Rejection(error_code::kInvalidArgument, name,
                   "owned by '" + section->owner + "'; '" + std::string(team()) + "' (author '" +
                       mine_.author + "') may change it only by force");
}

result<void> merge::MergeSection(const std::string& name) {
  const config_section* taken = current_.document.Find(name);
  const auto ref = current_.root.sections.find(name);
  switch (Choose(SidesOf(name))) {
    case merge_choice::kConflict:
      return Conflict(name);
    case merge_choice::kKeepCurrent:
      if (taken == nullptr)
        return outcome::success();
      plan_.root.sections.emplace(name, ref->second);
      break;
    case merge_choice::kTakeMine:
      if (auto allowed = CheckOwner(name); !allowed)
        return allowed;
      any_change_ = true;
      taken = mine_.document.Find(name);
      if (taken == nullptr)
        return outcome::success();
      plan_.root.sections.emplace(
          name, section_ref{taken->digest, current_.root.version + 1, mine_.author});
      plan_.changed.push_back(*taken);
      break;
  }
  merged_.sections.push_back(*taken);
  return outcome::success();
}

void merge::Finish() {
  config_root& root = plan_.root;
  root.version = current_.root.version + 1;
  root.author = mine_.author;
  root.id = mine_.id;
  // Wall time is stored in milliseconds; a finer value would change when it is read back.
  root.at = std::chrono::time_point_cast<milliseconds>(mine_.at);
  if (current_.root.version > 0)
    root.previous.push_back(Digest(current_.root));
  for (const std::string& digest : current_.root.previous) {
    if (root.previous.size() == kRootHistory)
      break;
    root.previous.push_back(digest);
  }
}

result<apply_plan> merge::Run() {
  BOOST_OUTCOME_TRYV(CheckBase(base_, current_.root));
  std::set<std::string> names;
  for (const auto& [name, digest] : base_.sections)
    names.insert(name);
  for (const auto& [name, ref] : current_.root.sections)
    names.insert(name);
  for (const config_section& section : mine_.document.sections)
    names.insert(section.name);
  for (const std::string& name : names) {
    BOOST_OUTCOME_TRYV(MergeSection(name));
  }
  if (!any_change_) {
    plan_.unchanged = true;
    plan_.root = current_.root;
    return std::move(plan_);
  }
  if (auto checked = CheckDocument(merged_); !checked) {
    error failure = std::move(checked).error();
    failure.message +=
        " (after the merge with version " + std::to_string(current_.root.version) + " in force)";
    return failure;
  }
  Finish();
  if (Serialize(plan_.root).size() > kMaxSectionBytes) {
    return MakeError(error_code::kInvalidArgument,
                     "the root would exceed 1 MB; join small sections");
  }
  return std::move(plan_);
}

}  // namespace

result<apply_plan> PlanApply(const config_base& base,
                             const config_snapshot& current,
                             const apply_request& mine) {
  return merge(base, current, mine).Run();
}

}  // namespace quincebank
