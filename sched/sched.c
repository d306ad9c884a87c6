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
	struct site *site;
	enum policy policy;
	struct sched_limits limits;
	struct job *jobs;
	uint32_t jobs_len;
	uint32_t jobs_cap;
	uint32_t *free_jobs;
	uint32_t free_len;
	struct account_state *accounts;
	uint32_t accounts_len;
	uint32_t holder;   /* the borrowing job that room is held for */
	bool held_dropped; /* room held for a borrower was given up */
	uint64_t decided_ms;
};

static const char *const class_names[] = {
	[CLASS_URGENT] = "urgent",
	[CLASS_BATCH] = "batch",
	[CLASS_QUIET] = "quiet",
};

static void *grow(void *p, size_t n)
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
struct sched *sched_create(struct site *site, enum policy policy,
			   const struct sched_limits *limits)
{
	struct sched *s = grow(NULL, sizeof(*s));

	memset(s, 0, sizeof(*s));
	s->site = site;
	s->policy = policy;
	s->limits = *limits;
	s->holder = NO_JOB;
	return s;
}

/* Free s, its site and its jobs. */
void sched_destroy(struct sched *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->jobs_len; i++)
		free(s->jobs[i].parts);
	site_destroy(s->site);
	free(s->jobs);
	free(s->free_jobs);
	free(s->accounts);
	free(s);
}

/* Return the site that s decides for. */
struct site *sched_site(struct sched *s)
{
	return s->site;
}

static struct account_state *account_of(struct sched *s, uint32_t a)
{
	while (s->accounts_len <= a) {
		s->accounts = grow(s->accounts, (s->accounts_len + 1) *
							sizeof(*s->accounts));
		memset(&s->accounts[s->accounts_len], 0, sizeof(*s->accounts));
		s->accounts[s->accounts_len].weight = 1;
		s->accounts_len++;
	}
	return &s->accounts[a];
}

/* Set account's weight in sharing what is borrowed; at least 1. */
void sched_set_weight(struct sched *s, uint32_t account, uint32_t weight)
{
	account_of(s, account)->weight = weight ? weight : 1;
}

/* Keep some of account's free accelerators for its urgent work. */
void sched_set_headroom(struct sched *s, uint32_t account,
			uint32_t accelerators)
{
	account_of(s, account)->headroom = accelerators;
}

/* Return the borrowed service of account: what orders its turn. */
double sched_service(const struct sched *s, uint32_t account)
{
	return account < s->accounts_len ? s->accounts[account].service : 0;
}

/* Set the borrowed service of account, as an earlier scheduler had it. */
void sched_set_service(struct sched *s, uint32_t account, double service)
{
	account_of(s, account)->service = service;
}

/*
 * Slots are for work without accelerators: a part that has some takes no
 * slot, so that a guaranteed cell never waits for one.
 */
static void shape_settle(struct shape *f)
{
	if (f->accelerators)
		f->slots = 0;
	else if (!f->slots)
		f->slots = 1;
}

static uint32_t job_new(struct sched *s, const struct job_spec *spec)
{
	uint32_t i;

	if (s->free_len) {
		i = s->free_jobs[--s->free_len];
	} else {
		if (s->jobs_len == s->jobs_cap) {
			s->jobs_cap = s->jobs_cap ? s->jobs_cap * 2 : 64;
			s->jobs = grow(s->jobs, s->jobs_cap * sizeof(*s->jobs));
			s->free_jobs = grow(s->free_jobs,
					    s->jobs_cap * sizeof(uint32_t));
		}
		i = s->jobs_len++;
	}
	memset(&s->jobs[i], 0, sizeof(s->jobs[i]));
	s->jobs[i].spec = *spec;
	shape_settle(&s->jobs[i].spec.shape);
	s->jobs[i].spec.shape.urgent = spec->job_class == CLASS_URGENT;
	s->jobs[i].live = true;
	s->jobs[i].parts = grow(NULL, spec->shape.parts * sizeof(struct part));
	return i;
}

