/*
 * Stand-in for the part of the platform that keeps a process running on a
 * machine with little memory. It starts the program, kills it when it holds more
 * than the limit, and starts it again after half a second. Each kill is a line on
 * standard output. SIGTERM ends both.
 *
 * Usage: keeper NAME LIMIT_KB PROGRAM ARGUMENT...
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define POLL_US 1000
#define RESTART_US 500000

static volatile sig_atomic_t stopping;

static void on_term(int signo)
{
	(void)signo;
	stopping = 1;
}

/* Return the resident memory of a process in kB; 0 if it has ended. */
static long resident_kb(pid_t pid)
{
	char path[64];
	long total, resident = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%ld %ld", &total, &resident) != 2)
		resident = 0;
	fclose(f);
	return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

static pid_t start(char **argv)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execv(argv[0], argv);
	_exit(127);
}

static long long wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

int main(int argc, char **argv)
{
	long limit_kb;

	if (argc < 4) {
		fprintf(stderr, "usage: keeper NAME LIMIT_KB PROGRAM ARG...\n");
		return 2;
	}
	limit_kb = atol(argv[2]);
	signal(SIGTERM, on_term);
	setvbuf(stdout, NULL, _IOLBF, 0);
	while (!stopping) {
		pid_t pid = start(argv + 3);
		int status;

		while (!stopping && waitpid(pid, &status, WNOHANG) == 0) {
			long kb = resident_kb(pid);

			if (kb > limit_kb) {
				kill(pid, SIGKILL);
				waitpid(pid, &status, 0);
				printf("%lld keeper %s killed at %ld kB, over "
				       "%ld\n",
				       wall_ms(), argv[1], kb, limit_kb);
				break;
			}
			usleep(POLL_US);
		}
		if (stopping) {
			kill(pid, SIGKILL);
			waitpid(pid, &status, 0);
		} else {
			usleep(RESTART_US);
		}
	}
	return 0;
}
