// Measures the configuration exchange and the snapshot. Virtual time and fixed seeds for the
// exchange; wall time and heap for the snapshot. Prints Markdown tables.

#include "collection.h"
#include "document_cost.h"
#include "spread.h"

int main() {
  quincebank::PrintSpread();
  quincebank::PrintSteadyTraffic();
  quincebank::PrintDocumentCost();
  quincebank::PrintCollection();
  return 0;
}
