#pragma once

#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/config/document.h"
#include "quincebank/config/root.h"

namespace quincebank {

/// \brief Change that an operator asks for.
struct apply_request {
  config_document document;
  /// Takes the root in force at the start as the base if the document names none. Without this,
  /// such a document may add sections but changes none: it may be older than what is in force.
  bool replace = false;
  std::string author;    ///< Person or job, recorded in the root.
  std::string team;      ///< Compared with the owners of sections; `author` if empty.
  bool force = false;    ///< Changes sections of other owners. Never overrides a conflict.
  bool partial = false;  ///< Sections that the document lacks are kept instead of removed.
  std::string id;        ///< Unique to this apply, such as an attempt id.
  wall_time at;
};

/// \brief A root with the sections it names.
struct config_snapshot {
  config_root root;
  config_document document;
};

/// \brief What to write: first the bodies, then the root by compare-and-swap.
struct apply_plan {
  bool unchanged = false;  ///< The configuration in force already is what was asked for.
  config_root root;
  std::vector<config_section> changed;  ///< Sections whose bodies the service may lack.
};

/// \brief Merges a change into the configuration in force and checks the whole result.
///
/// A section that only one side changed since `base` takes that side's content. A section that
/// both sides changed differently is a conflict (`error_code::kConflict`); the error names section,
/// owner and the author who was first. A change by a team that does not own the section
/// is rejected unless forced, and so is a merged document with a fault.
[[nodiscard]] result<apply_plan> PlanApply(const config_base& base,
                                           const config_snapshot& current,
                                           const apply_request& mine);

}  // namespace quincebank
