// Public header of the organisations library: the customers of the
// configuration, their keys, caps and shares. It depends on neither jobs nor
// runners.
#ifndef BRONZEBARROW_ORGANISATIONS_H_
#define BRONZEBARROW_ORGANISATIONS_H_

#include "bronzebarrow/organisations/fair_shares.h"
#include "bronzebarrow/organisations/organisation_table.h"

#endif  // BRONZEBARROW_ORGANISATIONS_H_