/*
 * Take a job into the queue and write its handle to *job.  Refuse one
 * that could never fit the domain, or one too many for its account.
 */
enum submit_result sched_submit(struct sched *s, const struct job_spec *spec,
				uint32_t *job)
{
	struct account_state *a = account_of(s, spec->shape.account);
	enum submit_result r = SUBMIT_OK;
	struct shape shape = spec->shape;
	struct part *tmp;

	shape_settle(&shape);
	if (a->waiting >= s->limits.queue_per_account)
		return SUBMIT_QUEUE_FULL;
	tmp = grow(NULL, (spec->shape.parts + 1) * sizeof(*tmp));
	if (!place(s->site, &shape, WHERE_EXISTS, s->policy, tmp))
		r = SUBMIT_NEVER_FITS;
	free(tmp);
	if (r != SUBMIT_OK)
		return r;
	*job = job_new(s, spec);
	a->waiting++;
	return SUBMIT_OK;
}

static uint32_t job_accelerators(const struct job *j)
{
	return j->spec.shape.parts * j->spec.shape.accelerators;
}

/*
 * Return how a job that occupies these parts uses them.  Quiet work
 * never calls on a guarantee: it borrows wherever it runs.
 */
static enum use use_of(const struct sched *s, const struct job_spec *spec,
		       const struct part *parts)
{
	if (!spec->shape.accelerators)
		return USE_URGENT;
	if (spec->job_class == CLASS_QUIET)
		return USE_QUIET;
	for (uint32_t i = 0; i < spec->shape.parts; i++) {
		const struct upstream *u =
			site_upstream(s->site, parts[i].upstream);

		if (parts[i].mask & ~upstream_bound_to(u, spec->shape.account))
			return USE_BORROWED;
	}
	return spec->job_class == CLASS_URGENT ? USE_URGENT : USE_GUARANTEED;
}

static bool borrows(const struct job *j)
{
	return j->use == USE_BORROWED || j->use == USE_QUIET;
}

static void parts_take(struct sched *s, struct job *j)
{
	j->use = use_of(s, &j->spec, j->parts);
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		site_take(s->site, j->parts[i].upstream, j->parts[i].mask,
			  j->spec.shape.slots, j->use, j->spec.shape.parts > 1);
	if (borrows(j))
		account_of(s, j->spec.shape.account)->borrowed +=
			job_accelerators(j);
}

static void parts_release(struct sched *s, struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		site_release(s->site, j->parts[i].upstream, j->parts[i].mask,
			     j->spec.shape.slots, j->use);
	if (borrows(j))
		account_of(s, j->spec.shape.account)->borrowed -=
			job_accelerators(j);
}

static void parts_hold(struct sched *s, const struct job *j, bool on)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		site_hold(s->site, j->parts[i].upstream, j->parts[i].mask, on);
}

/* Take in a job that was found running on the given parts. */
uint32_t sched_adopt(struct sched *s, const struct job_spec *spec,
		     const struct part *parts)
{
	uint32_t i = job_new(s, spec);
	struct job *j = &s->jobs[i];

	account_of(s, spec->shape.account);
	memcpy(j->parts, parts, spec->shape.parts * sizeof(*parts));
	j->state = JOB_PLACED;
	parts_take(s, j);
	return i;
}

/* Return a job for reading; NULL when the handle is not in use. */
const struct job *sched_job(const struct sched *s, uint32_t job)
{
	if (job >= s->jobs_len || !s->jobs[job].live)
		return NULL;
	return &s->jobs[job];
}

/* Return one more than the largest handle. */
uint32_t sched_jobs(const struct sched *s)
{
	return s->jobs_len;
}

/* Return the number of jobs of account that wait. */
uint32_t sched_waiting(const struct sched *s, uint32_t account)
{
	return account < s->accounts_len ? s->accounts[account].waiting : 0;
}

