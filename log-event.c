#include "log-event.h"

#include <execinfo.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LOG_DOMAIN "chivegw"
#define MAX_BACKTRACE_FRAMES 32
#define MAX_CRASH_LINE_BYTES 256
#define MAX_PENDING_BYTES (128 * 1024)

static const char *node_name = "-";
static GString *pending; /* lines not written to standard output yet */
static bool buffering; /* lines wait for log_event_flush() */
static unsigned int dropped_lines; /* since the last LOG_DROPPED event */

struct event_row {
	enum log_event_id event;
	GLogLevelFlags level;
	const char *text;
};

/* Errors have GLib's critical level, since its error level aborts. */
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

static const char *find_field(const GLogField *fields, gsize n, const char *key)
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

/* Appends a text, with control characters as \xNN: others wrote parts of it. */
static void append_printable(GString *out, const char *text)
{
	const char *run = text;

	for (; *text; text++) {
		if (!g_ascii_iscntrl(*text))
			continue;
		g_string_append_len(out, run, text - run);
		g_string_append_printf(out, "\\x%02x", (unsigned char)*text);
		run = text + 1;
	}
	g_string_append_len(out, run, text - run);
}

/*
 * Appends one line to the pending ones: time, level, node, number, text. Drops
 * it if more than MAX_PENDING_BYTES are pending.
 */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer user)
{
	(void)user;
	if (pending->len > MAX_PENDING_BYTES) {
		dropped_lines++;
		return G_LOG_WRITER_HANDLED;
	}
	append_time(pending);
	g_string_append_printf(pending, " %s %s E%s ", level_name(level),
			       node_name, find_field(fields, n, "EVENT"));
	append_printable(pending, find_field(fields, n, "MESSAGE"));
	g_string_append_c(pending, '\n');
	if (!buffering)
		log_event_flush();
	return G_LOG_WRITER_HANDLED;
}

/*
 * Writes pending lines to standard output, as many bytes as it accepts. Logs
 * the number of dropped lines once half of the space is free again.
 */
void log_event_flush(void)
{
	ssize_t n;

	if (!pending || !pending->len)
		return;
	n = write(STDOUT_FILENO, pending->str, pending->len);
	if (n > 0)
		g_string_erase(pending, 0, n);
	if (dropped_lines && pending->len < MAX_PENDING_BYTES / 2) {
		unsigned int count = dropped_lines;

		dropped_lines = 0;
		log_event(LOG_EVENT_LOG_DROPPED, "lines=%u", count);
	}
}

/*
 * Directs all GLib logs of the process to standard output, one line each.
 * `node` is the node's name in each line.
 */
void log_event_setup(const char *node)
{
	node_name = g_strdup(node);
	pending = g_string_new(NULL);
	g_log_set_writer_func(write_line, NULL, NULL);
}

/*
 * Makes lines wait for log_event_flush() from now on and standard output
 * non-blocking, so that a stalled reader never blocks the process.
 */
void log_event_start_buffering(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffering = true;
}

/*
 * Writes the pending lines, the signal and a backtrace, then lets the signal
 * terminate the process.
 */
static void on_crash(int number)
{
	void *frames[MAX_BACKTRACE_FRAMES];
	char line[MAX_CRASH_LINE_BYTES];
	ssize_t written = 0;
	int n, len;

	/* Not all async-signal-safe, but the process terminates anyway. */
	/* NOLINTBEGIN(bugprone-signal-handler) */
	signal(number, SIG_DFL);
	n = backtrace(frames, MAX_BACKTRACE_FRAMES);
	len = snprintf(
		line, sizeof(line),
		"- error %s E%d node terminated by a signal: signal=%d\n",
		node_name, LOG_EVENT_CRASHED, number);
	if (pending)
		written = write(STDOUT_FILENO, pending->str, pending->len);
	if (written >= 0)
		written = write(STDOUT_FILENO, line, (size_t)len);
	if (written >= 0)
		backtrace_symbols_fd(frames, n, STDOUT_FILENO);
	raise(number);
	/* NOLINTEND(bugprone-signal-handler) */
}

/* Makes fatal signals leave an event and a backtrace in the log. */
void log_event_catch_crashes(void)
{
	static const int signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		signal(signals[i], on_crash);
}

/* Logs a numbered event; the format gives its key=value details. */
void log_event(enum log_event_id event, const char *fmt, ...)
{
	const struct event_row *row = find_row(event);
	g_autofree char *details = NULL;
	g_autofree char *message = NULL;
	char number[16];
	va_list ap;

	va_start(ap, fmt);
	details = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	message = g_strdup_printf("%s: %s", row->text, details);
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
