/*
 * Decides whether the runs on an upstream have ended, when it has not listed
 * their ends itself. All that may show this comes here as evidence; a run is
 * started anew only after the evidence is conclusive.
 */
#ifndef LEAD_LOSS_H
#define LEAD_LOSS_H

#include "lead/model.h"

/*
 * A call that was sent, or that failed, in an iteration of the event loop that
 * began this late proves nothing: this process was suspended.
 */
#define LOSS_LATE_MIN_MS 300
/*
 * Entries that expired while the store was away, or while their upstreams were
 * cut off from it, are back this long after its return.
 */
#define LOSS_ENTRY_RETURN_MS 2000
/*
 * Maximum time after the end of the leases for which an upstream without an
 * entry and without a known address is waited for.
 */
#define LOSS_UNLISTED_WAIT_MAX_MS 10000

enum loss_tag {
	LOSS_RESTARTED,	  /* it answers as a newer incarnation */
	LOSS_REPLACED,	  /* another upstream answers at its address */
	LOSS_UNANSWERED,  /* it did not answer a list call */
	LOSS_LISTED_ANEW, /* an entry names a later start of it */
	LOSS_UNLISTED,	  /* it is not listed, and no address is known */
};

/* What seems to show that an incarnation has ended. */
struct loss_evidence {
	enum loss_tag tag;
	/*
	 * When the call was sent that shows it, or the entry was read, or
	 * until when the list holds all changes. The upstream may have lived
	 * until then.
	 */
	uint64_t at_ms;
	union {
		struct {
			uint64_t started_wall_ms;
			const struct order_answer *lists; /* may be NULL */
		} restarted;
		struct {
			/* start time that is known with this address */
			uint64_t address_started_wall_ms;
		} replaced;
		struct {
			bool late; /* this process was suspended */
			bool has_left;
		} unanswered;
		struct {
			uint64_t started_wall_ms;
		} listed_anew;
		struct {
			/* since when entries could return; 0: they cannot */
			uint64_t returning_since_ms;
		} unlisted;
	} u;
};

/* What else is known of the upstream, in local time. */
struct loss_facts {
	uint64_t now_ms;
	uint64_t answered_ms; /* newest answer to any order; 0: none */
	uint64_t leases_end_ms;
	/* the incarnation that the runs were placed in; 0: unknown */
	uint64_t runs_started_wall_ms;
};

enum loss_outcome {
	LOSS_ENDED, /* its runs have ended */
	LOSS_ASK,   /* it has to be called, and may answer */
	LOSS_WAIT,  /* as before until the leases have ended */
};

struct loss_verdict {
	enum loss_outcome outcome;
	enum incarnation_end end; /* if the outcome is LOSS_ENDED */
	const char *why;	  /* the evidence, or what speaks against it */
};

struct loss_verdict loss_judge(const struct model *m, const struct upstream *u,
			       const struct loss_evidence *e,
			       const struct loss_facts *f);
enum loss_outcome loss_settle(struct model *m, struct upstream *u,
			      const struct loss_evidence *e,
			      const struct loss_facts *f);

#endif
