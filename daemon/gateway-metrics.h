#ifndef DAEMON_GATEWAY_METRICS_H
#define DAEMON_GATEWAY_METRICS_H

#include <glib.h>

#include "daemon/gateway.h"

void gwm_text(const struct gwy *g, uint64_t now, GString *out);

#endif
