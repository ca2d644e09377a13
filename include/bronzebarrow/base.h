// Public header of the base library: addresses, time, invariant checks, typed
// errors, settings, the event log and metrics.
#ifndef BRONZEBARROW_BASE_H_
#define BRONZEBARROW_BASE_H_

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/check.h"
#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/error_code.h"
#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/base/metrics.h"
#include "bronzebarrow/base/resources.h"
#include "bronzebarrow/base/settings.h"
#include "bronzebarrow/base/time.h"

#endif  // BRONZEBARROW_BASE_H_
