#ifndef DAEMON_GATEWAY_METRICS_H
#define DAEMON_GATEWAY_METRICS_H

#include <glib.h>

#include "daemon/gateway.h"

void gateway_metrics_write(const struct gateway_state *g, uint64_t now,
			   GString *out);

#endif
