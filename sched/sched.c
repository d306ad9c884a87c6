/*
 * The scheduler.  A job tries the free cells bound to its account first.
 * Then a gang reclaims cells of its account by evicting the jobs that
 * borrow them, before it tries other free accelerators; a job of one part
 * tries these two in the opposite order.  On accelerators that are not
 * bound to its account a job is a borrower and may be evicted.
 *
 * A job that has waited for hold_after_ms gets accelerators held for it:
 * as they become free they are kept from other work until it can start.
 */
#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"

#define NO_JOB UINT32_MAX
#define SERVICE_HALF_LIFE_MS 3600000u

struct account_state {
	uint32_t weight;
	uint32_t waiting;  /* jobs that wait or claim */
	uint32_t headroom; /* accelerators kept free for urgent work */
	uint64_t borrowed; /* accelerators that it borrows now */
	double service;	   /* weighted, decayed accelerator-milliseconds */
};

struct sched {
	struct inventory *inventory;
	enum place_policy policy;
	struct sched_limits limits;
	struct job *jobs;
	uint32_t jobs_len;
	uint32_t jobs_cap;
	uint32_t *free_jobs; /* handles to reuse */
	uint32_t free_len;
	struct account_state *accounts;
	uint32_t accounts_len;
	uint32_t holding_job; /* holds as a borrower; NO_JOB if there is none */
	bool hold_dropped;    /* its hold was dropped for a guarantee */
	uint64_t last_pass_ms;
};

static const char *const class_names[] = {
	[CLASS_URGENT] = "urgent",
	[CLASS_BATCH] = "batch",
	[CLASS_QUIET] = "quiet",
};

static void *xrealloc(void *p, size_t n)
{
	p = realloc(p, n);
	if (!p)
		abort();
	return p;
}

/* Parse the class name s into *c; false if there is no such class. */
bool job_class_parse(const char *s, enum job_class *c)
{
	for (int i = CLASS_URGENT; i <= CLASS_QUIET; i++) {
		if (!strcmp(s, class_names[i])) {
			*c = i;
			return true;
		}
	}
	return false;
}

/* Return the name of c in settings and answers. */
const char *job_class_name(enum job_class c)
{
	return class_names[c];
}

/* Create a scheduler for inventory, which it takes ownership of. */
struct sched *sched_create(struct inventory *inventory,
			   enum place_policy policy,
			   const struct sched_limits *limits)
{
	struct sched *s = xrealloc(NULL, sizeof(*s));

	memset(s, 0, sizeof(*s));
	s->inventory = inventory;
	s->policy = policy;
	s->limits = *limits;
	s->holding_job = NO_JOB;
	return s;
}

/* Free s, its inventory and its jobs. */
void sched_destroy(struct sched *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->jobs_len; i++)
		free(s->jobs[i].parts);
	inventory_destroy(s->inventory);
	free(s->jobs);
	free(s->free_jobs);
	free(s->accounts);
	free(s);
}

struct inventory *sched_inventory(struct sched *s)
{
	return s->inventory;
}

static struct account_state *ensure_account(struct sched *s, uint32_t a)
{
	while (s->accounts_len <= a) {
		s->accounts = xrealloc(s->accounts, (s->accounts_len +
						     1) * sizeof(*s->accounts));
		memset(&s->accounts[s->accounts_len], 0, sizeof(*s->accounts));
		s->accounts[s->accounts_len].weight = 1;
		s->accounts_len++;
	}
	return &s->accounts[a];
}

/* Set account's weight in fair sharing among borrowers; 0 counts as 1. */
void sched_set_weight(struct sched *s, uint32_t account, uint32_t weight)
{
	ensure_account(s, account)->weight = weight ? weight : 1;
}

/* Keep so many of account's accelerators free for its urgent work. */
void sched_set_headroom(struct sched *s, uint32_t account,
			uint32_t accelerators)
{
	ensure_account(s, account)->headroom = accelerators;
}

/*
 * Return the service that account has had as a borrower, in weighted and
 * decayed accelerator-milliseconds.  The account with the least goes first.
 */
double sched_service(const struct sched *s, uint32_t account)
{
	return account < s->accounts_len ? s->accounts[account].service : 0;
}

