#include "quincebank/fleet/fleet_records.h"

namespace quincebank {

bool Supersedes(const upstream_record& newer, const upstream_record& older) noexcept {
  if (newer.id == older.id || older.incarnation == 0 || newer.incarnation <= older.incarnation)
    return false;
  if (newer.address == older.address)
    return true;
  return newer.service == older.service && newer.group && older.group &&
         newer.group->group == older.group->group && newer.group->rank == older.group->rank;
}

}  // namespace quincebank
