#pragma once

// IWYU pragma: begin_exports
#include "quincebank/base/clock.h"
#include "quincebank/base/digest.h"
#include "quincebank/base/error.h"
#include "quincebank/base/file.h"
#include "quincebank/base/ids.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/log.h"
#include "quincebank/base/random.h"
#include "quincebank/base/record.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/base/verdict.h"
// IWYU pragma: end_exports