static void leave_state(struct sched *s, uint32_t i)
{
	struct job *j = &s->jobs[i];

	switch (j->state) {
	case JOB_CLAIMING:
		parts_hold(s, j, false);
		if (s->holder == i)
			s->holder = NO_JOB;
		account_of(s, j->spec.shape.account)->waiting--;
		break;
	case JOB_WAITING:
		account_of(s, j->spec.shape.account)->waiting--;
		break;
	case JOB_PLACED:
	case JOB_EVICTING:
		parts_release(s, j);
		break;
	}
}

/* Keep later attempts of a job off an upstream that it failed on. */
void sched_avoid(struct sched *s, uint32_t job, uint32_t upstream)
{
	struct shape *w = &s->jobs[job].spec.shape;

	for (uint32_t i = 0; i < w->avoid_len; i++)
		if (w->avoid[i] == upstream)
			return;
	if (w->avoid_len < SHAPE_AVOID)
		w->avoid[w->avoid_len++] = upstream;
}

/* Note that a placed job was told to stop. */
void sched_evicting(struct sched *s, uint32_t job)
{
	if (s->jobs[job].state == JOB_PLACED)
		s->jobs[job].state = JOB_EVICTING;
}

/* Give a job's places back and let it wait again. */
void sched_requeue(struct sched *s, uint32_t job)
{
	leave_state(s, job);
	s->jobs[job].state = JOB_WAITING;
	account_of(s, s->jobs[job].spec.shape.account)->waiting++;
}

/* Give a job's places back and forget it. */
void sched_remove(struct sched *s, uint32_t job)
{
	leave_state(s, job);
	free(s->jobs[job].parts);
	s->jobs[job].parts = NULL;
	s->jobs[job].live = false;
	s->free_jobs[s->free_len++] = job;
}

/* Judge anew who borrows, after the site's bindings have changed. */
void sched_rebound(struct sched *s)
{
	for (uint32_t i = 0; i < s->jobs_len; i++) {
		struct job *j = &s->jobs[i];

		if (!j->live)
			continue;
		switch (j->state) {
		case JOB_PLACED:
		case JOB_EVICTING:
			parts_release(s, j);
			parts_take(s, j);
			break;
		case JOB_CLAIMING:
			sched_requeue(s, i);
			break;
		case JOB_WAITING:
			break;
		}
	}
}

