#include "http/memory.h"

/*
 * A request makes progress if it receives this much in this time: clients of the
 * slowest links send some 1 MB a second.
 */
#define PROGRESS_BYTES ((size_t)16 * 1024)
#define STALL_MS 1000
/* What a node uses at work without what it holds for clients: some 35 MB. */
#define NODE_MB 40
#define MB ((size_t)1024 * 1024)
#define MIN_LIMIT_MB 8
#define MAX_LIMIT_MB 4096
/* Descriptors that are kept for servers, the store, other nodes and files. */
#define MIN_KEPT_DESCRIPTORS 32
#define MAX_KEPT_DESCRIPTORS 1024
/* The limit's share that the kernel may hold for a connection with much to send. */
#define LARGE_BUFFER_DIVISOR 64
#define MIN_LARGE_BUFFER_BYTES ((size_t)64 * 1024)
#define MAX_LARGE_BUFFER_BYTES ((size_t)512 * 1024)
/* The same of received bytes for each other connection. */
#define MIN_IDLE_BUFFER_BYTES ((size_t)8 * 1024)
#define MAX_IDLE_BUFFER_BYTES ((size_t)64 * 1024)
/* The limit's share that the kernel may hold of responses before writes are limited. */
#define UNSENT_DIVISOR 4

/*
 * Returns how many bytes a process on a machine with so much memory may hold for
 * its clients: five eighths of what the node itself leaves. The rest is for what
 * the allocator and the kernel add.
 */
size_t memory_default_limit(uint64_t machine_mb)
{
	uint64_t left = machine_mb > NODE_MB ? machine_mb - NODE_MB : 0;

	return (size_t)CLAMP(left * 5 / 8, MIN_LIMIT_MB, MAX_LIMIT_MB) * MB;
}

/*
 * Returns how many connections of clients may be open in a process with a limit
 * of so many descriptors.
 */
uint32_t memory_default_connections(uint64_t descriptors)
{
	uint64_t kept = CLAMP(descriptors / 4, MIN_KEPT_DESCRIPTORS,
			      MAX_KEPT_DESCRIPTORS);

	if (descriptors <= kept)
		return 1;
	return (uint32_t)MIN(descriptors - kept, UINT32_MAX);
}

static size_t large_buffer(const struct memory_account *a)
{
	return CLAMP(a->limit / LARGE_BUFFER_DIVISOR, MIN_LARGE_BUFFER_BYTES,
		     MAX_LARGE_BUFFER_BYTES);
}

/*
 * Returns how many received bytes the kernel may hold for a connection that was not
 * widened: all connections together keep to half of the limit.
 */
size_t memory_idle_receive_buffer(const struct memory_account *a)
{
	return CLAMP(a->limit / 2 / MAX(a->max_connections, 1),
		     MIN_IDLE_BUFFER_BYTES, MAX_IDLE_BUFFER_BYTES);
}

/*
 * Returns how many bytes of responses the kernel may hold for one connection until its
 * client has taken them. What exceeds that waits in the process, where it is counted.
 */
size_t memory_send_buffer(const struct memory_account *a)
{
	return large_buffer(a);
}

/* Returns how many received bytes the kernel may hold for a widened connection. */
size_t memory_body_receive_buffer(const struct memory_account *a)
{
	return large_buffer(a);
}

/* Sets the limit; a quarter of it is kept for small holders. */
void memory_set_limit(struct memory_account *a, size_t limit)
{
	a->limit = limit;
	a->reserve = limit / 4;
}

/* Initialises an account of which nothing is held. */
void memory_init(struct memory_account *a, size_t limit,
		 uint32_t max_connections)
{
	*a = (struct memory_account) {.max_connections = max_connections};
	g_queue_init(&a->receiving);
	g_queue_init(&a->ahead);
	g_queue_init(&a->wide);
	g_queue_init(&a->unsent);
	a->clients = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	memory_set_limit(a, limit);
}

/* Frees what the account itself uses; holders must not be used any more. */
void memory_clear(struct memory_account *a)
{
	g_hash_table_unref(a->clients);
	a->clients = NULL;
}

static size_t client_bytes(const struct memory_account *a, uint64_t client)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(a->clients, &client));
}

static void set_client_bytes(struct memory_account *a, uint64_t client,
			     size_t bytes)
{
	if (bytes)
		g_hash_table_insert(a->clients,
				    g_memdup2(&client, sizeof(client)),
				    GSIZE_TO_POINTER(bytes));
	else
		g_hash_table_remove(a->clients, &client);
}

/* Counts bytes that are held for a client but belong to no connection. */
void memory_charge(struct memory_account *a, size_t bytes)
{
	a->held += bytes;
	a->peak = MAX(a->peak, a->held);
}

