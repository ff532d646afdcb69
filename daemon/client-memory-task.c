#include "daemon/client-memory-task.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include "log-event.h"

#define REPORT_MS 1000
/*
 * Larger blocks have a mapping of their own, which is given back as they are
 * freed. Without a fixed threshold the allocator raises it up to 32 MB.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
/* The heap is trimmed after at least so much was freed. */
#define TRIM_AFTER_BYTES ((size_t)512 * 1024)
#define BYTES_PER_MB ((uint64_t)1024 * 1024)
#define UNKNOWN_MACHINE_MB 512 /* if the kernel does not tell */
#define UNKNOWN_DESCRIPTORS 1024

struct client_memory {
	struct memory_account account;
	struct counter_set *counters;
	uv_timer_t timer;
	/* As last reported. */
	uint64_t evicted, refused, dropped, delayed, closed, turned_away;
	size_t peak; /* since the last trim */
	bool trim_again; /* once more, for what was freed after a trim */
};

static uint64_t machine_mb(const struct node_settings *settings)
{
	struct sysinfo info;

	if (settings->memory_mb)
		return (uint64_t)settings->memory_mb;
	if (sysinfo(&info) != 0)
		return UNKNOWN_MACHINE_MB;
	return (uint64_t)info.totalram * info.mem_unit / BYTES_PER_MB;
}

static uint64_t descriptor_limit(void)
{
	struct rlimit limit;

	return getrlimit(RLIMIT_NOFILE, &limit) ? UNKNOWN_DESCRIPTORS
						: limit.rlim_cur;
}

/* Puts the settings' limit in force. */
void client_memory_apply(struct client_memory *m,
			 const struct node_settings *settings)
{
	size_t limit =
		settings->client_memory_mb
			? (size_t)settings->client_memory_mb * BYTES_PER_MB
			: memory_default_limit(machine_mb(settings));

	memory_set_limit(&m->account, limit);
}

/* Returns the account, which all listeners of the process share. */
struct memory_account *client_memory_account(struct client_memory *m)
{
	return &m->account;
}

static void report_evictions(struct client_memory *m)
{
	const struct memory_account *a = &m->account;
	uint64_t evicted = a->evicted - m->evicted;
	uint64_t refused = a->refused - m->refused;
	uint64_t dropped = a->dropped - m->dropped;
	uint64_t delayed = a->delayed - m->delayed;

	if (!evicted && !refused && !dropped && !delayed)
		return;
	m->evicted = a->evicted;
	m->refused = a->refused;
	m->dropped = a->dropped;
	m->delayed = a->delayed;
	counter_add(m->counters, COUNTER_REFUSED_FOR_MEMORY, evicted + refused);
	counter_add(m->counters, COUNTER_AHEAD_DROPPED, dropped);
	log_event(LOG_EVENT_MEMORY_SHORT,
		  "evicted=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
		  " dropped=%" G_GUINT64_FORMAT " delayed=%" G_GUINT64_FORMAT
		  " held_kb=%zu peak_kb=%zu unsent_kb=%zu limit_kb=%zu"
		  " incomplete=%u",
		  evicted, refused, dropped, delayed, a->held / 1024,
		  a->peak / 1024, a->unsent_bytes / 1024, a->limit / 1024,
		  a->receiving.length);
}

static void report_connections(struct client_memory *m)
{
	const struct memory_account *a = &m->account;
	uint64_t closed = a->closed - m->closed;
	uint64_t turned_away = a->turned_away - m->turned_away;

	if (!closed && !turned_away)
		return;
	m->closed = a->closed;
	m->turned_away = a->turned_away;
	counter_add(m->counters, COUNTER_CONNECTIONS_CLOSED,
		    closed + turned_away);
	log_event(LOG_EVENT_CONNECTIONS_SHORT,
		  "closed=%" G_GUINT64_FORMAT " turned_away=%" G_GUINT64_FORMAT
		  " open=%u limit=%u",
		  closed, turned_away, a->connections, a->max_connections);
}

/*
 * Gives freed memory back to the kernel, after enough was freed, and once more
 * when no more is.
 */
static void trim(struct client_memory *m)
{
	size_t peak = memory_take_peak(&m->account);
	bool much;

	m->peak = MAX(m->peak, peak);
	much = m->peak - m->account.held >= TRIM_AFTER_BYTES;
	if (!much && !m->trim_again)
		return;
	m->trim_again = much;
	m->peak = m->account.held;
	malloc_trim(0);
}

static void on_timer(uv_timer_t *timer)
{
	struct client_memory *m = timer->data;

	report_evictions(m);
	report_connections(m);
	trim(m);
}

/*
 * Creates the account by the settings, and reports on it once a second. It is
 * never freed. The timer does not keep the loop alive.
 */
struct client_memory *client_memory_start(uv_loop_t *loop,
					  const struct node_settings *settings,
					  struct counter_set *counters)
{
	struct client_memory *m = g_new0(struct client_memory, 1);

	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	m->counters = counters;
	memory_init(&m->account, 0,
		    memory_default_connections(descriptor_limit()));
	client_memory_apply(m, settings);
	uv_timer_init(loop, &m->timer);
	m->timer.data = m;
	uv_timer_start(&m->timer, on_timer, REPORT_MS, REPORT_MS);
	uv_unref((uv_handle_t *)&m->timer);
	return m;
}