static void action_add(struct actions *a, enum action_tag tag, uint32_t job,
		       uint32_t cause)
{
	if (a->len == a->cap) {
		a->cap = a->cap ? a->cap * 2 : 16;
		a->list = grow(a->list, a->cap * sizeof(*a->list));
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

static void start(struct sched *s, uint32_t i, struct actions *out)
{
	struct job *j = &s->jobs[i];

	account_of(s, j->spec.shape.account)->waiting--;
	parts_take(s, j);
	j->state = JOB_PLACED;
	action_add(out, ACTION_START, i, i);
}

static bool overlaps(const struct job *a, const struct job *b)
{
	for (uint32_t i = 0; i < a->spec.shape.parts; i++)
		for (uint32_t k = 0; k < b->spec.shape.parts; k++)
			if (a->parts[i].upstream == b->parts[k].upstream &&
			    a->parts[i].mask & b->parts[k].mask)
				return true;
	return false;
}

/* Report whether job v is stopped for a claim, or waited for. */
static bool yields(const struct job *v, const struct job *claim, bool own)
{
	return own ||
	       (v->use == USE_QUIET && claim->spec.job_class != CLASS_QUIET);
}

/*
 * Hold the places of claim i.  When they are its account's own, evict
 * every job that is in the way; otherwise only quiet work.
 */
static void claim(struct sched *s, uint32_t i, bool own, struct actions *out)
{
	struct job *j = &s->jobs[i];

	j->state = JOB_CLAIMING;
	j->reclaims = own;
	parts_hold(s, j, true);
	for (uint32_t k = 0; k < s->jobs_len; k++) {
		struct job *v = &s->jobs[k];

		if (!v->live || v->state != JOB_PLACED || !yields(v, j, own) ||
		    !overlaps(j, v))
			continue;
		v->state = JOB_EVICTING;
		action_add(out, ACTION_EVICT, k, i);
	}
}

/* Report whether nothing uses the places that job j holds any more. */
static bool claim_ready(const struct sched *s, const struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++) {
		const struct upstream *u =
			site_upstream(s->site, j->parts[i].upstream);

		if (u->used & j->parts[i].mask)
			return false;
	}
	return true;
}

/* Report whether a claim stands on an upstream that is no longer usable. */
static bool claim_broken(const struct sched *s, const struct job *j)
{
	for (uint32_t i = 0; i < j->spec.shape.parts; i++)
		if (!site_upstream(s->site, j->parts[i].upstream)->usable)
			return true;
	return false;
}

static bool anybody_waits(const struct sched *s)
{
	for (uint32_t i = 0; i < s->accounts_len; i++)
		if (s->accounts[i].waiting)
			return true;
	return false;
}

static void finish_claims(struct sched *s, struct actions *out)
{
	if (!anybody_waits(s))
		return; /* a claim counts as waiting */
	for (uint32_t i = 0; i < s->jobs_len; i++) {
		struct job *j = &s->jobs[i];

		if (!j->live || j->state != JOB_CLAIMING)
			continue;
		if (claim_broken(s, j)) {
			sched_requeue(s, i);
			continue;
		}
		if (!claim_ready(s, j))
			continue;
		parts_hold(s, j, false);
		if (s->holder == i)
			s->holder = NO_JOB;
		start(s, i, out);
	}
}

static bool try_place(struct sched *s, struct job *j, enum where where)
{
	return place(s->site, &j->spec.shape, where, s->policy, j->parts);
}

/* Report whether job j may call on its account's guarantee. */
static bool may_reclaim(const struct sched *s, const struct job *j)
{
	return j->spec.shape.accelerators && s->policy == POLICY_BOUND &&
	       j->spec.job_class != CLASS_QUIET;
}

/* Start job i on what is free; true when it did. */
static bool try_free(struct sched *s, uint32_t i, enum where where,
		     struct actions *out)
{
	if (!try_place(s, &s->jobs[i], where))
		return false;
	start(s, i, out);
	return true;
}

/* Claim the account's own cells from others; true when it did. */
static bool try_evict(struct sched *s, uint32_t i, struct actions *out)
{
	struct job *j = &s->jobs[i];

	if (!try_place(s, j, WHERE_OWN_EVICT) &&
	    (j->spec.job_class != CLASS_URGENT ||
	     !try_place(s, j, WHERE_OWN_URGENT)))
		return false;
	claim(s, i, true, out);
	return true;
}

/* Call on own cells in which room is held for a borrower: it yields. */
static bool try_held(struct sched *s, uint32_t i, struct actions *out)
{
	uint32_t holder = s->holder;

	if (holder == NO_JOB)
		return false;
	sched_requeue(s, holder);
	s->held_dropped =
		try_free(s, i, WHERE_OWN_FREE, out) || try_evict(s, i, out);
	if (s->held_dropped)
		return true;
	claim(s, holder, false, out);
	s->holder = holder;
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
	return try_free(s, i, WHERE_OWN_FREE, out) ||
	       (!gang && try_free(s, i, WHERE_ANY_FREE, out)) ||
	       try_evict(s, i, out) || try_held(s, i, out);
}

static bool try_job(struct sched *s, uint32_t i, uint64_t now_ms,
		    struct actions *out)
{
	struct job *j = &s->jobs[i];

	if (try_guarantee(s, i, out))
		return true;
	if (try_free(s, i, WHERE_ANY_FREE, out))
		return true;
	if (s->policy == POLICY_BOUND && s->holder == NO_JOB &&
	    j->spec.shape.accelerators &&
	    now_ms - j->spec.submitted_ms >= s->limits.hold_after_ms &&
	    try_place(s, j, WHERE_ANY_USABLE)) {
		s->holder = i;
		claim(s, i, false, out);
	}
	return false;
}

struct order_key {
	uint32_t job;
	enum job_class job_class;
	double service;
	uint64_t submitted_ms;
};

static int by_turn(const void *pa, const void *pb)
{
	const struct order_key *a = pa, *b = pb;

	if (a->job_class != b->job_class)
		return a->job_class < b->job_class ? -1 : 1;
	if (a->service < b->service || a->service > b->service)
		return a->service < b->service ? -1 : 1;
	if (a->submitted_ms != b->submitted_ms)
		return a->submitted_ms < b->submitted_ms ? -1 : 1;
	return a->job < b->job ? -1 : a->job > b->job;
}

/* Add the service since the last decision, and let old service fade. */
static void account_service(struct sched *s, uint64_t now_ms)
{
	uint64_t dt = now_ms - s->decided_ms;
	double keep = 1.0 / (1.0 + (double)dt / SERVICE_HALF_LIFE_MS);

	for (uint32_t i = 0; i < s->accounts_len; i++) {
		struct account_state *a = &s->accounts[i];

		a->service = a->service * keep +
			     (double)a->borrowed * (double)dt / a->weight;
	}
	s->decided_ms = now_ms;
}

static uint32_t collect_waiting(struct sched *s, struct order_key *keys)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->jobs_len; i++) {
		const struct job *j = &s->jobs[i];

		if (!j->live || j->state != JOB_WAITING)
			continue;
		keys[n].job = i;
		keys[n].job_class = j->spec.job_class;
		keys[n].submitted_ms = j->spec.submitted_ms;
		keys[n].service =
			s->policy == POLICY_BOUND
				? s->accounts[j->spec.shape.account].service
				: 0;
		n++;
	}
	qsort(keys, n, sizeof(*keys), by_turn);
	return n;
}