/* Set the borrowed service of account, carried over from another scheduler. */
void sched_set_service(struct sched *s, uint32_t account, double service)
{
	ensure_account(s, account)->service = service;
}

/*
 * Set the slots of a shape: none for parts with accelerators, so that a
 * guaranteed cell never waits for a slot, and at least 1 for others.
 */
static void normalize_shape(struct shape *f)
{
	if (f->accelerators)
		f->slots = 0;
	else if (!f->slots)
		f->slots = 1;
}

static uint32_t alloc_job(struct sched *s, const struct job_spec *spec)
{
	uint32_t i;

	if (s->free_len) {
		i = s->free_jobs[--s->free_len];
	} else {
		if (s->jobs_len == s->jobs_cap) {
			s->jobs_cap = s->jobs_cap ? s->jobs_cap * 2 : 64;
			s->jobs = xrealloc(s->jobs,
					   s->jobs_cap * sizeof(*s->jobs));
			s->free_jobs = xrealloc(s->free_jobs,
						s->jobs_cap * sizeof(uint32_t));
		}
		i = s->jobs_len++;
	}
	memset(&s->jobs[i], 0, sizeof(s->jobs[i]));
	s->jobs[i].spec = *spec;
	normalize_shape(&s->jobs[i].spec.shape);
	s->jobs[i].spec.shape.urgent = spec->job_class == CLASS_URGENT;
	s->jobs[i].in_use = true;
	s->jobs[i].parts =
		xrealloc(NULL, spec->shape.parts * sizeof(struct part));
	return i;
}

/*
 * Queue a job and write its handle to *job.  Refuse it if it would not
 * fit even into the empty domain, or if its account's queue is full.
 */
enum submit_result sched_submit(struct sched *s, const struct job_spec *spec,
				uint32_t *job)
{
	struct account_state *a = ensure_account(s, spec->shape.account);
	enum submit_result r = SUBMIT_OK;
	struct shape shape = spec->shape;
	struct part *tmp;

	normalize_shape(&shape);
	if (a->waiting >= s->limits.account_queue_max)
		return SUBMIT_QUEUE_FULL;
	tmp = xrealloc(NULL, (spec->shape.parts + 1) * sizeof(*tmp));
	if (!place_parts(s->inventory, &shape, PLACE_ALL, s->policy, tmp))
		r = SUBMIT_NEVER_FITS;
	free(tmp);
	if (r != SUBMIT_OK)
		return r;
	*job = alloc_job(s, spec);
	a->waiting++;
	return SUBMIT_OK;
}

static uint32_t total_accelerators(const struct job *j)
{
	return j->spec.shape.parts * j->spec.shape.accelerators;
}

/*
 * Classify how a job uses the given parts.  Quiet work never uses a
 * guarantee: it borrows wherever it runs.  A job without accelerators
 * is never evicted and counts as USAGE_URGENT.
 */
static enum usage classify_usage(const struct sched *s,
				 const struct job_spec *spec,
				 const struct part *parts)
{
	if (!spec->shape.accelerators)
		return USAGE_URGENT;
	if (spec->job_class == CLASS_QUIET)
		return USAGE_QUIET;
	for (uint32_t i = 0; i < spec->shape.parts; i++) {
		const struct upstream *u =
			inventory_upstream(s->inventory, parts[i].upstream);

		if (parts[i].mask &
		    ~upstream_bound_mask(u, spec->shape.account))
			return USAGE_BORROWED;
	}
	return spec->job_class == CLASS_URGENT ? USAGE_URGENT
					       : USAGE_GUARANTEED;
}

static bool is_borrowing(const struct job *j)
{
	return j->usage == USAGE_BORROWED || j->usage == USAGE_QUIET;
}

static void allocate_parts(struct sched *s, struct job *j)
{
	j->usage = classify_usage(s, &j->spec, j->parts);
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		inventory_allocate(s->inventory, j->parts[i].upstream,
				   j->parts[i].mask, j->spec.shape.slots,
				   j->usage, j->spec.shape.parts > 1);
	if (is_borrowing(j))
		ensure_account(s, j->spec.shape.account)->borrowed +=
			total_accelerators(j);
}

