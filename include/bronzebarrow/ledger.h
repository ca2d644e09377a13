// Public header of the ledger library: at-most-once records of requests.
#ifndef BRONZEBARROW_LEDGER_H_
#define BRONZEBARROW_LEDGER_H_

#include "bronzebarrow/ledger/ledger.h"
#include "bronzebarrow/ledger/request_key.h"

#endif  // BRONZEBARROW_LEDGER_H_
