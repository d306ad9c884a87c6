/*
 * A stateful fuzz test of the scheduler.  The input bytes select
 * operations: submit, decide, finish, stop, cancel, lose and regain an
 * upstream, adopt, rebind.  After each operation an oracle recomputes the
 * invariants by brute force.
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/bind.h"
#include "sched/sched.h"

#define UPSTREAM_COUNT 10
#define RACK_UPSTREAM_COUNT 4
#define ACCOUNT_COUNT 4
#define SLOT_COUNT 10
#define QUICK_SLOT_COUNT 2

struct input {
	const uint8_t *at;
	size_t left;
};

struct fuzz_state {
	struct sched *s;
	uint64_t now_ms;
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static uint8_t next_byte(struct input *in)
{
	if (!in->left)
		return 0;
	in->left--;
	return *in->at++;
}

static void fail(const char *what)
{
	fprintf(stderr, "oracle: %s\n", what);
	abort();
}

static void bind_random_cells(struct inventory *inv, struct input *in)
{
	struct cell c;

	for (uint32_t a = 0; a < ACCOUNT_COUNT - 1; a++) {
		uint8_t b = next_byte(in);

		for (uint32_t n = b / 4 % 4; n; n--)
			if (bind_find_cell(inv, b % 4, a, &c))
				bind_apply_cell(inv, &c);
	}
}

static struct fuzz_state create_state(struct input *in)
{
	struct sched_limits l = {.hold_after_ms = 500, .account_queue_max = 40};
	struct inventory *inv = inventory_create();
	struct fuzz_state w = {0};
	char name[32], rack[32];

	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		snprintf(name, sizeof(name), "u%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / RACK_UPSTREAM_COUNT);
		inventory_add_upstream(inv, name, rack, i % 3 ? 8 : 4,
				       SLOT_COUNT, QUICK_SLOT_COUNT);
	}
	bind_random_cells(inv, in);
	w.s = sched_create(inv, PLACE_POLICY_BOUND, &l);
	sched_set_headroom(w.s, 0, 2);
	w.now_ms = 1;
	return w;
}

/* Return the first job in state st from handle b on; UINT32_MAX if none. */
static uint32_t pick_job(struct fuzz_state *w, uint8_t b, enum job_state st)
{
	uint32_t n = sched_handle_count(w->s);

	for (uint32_t i = 0; i < n; i++) {
		uint32_t k = (i + b) % n;
		const struct job *j = sched_job(w->s, k);

		if (j && j->state == st)
			return k;
	}
	return UINT32_MAX;
}

static bool occupies_parts(const struct job *j)
{
	return j && (j->state == JOB_PLACED || j->state == JOB_EVICTING);
}

/* Check that no accelerator is used twice and the masks match the jobs. */
static void check_masks(struct fuzz_state *w)
{
	uint32_t used[UPSTREAM_COUNT] = {0}, slots[UPSTREAM_COUNT] = {0};
	const struct inventory *inv = sched_inventory(w->s);

	for (uint32_t i = 0; i < sched_handle_count(w->s); i++) {
		const struct job *j = sched_job(w->s, i);

		for (uint32_t p = 0;
		     occupies_parts(j) && p < j->spec.shape.parts; p++) {
			uint32_t u = j->parts[p].upstream;

			if (used[u] & j->parts[p].mask)
				fail("an accelerator is used twice");
			if ((uint32_t)__builtin_popcount(j->parts[p].mask) !=
			    j->spec.shape.accelerators)
				fail("a part lacks accelerators");
			used[u] |= j->parts[p].mask;
			slots[u] += j->spec.shape.slots;
		}
	}
	for (uint32_t u = 0; u < UPSTREAM_COUNT; u++) {
		const struct upstream *up = inventory_upstream(inv, u);

		if (up->used != used[u] || used[u] & ~up->all)
			fail("the inventory's masks are wrong");
		if (up->slots_used != slots[u])
			fail("the inventory's slots are wrong");
		if (slots[u] > SLOT_COUNT - QUICK_SLOT_COUNT)
			fail("quick slots were taken");
	}
}

/* Check that work which does not borrow uses only cells of its account. */
static void check_guaranteed_usage(struct fuzz_state *w)
{
	const struct inventory *inv = sched_inventory(w->s);

	for (uint32_t i = 0; i < sched_handle_count(w->s); i++) {
		const struct job *j = sched_job(w->s, i);

		if (!occupies_parts(j) || j->usage == USAGE_BORROWED ||
		    j->usage == USAGE_QUIET)
			continue;
		for (uint32_t p = 0; p < j->spec.shape.parts; p++) {
			const struct upstream *u =
				inventory_upstream(inv, j->parts[p].upstream);

			if (j->parts[p].mask &
			    ~upstream_bound_mask(u, j->spec.shape.account))
				fail("cells of another account are used "
				     "as guaranteed");
		}
	}
}

/* Count the parts that fit the account's cells without their borrowers. */
static uint32_t count_reclaimable_parts(const struct inventory *inv,
					const struct shape *f)
{
	uint32_t parts = 0;

	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		const struct upstream *u = inventory_upstream(inv, i);
		uint32_t m = upstream_bound_mask(u, f->account) & ~u->held &
			     (u->all & (~u->used | u->borrowed));
		uint32_t n = __builtin_popcount(m) / f->accelerators;

		for (uint32_t k = 0; k < f->excluded_len; k++)
			if (f->excluded[k] == i)
				n = 0;
		if (u->usable)
			parts += n;
	}
	return parts;
}

