// Public header of the net library: frame connections, HTTP server and HTTP
// connections to targets.
#ifndef BRONZEBARROW_NET_H_
#define BRONZEBARROW_NET_H_

#include "bronzebarrow/net/acceptor.h"
#include "bronzebarrow/net/connection_table.h"
#include "bronzebarrow/net/frame_connection.h"
#include "bronzebarrow/net/frame_dialer.h"
#include "bronzebarrow/net/http_server.h"
#include "bronzebarrow/net/received_frame.h"
#include "bronzebarrow/net/target_pool.h"
#include "bronzebarrow/net/traffic.h"

#endif  // BRONZEBARROW_NET_H_
