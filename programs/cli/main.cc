// quincebank: the operators' tool.

#include "quincebank/base/log.h"
#include "quincebank/cli/tool.h"

int main(int argc, char** argv) {
  quincebank::InitLogging(false);
  return quincebank::RunTool(argc, argv);
}