static void release_parts(struct sched *s, struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		inventory_release(s->inventory, j->parts[i].upstream,
				  j->parts[i].mask, j->spec.shape.slots,
				  j->usage);
	if (is_borrowing(j))
		ensure_account(s, j->spec.shape.account)->borrowed -=
			total_accelerators(j);
}

static void set_parts_held(struct sched *s, const struct job *j, bool on)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		inventory_set_held(s->inventory, j->parts[i].upstream,
				   j->parts[i].mask, on);
}

/* Add a job that already runs on the given parts; return its handle. */
uint32_t sched_adopt(struct sched *s, const struct job_spec *spec,
		     const struct part *parts)
{
	uint32_t i = alloc_job(s, spec);
	struct job *j = &s->jobs[i];

	ensure_account(s, spec->shape.account);
	memcpy(j->parts, parts, spec->shape.parts * sizeof(*parts));
	j->state = JOB_PLACED;
	allocate_parts(s, j);
	return i;
}

/* Return the job with this handle, or NULL if there is none. */
const struct job *sched_job(const struct sched *s, uint32_t job)
{
	if (job >= s->jobs_len || !s->jobs[job].in_use)
		return NULL;
	return &s->jobs[job];
}

/* Return an upper bound: all handles are below it. */
uint32_t sched_handle_count(const struct sched *s)
{
	return s->jobs_len;
}

/* Return the number of account's jobs that wait or claim. */
uint32_t sched_waiting_count(const struct sched *s, uint32_t account)
{
	return account < s->accounts_len ? s->accounts[account].waiting : 0;
}

static void release_resources(struct sched *s, uint32_t i)
{
	struct job *j = &s->jobs[i];

	switch (j->state) {
	case JOB_CLAIMING:
		set_parts_held(s, j, false);
		if (s->holding_job == i)
			s->holding_job = NO_JOB;
		ensure_account(s, j->spec.shape.account)->waiting--;
		break;
	case JOB_WAITING:
		ensure_account(s, j->spec.shape.account)->waiting--;
		break;
	case JOB_PLACED:
	case JOB_EVICTING:
		release_parts(s, j);
		break;
	}
}

/*
 * Exclude an upstream, on which the job failed, from its later attempts.
 * At most SHAPE_EXCLUDED_MAX are excluded; more are ignored.
 */
void sched_exclude_upstream(struct sched *s, uint32_t job, uint32_t upstream)
{
	struct shape *w = &s->jobs[job].spec.shape;

	for (uint32_t i = 0; i < w->excluded_len; i++)
		if (w->excluded[i] == upstream)
			return;
	if (w->excluded_len < SHAPE_EXCLUDED_MAX)
		w->excluded[w->excluded_len++] = upstream;
}

/* Record that a placed job was told to stop. */
void sched_mark_evicting(struct sched *s, uint32_t job)
{
	if (s->jobs[job].state == JOB_PLACED)
		s->jobs[job].state = JOB_EVICTING;
}

/* Release what a job uses or holds, and let it wait again. */
void sched_requeue(struct sched *s, uint32_t job)
{
	release_resources(s, job);
	s->jobs[job].state = JOB_WAITING;
	ensure_account(s, s->jobs[job].spec.shape.account)->waiting++;
}

/* Release what a job uses or holds, and free its handle. */
void sched_remove(struct sched *s, uint32_t job)
{
	release_resources(s, job);
	free(s->jobs[job].parts);
	s->jobs[job].parts = NULL;
	s->jobs[job].in_use = false;
	s->free_jobs[s->free_len++] = job;
}

/*
 * Classify the usage of running jobs again after the inventory's bindings
 * have changed.  Claiming jobs drop their holds and wait again.
 */
void sched_update_usage(struct sched *s)
{
	for (uint32_t i = 0; i < s->jobs_len; i++) {
		struct job *j = &s->jobs[i];

		if (!j->in_use)
			continue;
		switch (j->state) {
		case JOB_PLACED:
		case JOB_EVICTING:
			release_parts(s, j);
			allocate_parts(s, j);
			break;
		case JOB_CLAIMING:
			sched_requeue(s, i);
			break;
		case JOB_WAITING:
			break;
		}
	}
}

