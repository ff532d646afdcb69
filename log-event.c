#include "log-event.h"

#include <execinfo.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LOG_DOMAIN "chivegw"
#define MAX_FRAMES 32
#define MAX_LINE 256
#define MAX_HELD_BYTES (128 * 1024)

static const char *node_name = "-";
static GString *held; /* lines not written yet */
static bool buffered;
static unsigned int dropped;

struct event_row {
	enum log_event_id event;
	GLogLevelFlags level;
	const char *text;
};

/* An error is logged as critical, since GLib's own error level aborts. */
#define LEVEL_MESSAGE G_LOG_LEVEL_MESSAGE
#define LEVEL_WARNING G_LOG_LEVEL_WARNING
#define LEVEL_ERROR G_LOG_LEVEL_CRITICAL

static const struct event_row rows[] = {
#define X(id, number, level, text) {LOG_EVENT_##id, LEVEL_##level, text},
	LOG_EVENT_LIST(X)
#undef X
};

static const struct event_row *find_row(enum log_event_id event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		if (rows[i].event == event)
			return &rows[i];
	return &rows[0];
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return "info";
}

static const char *field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!g_strcmp0(fields[i].key, key))
			return fields[i].value;
	return "-";
}

static void append_time(GString *out)
{
	struct timespec now;
	struct tm tm;
	char text[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_append_printf(out, "%s.%06ldZ", text, now.tv_nsec / 1000);
}

/* One line an event: time, level, node, number, text. */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer user)
{
	(void)user;
	if (held->len > MAX_HELD_BYTES) {
		dropped++;
		return G_LOG_WRITER_HANDLED;
	}
	append_time(held);
	g_string_append_printf(held, " %s %s E%s %s\n", level_name(level),
			       node_name, field(fields, n, "EVENT"),
			       field(fields, n, "MESSAGE"));
	if (!buffered)
		log_event_flush();
	return G_LOG_WRITER_HANDLED;
}

/*
 * Writes the lines held to standard output, as far as it takes them without
 * blocking. Lines that did not fit were dropped; their number is logged.
 */
void log_event_flush(void)
{
	ssize_t n;

	if (!held || !held->len)
		return;
	n = write(STDOUT_FILENO, held->str, held->len);
	if (n > 0)
		g_string_erase(held, 0, n);
	if (dropped && held->len < MAX_HELD_BYTES / 2) {
		unsigned int count = dropped;

		dropped = 0;
		log_event(LOG_EVENT_LOG_DROPPED, "lines=%u", count);
	}
}

/* Sends all logs of the process to standard output, one line each. */
void log_event_setup(const char *node)
{
	node_name = g_strdup(node);
	held = g_string_new(NULL);
	g_log_set_writer_func(write_line, NULL, NULL);
}

/*
 * From now on lines wait for log_event_flush(), and standard output never blocks
 * the process.
 */
void log_event_start_buffering(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffered = true;
}

/*
 * Writes what is held, the signal and the calls that led to it, and lets the
 * signal end the process.
 */
static void on_crash(int number)
{
	void *frames[MAX_FRAMES];
	char line[MAX_LINE];
	ssize_t written = 0;
	int n, len;

	/* None of these is promised to be safe here; the process ends anyway. */
	/* NOLINTBEGIN(bugprone-signal-handler) */
	signal(number, SIG_DFL);
	n = backtrace(frames, MAX_FRAMES);
	len = snprintf(line, sizeof(line),
		       "- error %s E%d node ends by a signal: signal=%d\n",
		       node_name, LOG_EVENT_CRASHED, number);
	if (held)
		written = write(STDOUT_FILENO, held->str, held->len);
	if (written >= 0)
		written = write(STDOUT_FILENO, line, (size_t)len);
	if (written >= 0)
		backtrace_symbols_fd(frames, n, STDOUT_FILENO);
	raise(number);
	/* NOLINTEND(bugprone-signal-handler) */
}

/* Makes a crash leave a trace in the log. */
void log_event_catch_crashes(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		signal(signals[i], on_crash);
}

/* Logs a numbered event with its particulars. */
void log_event(enum log_event_id event, const char *fmt, ...)
{
	const struct event_row *row = find_row(event);
	g_autofree char *particulars = NULL;
	g_autofree char *message = NULL;
	char number[16];
	va_list ap;

	va_start(ap, fmt);
	particulars = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	message = g_strdup_printf("%s: %s", row->text, particulars);
	snprintf(number, sizeof(number), "%d", event);
	{
		const GLogField fields[] = {
			{"MESSAGE", message, -1},
			{"EVENT", number, -1},
			{"GLIB_DOMAIN", LOG_DOMAIN, -1},
		};

		g_log_structured_array(row->level, fields,
				       G_N_ELEMENTS(fields));
	}
}
