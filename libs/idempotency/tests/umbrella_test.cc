#include <gtest/gtest.h>

#include "quincebank/idempotency/fwd.h"
#include "quincebank/idempotency/idempotency.h"