static void append_action(struct actions *a, enum action_tag tag, uint32_t job,
			  uint32_t cause)
{
	if (a->len == a->cap) {
		a->cap = a->cap ? a->cap * 2 : 16;
		a->list = xrealloc(a->list, a->cap * sizeof(*a->list));
	}
	a->list[a->len].tag = tag;
	a->list[a->len].job = job;
	a->list[a->len].cause = cause;
	a->len++;
}

/* Free the list of actions. */
void actions_clear(struct actions *a)
{
	free(a->list);
	memset(a, 0, sizeof(*a));
}

static void start_job(struct sched *s, uint32_t i, struct actions *out)
{
	struct job *j = &s->jobs[i];

	ensure_account(s, j->spec.shape.account)->waiting--;
	allocate_parts(s, j);
	j->state = JOB_PLACED;
	append_action(out, ACTION_START, i, i);
}

static bool parts_overlap(const struct job *a, const struct job *b)
{
	for (uint32_t i = 0; i < a->spec.shape.parts; i++)
		for (uint32_t k = 0; k < b->spec.shape.parts; k++)
			if (a->parts[i].upstream == b->parts[k].upstream &&
			    a->parts[i].mask & b->parts[k].mask)
				return true;
	return false;
}

/*
 * Report whether v is evicted for claimant, which holds own cells or not.
 * If not, the claimant waits until v ends.
 */
static bool is_evicted_for(const struct job *v, const struct job *claimant,
			   bool own)
{
	return own || (v->usage == USAGE_QUIET &&
		       claimant->spec.job_class != CLASS_QUIET);
}

/*
 * Hold the parts of job i until they are free.  If they are own cells of
 * its account, evict every job on them; otherwise evict only quiet work,
 * unless job i is quiet itself.
 */
static void claim_parts(struct sched *s, uint32_t i, bool own,
			struct actions *out)
{
	struct job *j = &s->jobs[i];

	j->state = JOB_CLAIMING;
	j->reclaims = own;
	set_parts_held(s, j, true);
	for (uint32_t k = 0; k < s->jobs_len; k++) {
		struct job *v = &s->jobs[k];

		if (!v->in_use || v->state != JOB_PLACED ||
		    !is_evicted_for(v, j, own) || !parts_overlap(j, v))
			continue;
		v->state = JOB_EVICTING;
		append_action(out, ACTION_EVICT, k, i);
	}
}

/* Report whether all accelerators that job j holds are free. */
static bool claim_is_ready(const struct sched *s, const struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++) {
		const struct upstream *u =
			inventory_upstream(s->inventory, j->parts[i].upstream);

		if (u->used & j->parts[i].mask)
			return false;
	}
	return true;
}

/* Report whether job j holds accelerators of an unusable upstream. */
static bool claim_lost_upstream(const struct sched *s, const struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		if (!inventory_upstream(s->inventory, j->parts[i].upstream)
			     ->usable)
			return true;
	return false;
}

static bool has_waiting_jobs(const struct sched *s)
{
	for (uint32_t i = 0; i < s->accounts_len; i++)
		if (s->accounts[i].waiting)
			return true;
	return false;
}

/*
 * Start the claiming jobs whose accelerators are free, and requeue those
 * that hold accelerators of an unusable upstream.
 */
static void advance_claims(struct sched *s, struct actions *out)
{
	if (!has_waiting_jobs(s))
		return; /* claiming jobs count as waiting */
	for (uint32_t i = 0; i < s->jobs_len; i++) {
		struct job *j = &s->jobs[i];

		if (!j->in_use || j->state != JOB_CLAIMING)
			continue;
		if (claim_lost_upstream(s, j)) {
			sched_requeue(s, i);
			continue;
		}
		if (!claim_is_ready(s, j))
			continue;
		set_parts_held(s, j, false);
		if (s->holding_job == i)
			s->holding_job = NO_JOB;
		start_job(s, i, out);
	}
}

static bool try_place(struct sched *s, struct job *j, enum place_scope scope)
{
	return place_parts(s->inventory, &j->spec.shape, scope, s->policy,
			   j->parts);
}

