#include "report.h"
namespace quincebank {
void RunDomainChange() {}
}  // namespace quincebank
