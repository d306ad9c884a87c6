/* The simulation of the scheduler: a seed plays the same on each processor. */
#include <glib.h>
#include <string.h>

#include "test/site.h"

/* Guards against seeds that play differently on another processor. */
static void a_seed_simulates_the_same_losses_everywhere(void **state)
{
	char *argv[] = {"out/model", "mix",	"--deployment",
			"midlands",  "--seeds", "1",
			NULL};
	const char *expected =
		"\nfirst_fit     busy 0.761 fragmentation 0.741 largest 19.7 ";
	char *text = NULL;

	(void)state;
	assert_true(g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, &text, NULL,
				 NULL, NULL));
	if (!strstr(text, expected))
		fail_msg("expected %s, found:\n%s", expected + 1, text);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_seed_simulates_the_same_losses_everywhere),
	};

	cmocka_set_test_filter(getenv("TEST_FILTER"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
