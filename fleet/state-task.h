#ifndef FLEET_STATE_TASK_H
#define FLEET_STATE_TASK_H

#include <stdint.h>

#include "exchange/feed.h"

struct gateway_state;
struct http_server_request;

/*
 * Exchanges state between nodes over HTTP: configuration, servers and
 * roll-out orders. A node asks a peer for them while its own source is lost
 * or behind.
 */
struct peer_state;

#define PEER_STATE_PATH "/peer/state"
#define PEER_MEMBERS_PATH "/peer/members"

struct peer_state *peer_state_new(struct gateway_state *g);
bool peer_state_knows_members(const struct peer_state *t);
void peer_state_tick(struct peer_state *t, uint64_t now);
void peer_state_request(struct peer_state *t, uint64_t now, uint32_t ip);
void peer_state_on_newer(struct peer_state *t, uint64_t now, uint32_t ip,
			 enum feed_topic topic);
void peer_state_serve(struct gateway_state *g, struct http_server_request *req);
void peer_state_serve_members(struct gateway_state *g,
			      struct http_server_request *req);

#endif