/* Report whether job j may reclaim cells under its account's guarantee. */
static bool may_reclaim(const struct sched *s, const struct job *j)
{
	return j->spec.shape.accelerators && s->policy == PLACE_POLICY_BOUND &&
	       j->spec.job_class != CLASS_QUIET;
}

/* Start job i at once if it fits within scope; true if it did. */
static bool try_start(struct sched *s, uint32_t i, enum place_scope scope,
		      struct actions *out)
{
	if (!try_place(s, &s->jobs[i], scope))
		return false;
	start_job(s, i, out);
	return true;
}

/*
 * Claim cells of job i's account from borrowers, and for an urgent job
 * also from the account's other work.  Return whether there were enough.
 */
static bool try_reclaim(struct sched *s, uint32_t i, struct actions *out)
{
	struct job *j = &s->jobs[i];

	if (!try_place(s, j, PLACE_OWN_RECLAIMABLE) &&
	    (j->spec.job_class != CLASS_URGENT ||
	     !try_place(s, j, PLACE_OWN_NONURGENT)))
		return false;
	claim_parts(s, i, true, out);
	return true;
}

/*
 * Try job i again without the hold of the borrowing job, since a guarantee
 * takes precedence over it.  If that does not help, restore the hold.
 */
static bool try_reclaim_held(struct sched *s, uint32_t i, struct actions *out)
{
	uint32_t holding_job = s->holding_job;

	if (holding_job == NO_JOB)
		return false;
	sched_requeue(s, holding_job);
	s->hold_dropped =
		try_start(s, i, PLACE_OWN_FREE, out) || try_reclaim(s, i, out);
	if (s->hold_dropped)
		return true;
	claim_parts(s, holding_job, false, out);
	s->holding_job = holding_job;
	return false;
}

/*
 * Start job i, or claim for it, under its account's guarantee.  A gang
 * reclaims own cells before it would borrow, since it cannot be evicted
 * from them; a job of one part borrows before it evicts another.
 */
static bool try_guarantee(struct sched *s, uint32_t i, struct actions *out)
{
	bool gang = s->jobs[i].spec.shape.parts > 1;

	if (!may_reclaim(s, &s->jobs[i]))
		return false;
	return try_start(s, i, PLACE_OWN_FREE, out) ||
	       (!gang && try_start(s, i, PLACE_ANY_FREE, out)) ||
	       try_reclaim(s, i, out) || try_reclaim_held(s, i, out);
}

/*
 * Start job i or claim its own cells and return true.  Otherwise return
 * false; if it has waited for long, hold accelerators for it.  Only one
 * borrowing job of the domain has such a hold at a time.
 */
static bool try_job(struct sched *s, uint32_t i, uint64_t now_ms,
		    struct actions *out)
{
	struct job *j = &s->jobs[i];

	if (try_guarantee(s, i, out))
		return true;
	if (try_start(s, i, PLACE_ANY_FREE, out))
		return true;
	if (s->policy == PLACE_POLICY_BOUND && s->holding_job == NO_JOB &&
	    j->spec.shape.accelerators &&
	    now_ms - j->spec.submitted_ms >= s->limits.hold_after_ms &&
	    try_place(s, j, PLACE_ANY_NONURGENT)) {
		s->holding_job = i;
		claim_parts(s, i, false, out);
	}
	return false;
}

struct queue_key {
	uint32_t job;
	enum job_class job_class;
	double service;
	uint64_t submitted_ms;
};

static int compare_queue_keys(const void *pa, const void *pb)
{
	const struct queue_key *a = pa, *b = pb;

	if (a->job_class != b->job_class)
		return a->job_class < b->job_class ? -1 : 1;
	if (a->service < b->service || a->service > b->service)
		return a->service < b->service ? -1 : 1;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms ? -1 : 1;
	return a->job < b->job ? -1 : a->job > b->job;
}

/* Add the service since the last pass, and decay what came before. */
static void update_service(struct sched *s, uint64_t now_ms)
{
	uint64_t dt = now_ms - s->last_pass_ms;
	double keep = 1.0 / (1.0 + (double)dt / SERVICE_HALF_LIFE_MS);

	for (uint32_t i = 0; i < s->accounts_len; i++) {
		struct account_state *a = &s->accounts[i];

		a->service = a->service * keep +
			     (double)a->borrowed * (double)dt / a->weight;
	}
	s->last_pass_ms = now_ms;
}

