#ifndef FLEET_CLUSTER_KEY_H
#define FLEET_CLUSTER_KEY_H

#include <stdbool.h>

bool cluster_key_matches(const char *expected, const char *given);

#endif