/* Takes back what memory_charge() has counted. */
void memory_discharge(struct memory_account *a, size_t bytes)
{
	a->held -= MIN(bytes, a->held);
}

/* Sets how many bytes the holder has; 0 before it is freed. */
void memory_resize(struct memory_account *a, struct memory_holder *h,
		   size_t bytes)
{
	if (bytes == h->bytes)
		return;
	if (h->receiving)
		set_client_bytes(a, h->client,
				 client_bytes(a, h->client) - h->bytes + bytes);
	memory_discharge(a, h->bytes);
	memory_charge(a, bytes);
	h->bytes = bytes;
}

/* Makes the holder one that may be evicted; ignored if it is. */
void memory_begin_receiving(struct memory_account *a, struct memory_holder *h,
			    uint64_t now)
{
	if (h->receiving)
		return;
	h->receiving = true;
	h->progress_at = now;
	h->unrated = 0;
	h->link.data = h;
	g_queue_push_tail_link(&a->receiving, &h->link);
	set_client_bytes(a, h->client, client_bytes(a, h->client) + h->bytes);
}

/* Counts received bytes of the request. */
void memory_on_received(struct memory_holder *h, uint64_t now, size_t n)
{
	h->unrated += n;
	if (h->unrated < PROGRESS_BYTES)
		return;
	h->unrated = 0;
	h->progress_at = now;
}

/* The request is complete, or has ended; ignored if it is none. */
void memory_end_receiving(struct memory_account *a, struct memory_holder *h)
{
	if (!h->receiving)
		return;
	h->receiving = false;
	g_queue_unlink(&a->receiving, &h->link);
	set_client_bytes(a, h->client, client_bytes(a, h->client) - h->bytes);
}

/*
 * Sets how many bytes of what the holder has are requests that its client sent
 * before it took the response to the one before; 0 before the holder is freed.
 */
void memory_set_ahead(struct memory_account *a, struct memory_holder *h,
		      size_t bytes)
{
	if (bytes == h->ahead)
		return;
	set_client_bytes(a, h->client,
			 client_bytes(a, h->client) - h->ahead + bytes);
	h->ahead_link.data = h;
	if (!h->ahead)
		g_queue_push_tail_link(&a->ahead, &h->ahead_link);
	else if (!bytes)
		g_queue_unlink(&a->ahead, &h->ahead_link);
	h->ahead = bytes;
}

/*
 * Sets how many bytes of what the holder has are responses that the kernel holds until
 * the client takes them; 0 before the holder is freed. Less than
 * MEMORY_MIN_UNSENT_BYTES are taken for 0.
 */
void memory_set_unsent(struct memory_account *a, struct memory_holder *h,
		       size_t bytes)
{
	if (bytes < MEMORY_MIN_UNSENT_BYTES)
		bytes = 0;
	if (bytes == h->unsent)
		return;
	a->unsent_bytes = a->unsent_bytes - h->unsent + bytes;
	h->unsent_link.data = h;
	if (!h->unsent)
		g_queue_push_tail_link(&a->unsent, &h->unsent_link);
	else if (!bytes)
		g_queue_unlink(&a->unsent, &h->unsent_link);
	h->unsent = bytes;
}

/* Returns whether the kernel holds as much of responses as it may without a limit. */
bool memory_is_send_limited(const struct memory_account *a)
{
	return a->unsent_bytes >= a->limit / UNSENT_DIVISOR;
}

/*
 * Returns how many bytes of a response the connection may pass to the kernel. While the
 * kernel holds much for all clients together, it is a small part at a time, once the
 * client has taken what was passed before.
 */
size_t memory_may_send(const struct memory_account *a,
		       const struct memory_holder *h)
{
	size_t share = a->limit / UNSENT_DIVISOR / MAX(a->max_connections, 1);

	if (!memory_is_send_limited(a))
		return SIZE_MAX;
	return h->unsent ? 0
			 : CLAMP(share, MEMORY_MIN_UNSENT_BYTES,
				 MAX_IDLE_BUFFER_BYTES);
}

/* The holder has the receive buffer of an idle connection; ignored if it has. */
void memory_narrow(struct memory_account *a, struct memory_holder *h)
{
	if (!h->wide)
		return;
	h->wide = false;
	g_queue_unlink(&a->wide, &h->wide_link);
}

/*
 * Decides whether a holder that begins to receive a body gets the receive buffer for
 * it: all of these together keep to half of the limit. Sets *narrowed to the holder
 * that has to give its own back, the first that receives nothing, or to NULL.
 */