/* Check that after a pass no job waits that could reclaim own cells. */
static void check_guarantees_are_met(struct fuzz_state *w)
{
	for (uint32_t i = 0; i < sched_handle_count(w->s); i++) {
		const struct job *j = sched_job(w->s, i);

		if (!j || j->state != JOB_WAITING ||
		    !j->spec.shape.accelerators ||
		    j->spec.job_class == CLASS_QUIET)
			continue; /* quiet work never uses a guarantee */
		if (count_reclaimable_parts(sched_inventory(w->s),
					    &j->spec.shape) >=
		    j->spec.shape.parts)
			fail("an account waits for its own cells");
	}
}

/* Report whether all accelerators of job j are bound to its account. */
static bool claims_own_cells(struct fuzz_state *w, const struct job *j)
{
	for (uint32_t p = 0; p < j->spec.shape.parts; p++) {
		const struct upstream *u = inventory_upstream(
			sched_inventory(w->s), j->parts[p].upstream);

		if (j->parts[p].mask &
		    ~upstream_bound_mask(u, j->spec.shape.account))
			return false;
	}
	return true;
}

/*
 * Check that only borrowers are evicted, and only by the account of the
 * cells; guaranteed work only for its own account's urgent work.
 */
static void check_actions(struct fuzz_state *w, const struct actions *a)
{
	for (uint32_t i = 0; i < a->len; i++) {
		const struct job *v = sched_job(w->s, a->list[i].job);
		const struct job *c = sched_job(w->s, a->list[i].cause);

		if (a->list[i].tag != ACTION_EVICT)
			continue;
		if (v->usage == USAGE_URGENT)
			fail("urgent work was evicted");
		if (v->usage == USAGE_BORROWED && !claims_own_cells(w, c))
			fail("work was evicted for a borrower");
		if (v->usage == USAGE_GUARANTEED &&
		    (c->spec.job_class != CLASS_URGENT ||
		     c->spec.shape.account != v->spec.shape.account))
			fail("guaranteed work was evicted for another");
	}
}

static void decide(struct fuzz_state *w)
{
	struct actions a = {0};

	sched_decide(w->s, w->now_ms, &a);
	check_actions(w, &a);
	actions_clear(&a);
	check_guarantees_are_met(w);
}

static void submit(struct fuzz_state *w, struct input *in)
{
	uint8_t b = next_byte(in), c = next_byte(in);
	struct job_spec spec = {
		.job_class = c % 3,
		.shape = {.parts = 1 + b % 12,
			  .accelerators = (b / 16) % 9,
			  .slots = 1 + c / 64 % 2,
			  .account = c / 4 % ACCOUNT_COUNT},
		.submitted_ms = w->now_ms,
	};
	uint32_t job;

	sched_submit(w->s, &spec, &job);
}

static void adopt(struct fuzz_state *w, struct input *in)
{
	uint32_t i = pick_job(w, next_byte(in), JOB_PLACED);
	struct part parts[16];
	struct job_spec spec;

	if (i == UINT32_MAX)
		return;
	spec = sched_job(w->s, i)->spec;
	memcpy(parts, sched_job(w->s, i)->parts,
	       spec.shape.parts * sizeof(*parts));
	sched_remove(w->s, i);
	sched_adopt(w->s, &spec, parts);
}

static void rebind(struct fuzz_state *w, struct input *in)
{
	inventory_unbind_all(sched_inventory(w->s));
	bind_random_cells(sched_inventory(w->s), in);
	sched_update_usage(w->s);
}

static void run_operation(struct fuzz_state *w, struct input *in)
{
	uint8_t op = next_byte(in);
	uint32_t i;

	switch (op % 10) {
	case 0:
	case 1:
	case 2:
		submit(w, in);
		break;
	case 3:
	case 4:
		w->now_ms += next_byte(in) * 4;
		decide(w);
		break;
	case 5:
		i = pick_job(w, next_byte(in), JOB_PLACED);
		if (i != UINT32_MAX)
			sched_remove(w->s, i);
		break;
	case 6:
		i = pick_job(w, next_byte(in), JOB_EVICTING);
		if (i != UINT32_MAX)
			sched_requeue(w->s, i);
		break;
	case 7:
		i = pick_job(w, next_byte(in),
			     op & 16 ? JOB_CLAIMING : JOB_WAITING);
		if (i != UINT32_MAX)
			sched_remove(w->s, i);
		break;
	case 8:
		inventory_set_usable(sched_inventory(w->s),
				     next_byte(in) % UPSTREAM_COUNT, op & 16);
		break;
	case 9:
		if (op & 16)
			rebind(w, in);
		else
			adopt(w, in);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct input in = {data, len};
	struct fuzz_state w = create_state(&in);

	while (in.left) {
		run_operation(&w, &in);
		check_masks(&w);
		check_guaranteed_usage(&w);
	}
	sched_destroy(w.s);
	return 0;
}
