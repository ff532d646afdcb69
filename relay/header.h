#ifndef RELAY_HEADER_H
#define RELAY_HEADER_H

/* Header fields of requests that one node passes on to another. */
#define RELAY_CLUSTER_KEY_HEADER "X-Chivegw-Cluster-Key"
#define RELAY_FROM_HEADER "X-Chivegw-Relay-From" /* name of the node */
#define RELAY_ATTEMPTS_HEADER "X-Chivegw-Relay-Attempts" /* that are left */
/* Of the answer: id of the server that gave it. */
#define RELAY_SERVER_HEADER "X-Chivegw-Relay-Server"

#endif
