// Public header of the limits library: how a process divides its memory among
// what clients make it hold, and the structure limits of JSON documents.
#ifndef BRONZEBARROW_LIMITS_H_
#define BRONZEBARROW_LIMITS_H_

#include "bronzebarrow/limits/json_limits.h"
#include "bronzebarrow/limits/memory_plan.h"

#endif  // BRONZEBARROW_LIMITS_H_
