#include "api/client-listener.h"

#include <string.h>

#include "api/chat-task.h"
#include "api/models-task.h"
#include "api/operator-task.h"
#include "api/plain-task.h"
#include "daemon/node.h"

static void refuse(struct http_server_request *req, int status,
		   const char *reason)
{
	g_autofree char *text = g_strdup_printf(
		"{\"error\":{\"verdict\":\"not-run\",\"reason\":\"%s\"}}",
		reason);

	http_server_reply_json(req, status, text);
}

/*
 * Dispatches a request on the address for clients by path and method. `node` is
 * the struct node that owns the listener.
 */
void client_listener_handle(void *node, struct http_server_request *req)
{
	struct node *n = node;
	const char *path = http_server_path(req);
	const char *method = http_server_method(req);

	if (http_server_client_has_left(req))
		http_server_drop(req);
	else if (!strcmp(path, "/healthz") || !strcmp(path, "/readyz"))
		operator_handle_health(n, req);
	else if (g_str_has_prefix(path, "/services/"))
		plain_start(n, req);
	else if (!strcmp(path, "/v1/models") && !strcmp(method, "GET"))
		models_handle(n, req);
	else if (!strcmp(path, "/v1/models"))
		refuse(req, 405, "only-get");
	else if (strcmp(path, "/v1/chat/completions") != 0)
		refuse(req, 404, "unknown-path");
	else if (strcmp(method, "POST") != 0)
		refuse(req, 405, "only-post");
	else
		chat_start(n, req);
}
