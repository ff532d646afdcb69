/*
 * Preloaded into a process, makes its time of day differ from the true one by the
 * seconds that the file CLOCK_STEP_FILE holds, also while it runs. The steady clocks
 * are left as they are.
 */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_US 1000

static time_t step_s(void)
{
	const char *name = getenv("CLOCK_STEP_FILE");
	char text[32] = "";
	int fd = name ? open(name, O_RDONLY | O_CLOEXEC) : -1;

	if (fd < 0)
		return 0;
	if (read(fd, text, sizeof(text) - 1) < 0)
		text[0] = '\0';
	close(fd);
	return strtol(text, NULL, 10);
}

/* Stands in for the function of the C library. */
int clock_gettime(clockid_t clock, struct timespec *out)
{
	static int (*real)(clockid_t, struct timespec *);
	int rc;

	if (!real)
		real = (int (*)(clockid_t, struct timespec *))dlsym(
			RTLD_NEXT, "clock_gettime");
	rc = real(clock, out);
	if (!rc && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
		out->tv_sec += step_s();
	return rc;
}

/* Stands in for the function of the C library. */
int gettimeofday(struct timeval *out, void *zone)
{
	struct timespec now;

	(void)zone;
	clock_gettime(CLOCK_REALTIME, &now);
	out->tv_sec = now.tv_sec;
	out->tv_usec = now.tv_nsec / NS_PER_US;
	return 0;
}

/* Stands in for the function of the C library. */
time_t time(time_t *out)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	if (out)
		*out = now.tv_sec;
	return now.tv_sec;
}
