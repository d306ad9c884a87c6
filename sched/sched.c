/*
 * The scheduler.  A job tries, in this order: its account's own cells
 * that are free; its own cells, by evicting whoever borrows them;
 * whatever else is free, which it then borrows and may be evicted from.
 * A job that has waited long has room held for it: what becomes free
 * there is not given to later work.
 */
#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"

#define NO_JOB UINT32_MAX
#define SERVICE_HALF_LIFE_MS 3600000u

struct account_state {
	uint32_t weight;
	uint32_t waiting;
	uint32_t headroom; /* accelerators kept for urgent work */
	uint64_t borrowed; /* accelerators in use now */
	double service;	   /* accelerator-milliseconds, fading */
};

struct sched {
	struct inventory *inventory;
	enum place_policy policy;
	struct sched_limits limits;
	struct job *jobs;
	uint32_t jobs_len;
	uint32_t jobs_cap;
	uint32_t *free_jobs;
	uint32_t free_len;
	struct account_state *accounts;
	uint32_t accounts_len;
	uint32_t holding_job; /* the borrowing job that room is held for */
	bool hold_dropped;    /* room held for a borrower was given up */
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

/* Read a class's name into *c; false when there is no such class. */
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

/* Return the word for c in settings and answers. */
const char *job_class_name(enum job_class c)
{
	return class_names[c];
}

/* Create a scheduler over site, which it owns from now on. */
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

/* Free s, its site and its jobs. */
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

/* Return the site that s decides for. */
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

/* Set account's weight in sharing what is borrowed; at least 1. */
void sched_set_weight(struct sched *s, uint32_t account, uint32_t weight)
{
	ensure_account(s, account)->weight = weight ? weight : 1;
}

/* Keep some of account's free accelerators for its urgent work. */
void sched_set_headroom(struct sched *s, uint32_t account,
			uint32_t accelerators)
{
	ensure_account(s, account)->headroom = accelerators;
}

/* Return the borrowed service of account: what orders its turn. */
double sched_service(const struct sched *s, uint32_t account)
{
	return account < s->accounts_len ? s->accounts[account].service : 0;
}

/* Set the borrowed service of account, as an earlier scheduler had it. */
void sched_set_service(struct sched *s, uint32_t account, double service)
{
	ensure_account(s, account)->service = service;
}

/*
 * Slots are for work without accelerators: a part that has some takes no
 * slot, so that a guaranteed cell never waits for one.
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
 * Take a job into the queue and write its handle to *job.  Refuse one
 * that could never fit the domain, or one too many for its account.
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
 * Return how a job that occupies these parts uses them.  Quiet work
 * never calls on a guarantee: it borrows wherever it runs.
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

/* Take in a job that was found running on the given parts. */
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

/* Return a job for reading; NULL when the handle is not in use. */
const struct job *sched_job(const struct sched *s, uint32_t job)
{
	if (job >= s->jobs_len || !s->jobs[job].in_use)
		return NULL;
	return &s->jobs[job];
}

/* Return one more than the largest handle. */
uint32_t sched_handle_count(const struct sched *s)
{
	return s->jobs_len;
}

/* Return the number of jobs of account that wait. */
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

/* Keep later attempts of a job off an upstream that it failed on. */
void sched_exclude_upstream(struct sched *s, uint32_t job, uint32_t upstream)
{
	struct shape *w = &s->jobs[job].spec.shape;

	for (uint32_t i = 0; i < w->excluded_len; i++)
		if (w->excluded[i] == upstream)
			return;
	if (w->excluded_len < SHAPE_EXCLUDED_MAX)
		w->excluded[w->excluded_len++] = upstream;
}

/* Note that a placed job was told to stop. */
void sched_mark_evicting(struct sched *s, uint32_t job)
{
	if (s->jobs[job].state == JOB_PLACED)
		s->jobs[job].state = JOB_EVICTING;
}

/* Give a job's places back and let it wait again. */
void sched_requeue(struct sched *s, uint32_t job)
{
	release_resources(s, job);
	s->jobs[job].state = JOB_WAITING;
	ensure_account(s, s->jobs[job].spec.shape.account)->waiting++;
}

/* Give a job's places back and forget it. */
void sched_remove(struct sched *s, uint32_t job)
{
	release_resources(s, job);
	free(s->jobs[job].parts);
	s->jobs[job].parts = NULL;
	s->jobs[job].in_use = false;
	s->free_jobs[s->free_len++] = job;
}

/* Judge anew who borrows, after the site's bindings have changed. */
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

/* Report whether job v is stopped for a claim, or waited for. */
static bool is_evicted_for(const struct job *v, const struct job *claimant,
			   bool own)
{
	return own || (v->usage == USAGE_QUIET &&
		       claimant->spec.job_class != CLASS_QUIET);
}

/*
 * Hold the places of claim i.  When they are its account's own, evict
 * every job that is in the way; otherwise only quiet work.
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

/* Report whether nothing uses the places that job j holds any more. */
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

/* Report whether a claim stands on an upstream that is no longer usable. */
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

static void advance_claims(struct sched *s, struct actions *out)
{
	if (!has_waiting_jobs(s))
		return; /* a claim counts as waiting */
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

/* Report whether job j may call on its account's guarantee. */
static bool may_reclaim(const struct sched *s, const struct job *j)
{
	return j->spec.shape.accelerators && s->policy == PLACE_POLICY_BOUND &&
	       j->spec.job_class != CLASS_QUIET;
}

/* Start job i on what is free; true when it did. */
static bool try_start(struct sched *s, uint32_t i, enum place_scope scope,
		      struct actions *out)
{
	if (!try_place(s, &s->jobs[i], scope))
		return false;
	start_job(s, i, out);
	return true;
}

/* Claim the account's own cells from others; true when it did. */
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

/* Call on own cells in which room is held for a borrower: it yields. */
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
 * Try job i's own free cells; then, for a gang, its own cells by
 * eviction, since there it cannot be evicted itself.  A single part takes
 * what is free anywhere before it evicts.
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

/* Add the service since the last decision, and let old service fade. */
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

/* Mark headroom on one upstream, as far as accounts lack some. */
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
 * Mark, of each account's free accelerators, as many as it keeps for
 * urgent work: borrowers and its own other work go round them.  They are
 * taken from upstreams that are broken already, where there are some.
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

/* Try every waiting job once, in turn. */
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
 * Decide for now_ms (monotonic): append to out the jobs to start, whose
 * parts say where, and the jobs to evict.  The caller reports back with
 * sched_requeue and sched_remove.
 */
void sched_decide(struct sched *s, uint64_t now_ms, struct actions *out)
{
	update_service(s, now_ms);
	advance_claims(s, out);
	assign_headroom(s);
	if (!has_waiting_jobs(s))
		return;
	do {
		/* held room that was given up may serve an earlier job too */
		s->hold_dropped = false;
		try_waiting(s, now_ms, out);
	} while (s->hold_dropped);
}
