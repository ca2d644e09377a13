// Public header of the ledger library: the idempotency ledger, which lets each
// request key be executed at most once.
#ifndef BRONZEBARROW_LEDGER_H_
#define BRONZEBARROW_LEDGER_H_

#include "bronzebarrow/ledger/ledger.h"
#include "bronzebarrow/ledger/request_key.h"

#endif  // BRONZEBARROW_LEDGER_H_