static uint32_t collect_waiting(struct sched *s, struct queue_key *keys)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->jobs_len; i++) {
		const struct job *j = &s->jobs[i];

		if (!j->in_use || j->state != JOB_WAITING)
			continue;
		keys[n].job = i;
		keys[n].job_class = j->spec.job_class;
		keys[n].submitted_ms = j->spec.submitted_ms;
		keys[n].service =
			s->policy == PLACE_POLICY_BOUND
				? s->accounts[j->spec.shape.account].service
				: 0;
		n++;
	}
	qsort(keys, n, sizeof(*keys), compare_queue_keys);
	return n;
}

static bool has_same_shape(const struct job *a, const struct job *b)
{
	return a->spec.job_class == b->spec.job_class &&
	       !memcmp(&a->spec.shape, &b->spec.shape, sizeof(a->spec.shape));
}

/*
 * Return a mask of headroom on u for the accounts that still lack some;
 * left holds what each account lacks, in accelerators, and is reduced.
 */
static uint32_t take_headroom(struct sched *s, const struct upstream *u,
			      uint32_t *left)
{
	uint32_t mask = 0;

	for (uint32_t k = 0; u->usable && k < u->bindings_len; k++) {
		uint32_t a = u->bindings[k].account;
		uint32_t free = u->bindings[k].mask & ~u->used & ~u->held;

		for (; a < s->accounts_len && left[a] && free; left[a]--) {
			mask |= free & -free;
			free &= free - 1;
		}
	}
	return mask;
}

/*
 * Choose the headroom of each account among the free accelerators bound
 * to it.  Borrowers and the account's other work do not start there.
 * Upstreams that are partly used come first, so that others stay whole.
 */
static void assign_headroom(struct sched *s)
{
	uint32_t *left = xrealloc(NULL, (s->accounts_len + 1) * sizeof(*left));

	for (uint32_t i = 0; i < s->accounts_len; i++)
		left[i] = s->accounts[i].headroom;
	for (int whole = 0; whole <= 1; whole++) {
		for (uint32_t i = 0; i < inventory_upstream_count(s->inventory);
		     i++) {
			const struct upstream *u =
				inventory_upstream(s->inventory, i);

			if (whole == !u->used)
				inventory_set_headroom(
					s->inventory, i,
					take_headroom(s, u, left));
		}
	}
	free(left);
}

#define FAILED_SHAPES_MAX 64

/*
 * Try every waiting job once, in queue order.  A job with the class and
 * shape of one that has failed in this pass is skipped.
 */
static void try_waiting(struct sched *s, uint64_t now_ms, struct actions *out)
{
	uint32_t failed[FAILED_SHAPES_MAX], failed_len = 0;
	struct queue_key *keys =
		xrealloc(NULL, (s->jobs_len + 1) * sizeof(*keys));
	uint32_t n = collect_waiting(s, keys);

	for (uint32_t k = 0; k < n; k++) {
		struct job *j = &s->jobs[keys[k].job];
		bool skip = false;

		for (uint32_t f = 0; f < failed_len && !skip; f++)
			skip = has_same_shape(j, &s->jobs[failed[f]]);
		if (skip || j->state != JOB_WAITING)
			continue;
		if (!try_job(s, keys[k].job, now_ms, out) &&
		    failed_len < FAILED_SHAPES_MAX)
			failed[failed_len++] = keys[k].job;
	}
	free(keys);
}

/*
 * Run a scheduling pass at now_ms (monotonic).  Append to out the jobs to
 * start, on the accelerators in their parts, and the jobs to evict.  The
 * caller reports the end of a job by sched_requeue or sched_remove.
 */
void sched_decide(struct sched *s, uint64_t now_ms, struct actions *out)
{
	update_service(s, now_ms);
	advance_claims(s, out);
	assign_headroom(s);
	if (!has_waiting_jobs(s))
		return;
	do {
		/* a dropped hold may let jobs start that were tried before */
		s->hold_dropped = false;
		try_waiting(s, now_ms, out);
	} while (s->hold_dropped);
}