bool memory_widen(struct memory_account *a, struct memory_holder *h,
		  struct memory_holder **narrowed)
{
	size_t most = a->limit / 2 / memory_body_receive_buffer(a);
	GList *l = a->wide.head;

	*narrowed = NULL;
	if (h->wide)
		return true;
	if (a->wide.length >= most) {
		while (l && ((struct memory_holder *)l->data)->receiving)
			l = l->next;
		if (!l)
			return false;
		*narrowed = l->data;
		memory_narrow(a, *narrowed);
	}
	h->wide = true;
	h->wide_link.data = h;
	g_queue_push_tail_link(&a->wide, &h->wide_link);
	return true;
}

static bool is_stalled(const struct memory_holder *h, uint64_t now)
{
	return now - h->progress_at >= STALL_MS;
}

/*
 * Returns whether holder `x` is evicted before `y`: what has stopped growing
 * before what still grows, large before small holders, those of the client that
 * holds most before those of others, and the larger of two.
 */
static bool is_worse(const struct memory_account *a, uint64_t now,
		     const struct memory_holder *x,
		     const struct memory_holder *y)
{
	bool x_stalled = is_stalled(x, now), y_stalled = is_stalled(y, now);
	bool x_large = x->bytes > MEMORY_SMALL_BYTES;
	bool y_large = y->bytes > MEMORY_SMALL_BYTES;
	size_t x_client, y_client;

	if (x_stalled != y_stalled)
		return x_stalled;
	if (x_large != y_large)
		return x_large;
	x_client = x->client == y->client ? 0 : client_bytes(a, x->client);
	y_client = x->client == y->client ? 0 : client_bytes(a, y->client);
	if (x_client != y_client)
		return x_client > y_client;
	return x->bytes > y->bytes;
}

/* Returns the incomplete request that is evicted first, or NULL. */
struct memory_holder *memory_next_victim(struct memory_account *a, uint64_t now)
{
	struct memory_holder *worst = NULL;

	for (GList *l = a->receiving.head; l; l = l->next) {
		struct memory_holder *h = l->data;

		if (!worst || is_worse(a, now, h, worst))
			worst = h;
	}
	return worst;
}

/* Returns whether so many bytes more for the holder keep to the limit. */
static bool fits(const struct memory_account *a, const struct memory_holder *h,
		 size_t bytes)
{
	bool small = h->bytes + bytes <= MEMORY_SMALL_BYTES;
	size_t limit = small ? a->limit : a->limit - a->reserve;

	return a->held + bytes <= limit;
}

/*
 * Decides on a request that is going to have so many bytes. Only requests that
 * have stopped growing make room for it.
 */
enum memory_verdict memory_may_begin(struct memory_account *a,
				     const struct memory_holder *h,
				     uint64_t now, size_t bytes,
				     struct memory_holder **victim)
{
	if (fits(a, h, bytes))
		return MEMORY_FITS;
	*victim = memory_next_victim(a, now);
	return *victim && *victim != h && is_stalled(*victim, now)
		       ? MEMORY_EVICT
		       : MEMORY_REFUSE;
}

/*
 * Decides on a holder that has received so many bytes more. It is refused itself
 * if it would be evicted first.
 */
enum memory_verdict memory_may_grow(struct memory_account *a,
				    const struct memory_holder *h, uint64_t now,
				    size_t bytes, struct memory_holder **victim)
{
	if (fits(a, h, bytes))
		return MEMORY_FITS;
	*victim = memory_next_victim(a, now);
	return *victim && *victim != h ? MEMORY_EVICT : MEMORY_REFUSE;
}

/* Returns whether more is held than the limit allows. */
bool memory_is_exceeded(const struct memory_account *a)
{
	return a->held > a->limit;
}

/* Returns whether what can wait should not be taken in. */
bool memory_is_short(const struct memory_account *a)
{
	return a->held > a->limit / 2;
}

/*
 * Returns whose requests sent ahead are dropped next, or NULL if memory is not short
 * or nobody has any: those of the client that holds most, and of these the most.
 */
struct memory_holder *memory_next_ahead(const struct memory_account *a)
{
	struct memory_holder *worst = NULL;
	size_t worst_client = 0;

	if (!memory_is_short(a))
		return NULL;
	for (GList *l = a->ahead.head; l; l = l->next) {
		struct memory_holder *h = l->data;
		size_t client = client_bytes(a, h->client);

		if (worst &&
		    (client < worst_client ||
		     (client == worst_client && h->ahead <= worst->ahead)))
			continue;
		worst = h;
		worst_client = client;
	}
	return worst;
}

/* Returns the most that was held since the last call. */
size_t memory_take_peak(struct memory_account *a)
{
	size_t peak = a->peak;

	a->peak = a->held;
	return peak;
}
