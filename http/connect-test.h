#ifndef HTTP_CONNECT_TEST_H
#define HTTP_CONNECT_TEST_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum connect_test_result {
	CONNECT_TEST_CONNECTED,
	CONNECT_TEST_FAILED, /* refused, or no answer in time */
	CONNECT_TEST_NOT_TRIED, /* this process could not, as without descriptors */
};

typedef void (*connect_test_cb)(void *user, enum connect_test_result result);

/* When to connect, and how long that may take; in ms. */
struct connect_test_times {
	uint32_t delay_ms;
	uint32_t timeout_ms;
};

bool connect_test_start(uv_loop_t *loop, const char *address,
			struct connect_test_times times, connect_test_cb cb,
			void *user);

#endif
