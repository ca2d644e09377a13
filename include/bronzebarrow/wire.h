// Public header of the wire library: messages between the project's processes.
#ifndef BRONZEBARROW_WIRE_H_
#define BRONZEBARROW_WIRE_H_

#include "bronzebarrow/wire/codec.h"
#include "wire_generated.h"

#endif  // BRONZEBARROW_WIRE_H_