static bool same_shape(const struct job *a, const struct job *b)
{
	return a->spec.job_class == b->spec.job_class &&
	       !memcmp(&a->spec.shape, &b->spec.shape, sizeof(a->spec.shape));
}

/* Mark headroom on one upstream, as far as accounts lack some. */
static uint32_t mark_on(struct sched *s, const struct upstream *u,
			uint32_t *left)
{
	uint32_t mask = 0;

	for (uint32_t k = 0; u->usable && k < u->bound_len; k++) {
		uint32_t a = u->bound[k].account;
		uint32_t free = u->bound[k].mask & ~u->used & ~u->held;

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
static void mark_headroom(struct sched *s)
{
	uint32_t *left = grow(NULL, (s->accounts_len + 1) * sizeof(*left));

	for (uint32_t i = 0; i < s->accounts_len; i++)
		left[i] = s->accounts[i].headroom;
	for (int whole = 0; whole <= 1; whole++) {
		for (uint32_t i = 0; i < site_upstreams(s->site); i++) {
			const struct upstream *u = site_upstream(s->site, i);

			if (whole == !u->used)
				site_set_headroom(s->site, i,
						  mark_on(s, u, left));
		}
	}
	free(left);
}

#define FAILED_SHAPES 64

/* Try every waiting job once, in turn. */
static void try_waiting(struct sched *s, uint64_t now_ms, struct actions *out)
{
	uint32_t failed[FAILED_SHAPES], failed_len = 0;
	struct order_key *keys = grow(NULL, (s->jobs_len + 1) * sizeof(*keys));
	uint32_t n = collect_waiting(s, keys);

	for (uint32_t k = 0; k < n; k++) {
		struct job *j = &s->jobs[keys[k].job];
		bool skip = false;

		for (uint32_t f = 0; f < failed_len && !skip; f++)
			skip = same_shape(j, &s->jobs[failed[f]]);
		if (skip || j->state != JOB_WAITING)
			continue;
		if (!try_job(s, keys[k].job, now_ms, out) &&
		    failed_len < FAILED_SHAPES)
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
	account_service(s, now_ms);
	finish_claims(s, out);
	mark_headroom(s);
	if (!anybody_waits(s))
		return;
	do {
		/* held room that was given up may serve an earlier job too */
		s->held_dropped = false;
		try_waiting(s, now_ms, out);
	} while (s->held_dropped);
}
